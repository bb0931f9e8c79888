package quota

import (
	"testing"
	"time"
)

func newTestAccount() *Account {
	a := NewAccount(simCustomer, firstDeployment)
	a.SetLimit(testLimit, []KeeperSince{{"k1", testStart}, {"k2", testStart}, {"k3", testStart}})
	return a
}

// begin begins a request for which a keeper grants an amount.
func begin(t *testing.T, a *Account, cost, granted float64, now time.Time) *Request {
	t.Helper()
	r := a.Begin(cost, now)
	ask, ok := a.Next(now)
	if !ok || r.State != Waiting {
		t.Fatalf("request is %s and there is a call: %v; want it to wait for one", r.State, ok)
	}
	a.Done(ask, Reply{Granted: granted, Lifetime: grantLifetime}, now.Add(5*time.Millisecond))
	return r
}

// TestGrantsEnd guards against requests that begin on a grant that has ended, as after a freeze, and against grants that are not returned.
func TestGrantsEnd(t *testing.T) {
	a := newTestAccount()
	if r := begin(t, a, 1000, 5000, testStart); r.State != Admitted {
		t.Fatalf("request is %s", r.State)
	}
	if r := a.Begin(1000, testStart.Add(grantLifetime-time.Millisecond)); r.State != Admitted {
		t.Errorf("request is %s before the grant ends", r.State)
	}
	ended := testStart.Add(grantLifetime)
	if r := a.Begin(1000, ended); r.State != Waiting {
		t.Errorf("request is %s after the grant has ended", r.State)
	}
	asks := a.Returns(ended.Add(returnDelay))
	if len(asks) != 1 || asks[0].Reservation.Returned != 3000 || asks[0].Reservation.ReturnedAge < grantLifetime {
		t.Errorf("returns %+v, want 3000 for the first keeper", asks)
	}
	if asks = a.Returns(ended.Add(time.Second)); len(asks) > 0 {
		t.Errorf("returned again: %+v", asks)
	}
}

// TestGrantCountsFromTheCall guards against a grant whose answer came late and that lasts longer than the keeper counts.
func TestGrantCountsFromTheCall(t *testing.T) {
	a := newTestAccount()
	r := a.Begin(1000, testStart)
	ask, _ := a.Next(testStart)
	a.Done(ask, Reply{Granted: 1000, Lifetime: grantLifetime}, testStart.Add(time.Second))
	if r.State == Admitted {
		t.Error("request admitted by a grant that had ended when its answer came")
	}
}

// TestRefusalIsRemembered guards against a call for each request of a customer far over its quota.
func TestRefusalIsRemembered(t *testing.T) {
	a := newTestAccount()
	now := testStart
	calls := 0
	for i := range 200 {
		now = now.Add(5 * time.Millisecond)
		r := a.Begin(9000, now)
		for ask, ok := a.Next(now); ok; ask, ok = a.Next(now) {
			calls++
			a.Done(ask, Reply{Wait: 2 * time.Second, Left: -20_000}, now)
		}
		if r.State != Refused || r.RetryAfter < refusedPause {
			t.Fatalf("request %d is %s, to return after %s", i, r.State, r.RetryAfter)
		}
	}
	if calls > 6 {
		t.Errorf("%d calls for 200 requests in a second", calls)
	}
}

// TestRefundOfWhatHasNotRun guards against requests that have not run and are charged all the same, and against refunds that are given twice.
func TestRefundOfWhatHasNotRun(t *testing.T) {
	a := newTestAccount()
	r := begin(t, a, 1000, 1000, testStart)
	now := testStart.Add(10 * time.Millisecond)
	a.Refund(r, now)
	a.Refund(r, now)
	if balance := a.Balance(now); balance != 1000 {
		t.Errorf("balance %.0f after a refund of 1000", balance)
	}
	late := a.Begin(1000, now)
	now = now.Add(2 * time.Second)
	a.Refund(late, now)
	asks := a.Returns(now.Add(returnDelay))
	if len(asks) != 1 || asks[0].Reservation.Returned != 1000 || asks[0].Reservation.ReturnedAge < 2*time.Second {
		t.Errorf("returns %+v, want 1000 with the age of its grant", asks)
	}
}

// TestLowerLimitCutsTheBalance guards against balances of an older limit.
func TestLowerLimitCutsTheBalance(t *testing.T) {
	a := newTestAccount()
	begin(t, a, 1000, 6000, testStart)
	lowered := testLimit
	lowered.Version, lowered.PerSecond, lowered.Burst = 2, testLimit.PerSecond/5, testLimit.Burst/5
	a.SetLimit(lowered, []KeeperSince{{"k1", testStart}, {"k2", testStart}, {"k3", testStart}})
	if balance := a.Balance(testStart); balance != 1000 {
		t.Errorf("balance %.0f of 5000 after the limit was lowered to a fifth", balance)
	}
}

// TestUnreachableKeepers guards against requests that wait longer than the timeout, or that are admitted, while no keeper answers.
func TestUnreachableKeepers(t *testing.T) {
	a := newTestAccount()
	now := testStart
	r := a.Begin(1000, now)
	for ask, ok := a.Next(now); ok; ask, ok = a.Next(now) {
		now = now.Add(ask.Timeout)
		a.Failed(ask, now)
	}
	if waited := now.Sub(testStart); r.State != Unreachable || waited > AskTimeout || r.RetryAfter <= 0 {
		t.Errorf("request is %s after %s, to return after %s", r.State, waited, r.RetryAfter)
	}
	if r := a.Begin(1000, now); r.State == Waiting {
		if _, ok := a.Next(now); ok {
			t.Error("an absent keeper was asked at once again")
		}
	}
}

// TestViewsTellSinceWhen guards against keepers that are taken as known while the gateway has seen others, or may have missed a change.
func TestViewsTellSinceWhen(t *testing.T) {
	agents := []string{"a", "b", "c", "d", "e"}
	v := Views{}
	v.Update(agents, testStart)
	first := v.Keepers(simCustomer)
	if len(first) != KeeperCount || !first[0].Since.Equal(testStart) {
		t.Fatalf("keepers %+v", first)
	}
	without := []string{}
	for _, agent := range agents {
		if agent != first[0].Address {
			without = append(without, agent)
		}
	}
	out, back := testStart.Add(time.Minute), testStart.Add(2*time.Minute)
	v.Update(without, out)
	v.Update(agents, back)
	keepers := v.Keepers(simCustomer)
	if !keepers[0].Since.Equal(back) || !keepers[1].Since.Equal(testStart) {
		t.Errorf("keepers %+v, want the first since its return, the second since the start", keepers)
	}
	thawed := back.Add(time.Minute)
	v.Restart(thawed)
	for _, k := range v.Keepers(simCustomer) {
		if !k.Since.Equal(thawed) {
			t.Errorf("keeper %+v, want it known since the freeze has ended", k)
		}
	}
}

package quota

import (
	"testing"
	"time"
)

var (
	testStart = time.Unix(5000, 0)
	testLimit = NewLimit(1, smallCustomer.quota, 3)
	testPart  = firstDeployment.part(testLimit)
	longAgo   = time.Hour // since when a keeper is known
)

// newTestKeeper returns a keeper that has run for a long time and for which time goes on by its ticks.
func newTestKeeper() (keeper *Keeper, pass func(time.Duration) time.Time) {
	now := testStart
	keeper = NewKeeper(firstDeployment, now)
	pass = func(d time.Duration) time.Time {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(min(100*time.Millisecond, end.Sub(now)))
			keeper.Tick(now)
		}
		return now
	}
	pass(10 * time.Minute)
	return keeper, pass
}

func reservation(amount float64, known time.Duration) Reservation {
	return Reservation{Customer: simCustomer, Limit: testLimit, Amount: amount, Minimum: amount, KeeperFor: known}
}

// drain asks for small amounts until none is granted, and returns what was.
func drain(k *Keeper, known time.Duration, now time.Time) float64 {
	total := 0.0
	for {
		reply := k.Reserve(reservation(1000, known), now)
		if reply.Granted == 0 {
			return total
		}
		total += reply.Granted
	}
}

// TestKeeperOfAnIdleCustomerGrantsAtOnce guards against refusals of the first requests of a customer.
func TestKeeperOfAnIdleCustomerGrantsAtOnce(t *testing.T) {
	k, pass := newTestKeeper()
	if granted := drain(k, longAgo, pass(0)); granted < testPart.capacity-1000 {
		t.Errorf("granted %.0f to a customer that was idle, want about %.0f", granted, testPart.capacity)
	}
}

// TestNewKeeperWaitsForOthers guards against grants by a keeper while gateways may still use the one before it: for the first time, and
// again after it was a keeper before.
func TestNewKeeperWaitsForOthers(t *testing.T) {
	k, pass := newTestKeeper()
	drain(k, longAgo, pass(0))
	pass(time.Minute) // others have kept the quota
	for _, known := range []time.Duration{0, time.Second, viewLag} {
		if granted := drain(k, known, pass(0)); granted > 0 {
			t.Errorf("granted %.0f to a gateway that knows the keeper for %s", granted, known)
		}
	}
	known := viewLag + 4*time.Second
	if granted, most := drain(k, known, pass(0)), testPart.rate*4-testPart.debt; granted > most || granted < most-1000 {
		t.Errorf("granted %.0f to a gateway that knows the keeper for %s, want the refill since the others, %.0f", granted, known, most)
	}
}

// TestRestartedKeeperIsInDebt guards against a keeper that grants again what it had granted before a restart.
func TestRestartedKeeperIsInDebt(t *testing.T) {
	exact := Bounds{Window: 8 * time.Second}
	p := exact.part(testLimit)
	k := NewKeeper(exact, testStart)
	span := exact.Window + grantLifetime
	total := 0.0
	now := testStart
	for ; now.Before(testStart.Add(span)); now = now.Add(100 * time.Millisecond) {
		total += drain(k, longAgo, now)
	}
	if before := p.capacity; before+total > p.usable {
		t.Errorf("granted %.0f in %s after a restart, with %.0f before it more than %.0f", total, span, before, p.usable)
	}
}

// TestThawedKeeperIgnoresOldCalls guards against grants for calls that were made before a freeze, and against calls which then show that
// this is still a keeper.
func TestThawedKeeperIgnoresOldCalls(t *testing.T) {
	k, pass := newTestKeeper()
	drain(k, longAgo, pass(0))
	now := pass(time.Minute).Add(10 * time.Second) // frozen
	if reply := k.Reserve(reservation(1000, longAgo), now); reply.Granted > 0 || reply.Wait <= 0 {
		t.Errorf("reply %+v to a call from before a freeze", reply)
	}
	if reply := k.Reserve(reservation(1000, 0), now.Add(flushTime)); reply.Granted > 0 {
		t.Errorf("reply %+v to a gateway that has just seen this keeper come back", reply)
	}
}

// TestLowerVersionIsIgnored guards against a late gateway that raises a limit which was lowered.
func TestLowerVersionIsIgnored(t *testing.T) {
	k, pass := newTestKeeper()
	lowered := reservation(100, longAgo)
	lowered.Limit.Version, lowered.Limit.PerSecond, lowered.Limit.Burst = 2, testLimit.PerSecond/5, testLimit.Burst/5
	k.Reserve(lowered, pass(0))
	k.Reserve(reservation(100, longAgo), pass(0))
	pass(time.Minute)
	if granted, most := drain(k, longAgo, pass(0)), firstDeployment.part(lowered.Limit).capacity; granted > most {
		t.Errorf("granted %.0f by the older limit, want at most %.0f", granted, most)
	}
}

// TestFewerKeepersCountLater guards against parts that grow while other gateways still use more keepers.
func TestFewerKeepersCountLater(t *testing.T) {
	k, pass := newTestKeeper()
	k.Reserve(reservation(100, longAgo), pass(0))
	one := reservation(1000, longAgo)
	one.Limit.Keepers = 1
	k.Reserve(one, pass(time.Second))
	if p := k.customers[simCustomer].part; p != testPart {
		t.Errorf("part %+v 1 s after three keepers were named, want %+v", p, testPart)
	}
	k.Reserve(one, pass(viewLag))
	if p := k.customers[simCustomer].part; p != firstDeployment.part(one.Limit) {
		t.Errorf("part %+v %s after three keepers were named, want that of one", p, viewLag+time.Second)
	}
}

// TestReturnIsWorthNoMoreThanItsGrant guards against returns to a bucket that was full meanwhile, and against returns that make room in a
// window twice.
func TestReturnIsWorthNoMoreThanItsGrant(t *testing.T) {
	k, pass := newTestKeeper()
	k.Reserve(reservation(5000, longAgo), pass(0))
	now := pass(4 * time.Second) // full again
	back := reservation(0, longAgo)
	back.Returned, back.ReturnedAge = 5000, 4*time.Second
	k.Reserve(back, now)
	b := k.customers[simCustomer]
	if b.level > testPart.capacity {
		t.Errorf("level %.0f of at most %.0f after a late return", b.level, testPart.capacity)
	}
	drain(k, longAgo, now)
	level := b.level
	now = pass(200 * time.Millisecond)
	back.Returned, back.ReturnedAge = 2000, 100*time.Millisecond
	k.Reserve(back, now)
	if gained := b.level - level - testPart.rate*0.2; gained > 2000.1 || gained < 1999.9 {
		t.Errorf("an empty bucket gained %.1f of 2000 returned", gained)
	}
}

// TestReturnThatTookLongerThanItsGrant guards against a return that makes a later grant count as not granted: its age, which the gateway reckons from when
// it asked, names a time after the grant if the call that returns it has taken longer than the one that asked.
func TestReturnThatTookLongerThanItsGrant(t *testing.T) {
	k, pass := newTestKeeper()
	k.Reserve(reservation(0, longAgo), pass(0))
	h := &k.customers[simCustomer].history
	slotEnd := h.slotLength - pass(0).Sub(k.started)%h.slotLength
	k.Reserve(reservation(5000, longAgo), pass(slotEnd-time.Millisecond))
	k.Reserve(reservation(3000, longAgo), pass(2*time.Millisecond)) // in the next slot
	back := reservation(0, longAgo)
	back.Returned, back.ReturnedAge = 5000, 100*time.Millisecond
	k.Reserve(back, pass(100*time.Millisecond))
	k.Reserve(reservation(0, longAgo), pass((historySlots-1)*h.slotLength-100*time.Millisecond))
	if granted := h.granted(); granted != 3000 {
		t.Errorf("%.0f count as granted once the grant that was returned has left the span, want the 3000 after it", granted)
	}
}

// TestGrantsAreRememberedWhileTheLimitIsLow guards against a window in which a customer uses more than its quota, as its limit was lowered and raised
// again in the meantime.
func TestGrantsAreRememberedWhileTheLimitIsLow(t *testing.T) {
	k, pass := newTestKeeper()
	total, limit := 0.0, testLimit
	ask := func(factor, amount float64, now time.Time) float64 {
		limit.Version++
		limit.PerSecond, limit.Burst = factor*testLimit.PerSecond, factor*testLimit.Burst
		in := reservation(amount, longAgo)
		in.Limit = limit
		return k.Reserve(in, now).Granted
	}
	for range 5 { // within one window
		now := pass(1900 * time.Millisecond)
		for granted := 1.0; granted > 0; total += granted {
			granted = ask(1, 1000, now)
		}
		ask(0.2, 0, now)
		ask(1, 0, now)
	}
	if total > testPart.usable {
		t.Errorf("granted %.0f within a window, want at most %.0f", total, testPart.usable)
	}
}

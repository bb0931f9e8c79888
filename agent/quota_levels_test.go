package agent

import (
	"context"
	"errors"
	"testing"
	"time"

	"gypsumbank/quota"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
	"gypsumbank/wire"
)

var quotaTestBounds = settings.Bounds{QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 110_000}

// quotaTestKeepers is three agents that keep a quota, without engines, with a gateway's account of a customer that uses them.
type quotaTestKeepers struct {
	agents  map[string]*Agent
	account *quota.Account
	stop    context.CancelFunc
	ended   chan error
}

// startQuotaKeepers starts agents with an empty memory and a gateway which has just seen them.
func startQuotaKeepers(t *testing.T, store *site.Store) *quotaTestKeepers {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	k := &quotaTestKeepers{agents: map[string]*Agent{}, account: quota.NewAccount("acme", quota.Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}), stop: stop, ended: make(chan error, 6)}
	var keepers []quota.KeeperSince
	for _, address := range []string{"10.0.0.1:9000", "10.0.0.2:9000", "10.0.0.3:9000"} {
		a := New(&settings.Config{
			Node: settings.Node{Name: address}, Agent: settings.Agent{Target: address, Service: "llm"},
			Store: settings.Store{Address: store.Address()}, Bounds: quotaTestBounds,
		}, testLogger(t))
		k.agents[address] = a
		keepers = append(keepers, quota.KeeperSince{Address: address, Since: time.Now()})
		go func() { k.ended <- a.quotas.run(ctx) }()
		go func() { k.ended <- a.quotaRows().run(ctx) }()
	}
	k.account.SetLimit(quota.Limit{Version: 1, PerSecond: 440_000, Burst: 440_000, CountsTokens: true}, keepers)
	return k
}

// end ends the agents.
func (k *quotaTestKeepers) end(t *testing.T) {
	t.Helper()
	k.stop()
	for range 2 * len(k.agents) {
		if err := <-k.ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}

// use sends requests at 0.55 of the limit for a time, and returns how many were sent and admitted.
func (k *quotaTestKeepers) use(t *testing.T, d time.Duration) (sent, admitted int) {
	t.Helper()
	const cost, perSecond = 4_840, 50 // 242,000 tokens a second
	began := time.Now()
	for ; time.Since(began) < d; time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / perSecond))) {
		sent++
		now := time.Now()
		request := k.account.Begin(cost, now)
		for ask, ok := k.account.Next(now); ok; ask, ok = k.account.Next(time.Now()) {
			k.account.Done(ask, k.reserve(t, ask), time.Now())
		}
		for _, ask := range k.account.Returns(time.Now()) {
			k.reserve(t, ask)
		}
		if request.State == quota.Admitted {
			admitted++
		}
	}
	return sent, admitted
}

// reserve calls an agent as a gateway does.
func (k *quotaTestKeepers) reserve(t *testing.T, ask quota.Ask) quota.Reply {
	t.Helper()
	in := ask.Reservation
	reply, err := (&agentServer{agent: k.agents[ask.Keeper]}).Reserve(context.Background(), &wire.ReserveRequest{
		Customer: in.Customer, RoutesVersion: in.Limit.Version, PerSecond: in.Limit.PerSecond, Burst: in.Limit.Burst, CountsTokens: true,
		Keepers: uint32(in.Limit.Keepers), Amount: in.Amount, Minimum: in.Minimum, Returned: in.Returned,
		ReturnedAgeMs: uint32(in.ReturnedAge.Milliseconds()) + 1, KeeperForMs: uint64(in.KeeperFor.Milliseconds()), OtherKeepers: in.Beside,
	})
	if err != nil {
		t.Fatal(err)
	}
	return quota.Reply{
		Granted: reply.GetGranted(), Lifetime: time.Duration(reply.GetLifetimeMs()) * time.Millisecond,
		Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond, Left: reply.GetLeft(),
	}
}

// TestCustomerIsServedAfterARestartOfEverything guards against refusals of a customer at 0.55 of its limit from a second on after all agents and
// gateways have restarted and the store responds, against service that the stored levels do not allow, and against calls to the store by agents
// that are no keepers or at each request.
func TestCustomerIsServedAfterARestartOfEverything(t *testing.T) {
	for name, c := range map[string]struct {
		disturb func(store *site.Store)
		served  bool
	}{
		"the store responds": {disturb: func(*site.Store) {}, served: true},
		"the row is missing": {disturb: func(store *site.Store) { store.Remove(quotaLevelsTable, "acme") }},
		"the row is invalid": {disturb: func(store *site.Store) { store.Put(quotaLevelsTable, "acme", []int{1}) }},
		"the store has come back from a copy": {disturb: func(store *site.Store) {
			store.Restore(store.Snapshot())
		}},
		"the store is away":       {disturb: func(store *site.Store) { store.SetFault(site.Down) }},
		"the store is silent":     {disturb: func(store *site.Store) { store.SetFault(site.Silent) }},
		"answers are lost":        {disturb: func(store *site.Store) { store.SetFault(site.LoseAnswers) }},
		"writes are applied late": {disturb: func(store *site.Store) { store.SetFault(site.LateWrites) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := site.NewStore()
			t.Cleanup(store.Close)
			before := startQuotaKeepers(t, store)
			time.Sleep(300 * time.Millisecond)
			if reads, writes := store.RowCalls(quotaLevelsTable); reads+writes > 0 {
				t.Errorf("%d reads and %d writes of agents that are no keepers", reads, writes)
			}
			before.use(t, time.Second)
			store.AdvanceClock(time.Minute)
			for _, a := range before.agents {
				a.quotas.reconfirm(time.Millisecond)
			}
			before.use(t, time.Second)
			if reads, writes := store.RowCalls(quotaLevelsTable); writes < 6 || writes > 24 || reads > 24 {
				t.Errorf("%d reads and %d writes, want at least one to start and one to confirm for each of three agents, and few more", reads, writes)
			}
			before.end(t)
			store.AdvanceClock(time.Minute)
			c.disturb(store)
			after := startQuotaKeepers(t, store)
			defer after.end(t)
			sent, admitted := after.use(t, time.Second)
			t.Logf("%d of %d admitted in the first second", admitted, sent)
			sent, admitted = after.use(t, 1500*time.Millisecond)
			t.Logf("%d of %d admitted in the next 1.5 s", admitted, sent)
			switch {
			case c.served && admitted < sent*95/100:
				t.Errorf("%d of %d requests admitted from 1 s on, want at least 95 in 100", admitted, sent)
			case !c.served && admitted > 0:
				t.Errorf("%d of %d requests admitted, want none before the time for which gateways may use other keepers", admitted, sent)
			}
		})
	}
}

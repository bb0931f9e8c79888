package agent

import (
	"testing"
	"time"

	"gypsumbank/route"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
	"gypsumbank/wire"
)

// newPollingAgent returns an agent that has identified the engine, whose runs may be copied or not.
func newPollingAgent(t *testing.T, engine *site.Target, copies bool) *Agent {
	a := New(&settings.Config{
		Node: settings.Node{Name: "agent-1"}, Agent: settings.Agent{Target: engine.Address(), Service: "llm"}, Store: settings.Store{Address: freeAddress(t)},
	}, discardLogger())
	a.applyRoutes(route.New(1, route.Limits{}, []route.Service{{Name: "llm", HealthPath: "/healthz", Engine: &route.Engine{Copies: route.Copies{Backups: copies}}}}, nil))
	a.pollEngine(t.Context())
	if a.targetID != "e1" || a.watchers.down != nil {
		t.Fatalf("engine %q, down %v", a.targetID, a.watchers.down)
	}
	return a
}

// TestEndOfTheEngineIsToldSoon guards against gateways that learn late, or wrongly, what has become of an engine. Its kept connections stay open
// and silent in each case.
func TestEndOfTheEngineIsToldSoon(t *testing.T) {
	cases := map[string]struct {
		fault             func(*site.Target)
		copies            bool
		wantEnded, wantID string
		within            time.Duration
	}{
		"ended":                     {fault: (*site.Target).StopListening, copies: true, wantEnded: "e1", within: 250 * time.Millisecond},
		"ended, no copies":          {fault: (*site.Target).StopListening, wantEnded: "e1", within: 250 * time.Millisecond},
		"silent":                    {fault: (*site.Target).Freeze, copies: true, wantID: "e1", within: 500 * time.Millisecond},
		"silent, no copies":         {fault: (*site.Target).Freeze, within: 700 * time.Millisecond},
		"wants a rest, is no fault": {fault: func(engine *site.Target) { engine.SetRest(time.Minute) }, copies: true, within: 200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := site.NewTarget("e1", site.EventStream(1, 0, 0))
			defer engine.Close()
			a := newPollingAgent(t, engine, c.copies)
			c.fault(engine)
			began := time.Now()
			polled := make(chan struct{})
			go func() {
				a.pollEngine(t.Context())
				close(polled)
			}()
			state := waitForDown(a.watchers, time.Second)
			took := time.Since(began)
			<-polled
			if state.GetEndedRun().GetTargetId() != c.wantEnded || state.GetTargetId() != c.wantID || !state.GetEngineDown() {
				t.Errorf("state %v, want the ended run %q and the silent one %q", state, c.wantEnded, c.wantID)
			}
			if took > c.within {
				t.Errorf("told after %s, want at most %s", took, c.within)
			}
		})
	}
}

// waitForDown returns the state that an engine does not answer once it is sent; nil after the limit.
func waitForDown(w *watchers, limit time.Duration) *wire.TargetState {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		down := w.down
		w.mu.Unlock()
		if down != nil {
			return down
		}
	}
	return nil
}

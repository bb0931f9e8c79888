package fleet

import (
	"testing"
	"time"

	"gypsumbank/registry"
)

// TestNewCopyFetchesCachedPrefix sends the next request of a session with a long prompt after a second engine has
// loaded the model. If the first engine, which has the prompt cached, is busy with prefill, the second must fetch the
// KV cache from it instead of prefilling the whole prompt, unless the first may be frozen.
func TestNewCopyFetchesCachedPrefix(t *testing.T) {
	tests := map[string]struct {
		session         string // whose prompt e0 has cached
		missedHeartbeat bool   // e0's agent has missed a heartbeat
		firstIdle       bool   // e0 has no prompts queued
		wantTarget      string
		wantFetchFrom   string
	}{
		"first copy is idle":       {session: "s", firstIdle: true, wantTarget: "e0"},
		"first copy is busy":       {session: "s", wantTarget: "e1", wantFetchFrom: "10.0.0.1:80"},
		"first copy may be frozen": {session: "s", missedHeartbeat: true, wantTarget: "e1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet([]string{"hot"}, []string{"hot"})
			now := start
			first := registry.Target{ID: "e0", Service: service}
			a := f.Assign(Choice{Target: first}, longRequest("hot", test.session), now)
			a.End(Served, now)
			if !test.firstIdle {
				f.Assign(Choice{Target: first, prefillMs: 600}, shortRequest("hot"), now)
			}
			later := now.Add(600 * time.Millisecond)
			f.Observe("e1", newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}}), later)
			if !test.missedHeartbeat {
				f.Observe("e0", newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}}), later)
			}
			choice, ok := f.Choose(Query{Service: service, Request: longRequest("hot", test.session)}, later)
			if !ok || choice.Target.ID != test.wantTarget || choice.FetchFrom != test.wantFetchFrom {
				t.Errorf("chose %s, fetching from %q, want %s and %q", choice.Target.ID, choice.FetchFrom, test.wantTarget, test.wantFetchFrom)
			}
			if fetches := choice.FetchTokens > 0; fetches != (test.wantFetchFrom != "") {
				t.Errorf("%d tokens to fetch, want some if and only if there is a target to fetch from", choice.FetchTokens)
			}
		})
	}
}

// TestShortPrefixIsNotFetched chooses a target for a short prompt, whose KV cache costs more to fetch than to prefill.
func TestShortPrefixIsNotFetched(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"})
	first := registry.Target{ID: "e0", Service: service}
	f.Assign(Choice{Target: first}, shortRequest("hot"), start).End(Served, start)
	f.Assign(Choice{Target: first, prefillMs: 600}, longRequest("hot", "other"), start)
	choice, ok := f.Choose(Query{Service: service, Request: shortRequest("hot")}, start)
	if !ok || choice.Target.ID != "e1" || choice.FetchFrom != "" {
		t.Errorf("choice %+v, want e1 without a fetch", choice)
	}
}

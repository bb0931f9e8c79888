package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
)

var start = time.Unix(1000, 0)

const service = "llm"

// newTestFleet returns the view of a gateway of one engine for each list of models, which the engine holds. All engines
// are in the gateway's zone, have been reported by their agents and are planned by this gateway.
func newTestFleet(holdings ...[]string) *Fleet {
	f := New("a")
	models := map[string]route.Model{}
	var targets []registry.Target
	for i, names := range holdings {
		t := registry.Target{ID: fmt.Sprint("e", i), Born: 1, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i+1), AvailabilityZone: "a", Slots: 64}
		for _, name := range names {
			t.Models = append(t.Models, registry.Model{Name: name})
			models[name] = modelSpec(name)
		}
		targets = append(targets, t)
	}
	for _, name := range []string{"hot", "cold", "new"} {
		models[name] = modelSpec(name)
	}
	f.SetServices(map[string]route.Service{service: {Name: service, Engine: &route.Engine{Models: models, WeightMemoryMB: 230, AdapterSlots: 2, Slots: 64, StoreLoadsPerSecond: 2}}})
	f.UpdateTargets(targets, false, start)
	for _, t := range targets {
		f.Observe(t.ID, newObservation(registry.Report{Born: 1, Models: t.Models}), start)
	}
	return f
}

// modelSpec returns a model of which three fit on an engine.
func modelSpec(name string) route.Model {
	return route.Model{Name: name, WeightMB: 70, StoreLoadTime: 2600 * time.Millisecond, DiskLoadTime: 500 * time.Millisecond, MemoryLoadTime: 300 * time.Millisecond}
}

// newObservation returns the message of an agent that only this gateway is connected to.
func newObservation(report registry.Report) Observation {
	report.KVTotal = 200000
	return Observation{Report: report, Watchers: 1, PlannedHere: true, AvailableAdapterSlots: 2}
}

// longRequest returns a request with a long prompt, of which the first part is shared by all requests and the second by
// those of the same session.
func longRequest(model, session string) *request.Request {
	return &request.Request{ID: "d", Model: model, PromptTokens: 9000, MaxOutputTokens: 50, Parts: []request.Part{
		{ID: "all", Tokens: 2500}, {ID: session, Tokens: 3500}, {ID: "own", Tokens: 3000},
	}}
}

// shortRequest returns a request with a short prompt.
func shortRequest(model string) *request.Request {
	return &request.Request{ID: "a", Model: model, PromptTokens: 800, MaxOutputTokens: 300, Parts: []request.Part{{ID: "x", Tokens: 200}, {ID: "own", Tokens: 600}}}
}

// mustChoose returns the choice for a request and fails the test if no target holds the model.
func mustChoose(t *testing.T, f *Fleet, req *request.Request) Choice {
	t.Helper()
	choice, ok := f.Choose(Query{Service: service, Request: req}, start)
	if !ok || choice.LacksModel {
		t.Fatalf("no target for the request: %+v", choice)
	}
	return choice
}

// TestSessionStaysWithItsCachedPrompt sends the same long prompt twice; the second request must go to the target that
// has the prompt in its KV cache.
func TestSessionStaysWithItsCachedPrompt(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"}, []string{"hot"}, []string{"hot"})
	first := mustChoose(t, f, longRequest("hot", "s1"))
	if first.PrefillTokens != 9000 {
		t.Errorf("%d tokens to prefill for a new session, want 9000", first.PrefillTokens)
	}
	f.Assign(first, longRequest("hot", "s1"), start).End(Served, start)
	second := mustChoose(t, f, longRequest("hot", "s1"))
	if second.Target.ID != first.Target.ID || second.PrefillTokens != 0 {
		t.Errorf("session moved from %s to %s with %d tokens to prefill, want the same target and 0", first.Target.ID, second.Target.ID, second.PrefillTokens)
	}
}

// TestPromptCachedThroughAnotherGateway chooses a target for a session whose first prompt was sent by another gateway;
// the prompt parts that the agent reports must count as cached, also if it tells the low 32 bits of their hashes alone.
func TestPromptCachedThroughAnotherGateway(t *testing.T) {
	for name, known := range map[string]uint64{"whole hashes": math.MaxUint64, "low 32 bits": math.MaxUint32} {
		f := newTestFleet([]string{"hot"}, []string{"hot"}, []string{"hot"})
		req := longRequest("hot", "s1")
		var parts []PromptPart
		for i, hash := range req.PrefixHashes()[:2] {
			parts = append(parts, PromptPart{Hash: hash & known, Tokens: req.Parts[i].Tokens})
		}
		observation := newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
		observation.Parts = parts
		f.Observe("e2", observation, start)
		choice := mustChoose(t, f, req)
		if choice.PrefillTokens != 3000 || (choice.Target.ID != "e2" && choice.FetchFrom != "10.0.0.3:80") {
			t.Errorf("%s: chose %s with %d tokens to prefill, fetching from %q; want e2 or a fetch from it, and 3000 tokens", name, choice.Target.ID, choice.PrefillTokens, choice.FetchFrom)
		}
	}
}

// TestBurstOfLongPromptsIsSpread sends 40 long prompts of different sessions at once; all engines must get some and
// none may get too many.
func TestBurstOfLongPromptsIsSpread(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"}, []string{"hot"}, []string{"hot"})
	sent := map[string]int{}
	for i := range 40 {
		req := longRequest("hot", fmt.Sprint("s", i))
		choice := mustChoose(t, f, req)
		f.Assign(choice, req, start)
		sent[choice.Target.ID]++
	}
	for id, n := range sent {
		if n > 15 {
			t.Errorf("%s got %d of 40 prompts, want at most 15", id, n)
		}
	}
	if len(sent) != 4 {
		t.Errorf("prompts went to %d engines, want all 4", len(sent))
	}
}

// TestQueueOfOtherGatewaysIsAvoided sends a request while prompts of other gateways wait at one of two engines.
func TestQueueOfOtherGatewaysIsAvoided(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"})
	for _, loaded := range []string{"e0", "e1"} {
		for _, id := range []string{"e0", "e1"} {
			observation := newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
			if id == loaded {
				observation.QueuedPrefillMs = 2000
			}
			f.Observe(id, observation, start)
		}
		if choice := mustChoose(t, f, shortRequest("hot")); choice.Target.ID == loaded {
			t.Errorf("request went to %s, where 2000 ms of prefill are queued, want the idle engine", loaded)
		}
	}
}

// TestShortAndLongPromptsAreSeparated checks that a long and a short prompt for one model go to different engines if
// all are idle, since the prefill of a long prompt causes gaps in the streams on its engine.
func TestShortAndLongPromptsAreSeparated(t *testing.T) {
	for i := range 20 {
		name := fmt.Sprint("model", i)
		f := newTestFleet([]string{name}, []string{name}, []string{name}, []string{name})
		long, short := mustChoose(t, f, longRequest(name, "s1")), mustChoose(t, f, shortRequest(name))
		if long.Target.ID == short.Target.ID {
			t.Errorf("long and short prompt for %s both went to %s", name, long.Target.ID)
		}
	}
}

// TestAdapterGoesToTargetWithFreeSlot sends a request for an adapter that neither engine holds while one of them has no
// adapter slot available.
func TestAdapterGoesToTargetWithFreeSlot(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"})
	for _, full := range []string{"e0", "e1"} {
		for _, id := range []string{"e0", "e1"} {
			observation := newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
			if id == full {
				observation.AvailableAdapterSlots = 0
			}
			f.Observe(id, observation, start)
		}
		req := shortRequest("hot")
		req.Adapter = "a1"
		if choice := mustChoose(t, f, req); choice.Target.ID == full || !choice.LacksAdapter {
			t.Errorf("choice %+v, want LacksAdapter and not %s, which has no adapter slot available", choice, full)
		}
	}
}

// TestUpdateTargets checks which targets, and what is known of them, survive an update of the registry.
func TestUpdateTargets(t *testing.T) {
	target := registry.Target{ID: "e0", Born: 1, Service: service, Address: "10.0.0.1:80"}
	restarted := target
	restarted.Born = 2
	tests := map[string]struct {
		second        []registry.Target
		storeWasDown  bool
		after         time.Duration
		wantTargets   int
		wantNewState  bool
		wantSameState bool
	}{
		"still registered":         {second: []registry.Target{target}, wantTargets: 1, wantSameState: true},
		"missing":                  {wantTargets: 0},
		"expired while store down": {storeWasDown: true, wantTargets: 1, wantSameState: true},
		"restarted with same id":   {second: []registry.Target{restarted}, wantTargets: 1, wantNewState: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := New("a")
			f.UpdateTargets([]registry.Target{target}, false, start)
			before := f.states["e0"]
			f.UpdateTargets(test.second, test.storeWasDown, start.Add(time.Second))
			if len(f.Targets()) != test.wantTargets {
				t.Errorf("%d targets known, want %d", len(f.Targets()), test.wantTargets)
			}
			if test.wantSameState && f.states["e0"] != before {
				t.Error("state of the target was replaced, want it kept")
			}
			if test.wantNewState && f.states["e0"] == before {
				t.Error("state of the earlier run was kept for a new run")
			}
		})
	}
	f := New("a")
	f.UpdateTargets([]registry.Target{target}, false, start)
	f.UpdateTargets(nil, true, start.Add(time.Second))
	f.UpdateTargets(nil, false, start.Add(5*time.Second))
	if len(f.Targets()) != 0 {
		t.Error("target that is still missing after the store has recovered was kept")
	}
}

// TestReportOfEarlierRunIsIgnored delivers an agent's message about a run of the engine after one about a later run.
func TestReportOfEarlierRunIsIgnored(t *testing.T) {
	f := newTestFleet([]string{"hot"})
	f.Observe("e0", newObservation(registry.Report{Born: 5}), start)
	f.Observe("e0", newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}}), start)
	if choice, ok := f.Choose(Query{Service: service, Request: shortRequest("hot")}, start); ok && !choice.LacksModel {
		t.Error("report of an earlier run was applied: the engine counts as a holder of the model")
	}
}

// TestFailingTargetsAreAvoided sends steady requests to three plain targets, of which one fails every request quickly
// and another refuses connections; most requests must go to the third.
func TestFailingTargetsAreAvoided(t *testing.T) {
	f := New("a")
	var targets []registry.Target
	for _, id := range []string{"good", "failing", "unreachable"} {
		targets = append(targets, registry.Target{ID: id, Service: "plain", AvailabilityZone: "a", Slots: 4})
	}
	f.UpdateTargets(targets, false, start)
	now, sent := start, map[string]int{}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		choice, ok := f.Choose(Query{Service: "plain", Request: &request.Request{}}, now)
		if !ok {
			t.Fatal("no target for the request")
		}
		sent[choice.Target.ID]++
		a := f.Assign(choice, &request.Request{}, now)
		took := map[string]time.Duration{"good": 50 * time.Millisecond, "failing": time.Millisecond}[choice.Target.ID]
		a.Start(now.Add(took))
		a.End(map[string]Result{"good": Served, "failing": Failed, "unreachable": Unreached}[choice.Target.ID], now.Add(5*time.Millisecond))
	}
	if sent["good"] < 85 {
		t.Errorf("requests by target: %v, want at least 85 of 100 at good", sent)
	}
}

// TestRequestsBesideAFrozenTarget sends steady requests while one engine is frozen, with or without its VM; few may go
// there, and none once it is known to be unresponsive.
func TestRequestsBesideAFrozenTarget(t *testing.T) {
	tests := map[string]struct {
		agentReports bool // the frozen engine's agent goes on sending reports
	}{
		"whole VM is frozen":    {false},
		"only engine is frozen": {true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet([]string{"hot"}, []string{"hot"}, []string{"hot"})
			frozen := mustChoose(t, f, shortRequest("hot")).Target.ID
			sent := map[string]int{}
			now := start
			for i := range 50 {
				now = now.Add(100 * time.Millisecond)
				for _, id := range []string{"e0", "e1", "e2"} {
					if id != frozen || test.agentReports {
						f.Observe(id, newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}}), now)
					}
				}
				choice, ok := f.Choose(Query{Service: service, Request: shortRequest("hot")}, now)
				if !ok {
					t.Fatal("no target for the request")
				}
				a := f.Assign(choice, shortRequest("hot"), now)
				if choice.Target.ID != frozen {
					a.End(Served, now)
					continue
				}
				sent["frozen"]++
				if i > 30 {
					sent["late"]++
				}
			}
			if sent["frozen"] > 12 || sent["late"] > 0 {
				t.Errorf("%d of 50 requests went to the frozen engine, %d of them after the first 31, want at most 12 and 0", sent["frozen"], sent["late"])
			}
		})
	}
}

// TestRestartOfAllEngines chooses targets while the registry still lists the runs of the engines before a restart and
// an agent has reported the new run of one of them.
func TestRestartOfAllEngines(t *testing.T) {
	f := newTestFleet([]string{"hot", "cold"}, []string{"hot"})
	now := start.Add(time.Second)
	report := registry.Report{Born: 2, Models: []registry.Model{{Name: "cold"}}}
	observation := newObservation(report)
	observation.Host = "10.0.0.1"
	f.Observe("e0-again", observation, now)
	if choice, ok := f.Choose(Query{Service: service, Request: shortRequest("cold")}, now); !ok || choice.Target.ID != "e0-again" || choice.Target.Address != "10.0.0.1:80" {
		t.Errorf("choice %+v, want the new run of the first VM", choice)
	}
	if choice, ok := f.Choose(Query{Service: service, Request: shortRequest("hot")}, now); !ok || choice.Target.ID != "e1" {
		t.Errorf("choice %+v, want the registered run on the second VM, whose agent has reported no other", choice)
	}
	registered := []registry.Target{{ID: "e0", Born: 1, Service: service, Address: "10.0.0.1:80"}, {ID: "e1", Born: 1, Service: service, Address: "10.0.0.2:80"}}
	f.UpdateTargets(registered, false, now)
	if choice, ok := f.Choose(Query{Service: service, Request: shortRequest("cold")}, now); !ok || choice.Target.ID != "e0-again" {
		t.Errorf("choice %+v after the registry was read, want the new run of the first VM", choice)
	}
	f.UpdateTargets(registered, false, now.Add(unregisteredLifetime+time.Second))
	for _, target := range f.Targets() {
		if target.ID == "e0-again" {
			t.Error("run that the registry has never listed is still known after its grace period")
		}
	}
}

package fleet

import (
	"fmt"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
)

var start = time.Unix(1000, 0)

const service = "llm"

// engines returns a view of engines that hold the given models each, all observed and planned by this gateway.
func engines(holdings ...[]string) *Fleet {
	f := New("a")
	models := map[string]route.Model{}
	var targets []registry.Target
	for i, names := range holdings {
		t := registry.Target{ID: fmt.Sprint("e", i), Born: 1, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i+1), AvailabilityZone: "a", Slots: 64}
		for _, name := range names {
			t.Models = append(t.Models, registry.Model{Name: name})
			models[name] = model(name)
		}
		targets = append(targets, t)
	}
	for _, name := range []string{"hot", "cold", "new"} {
		models[name] = model(name)
	}
	f.SetServices(map[string]route.Service{service: {Name: service, Engine: &route.Engine{Models: models, WeightMemoryMB: 230, AdapterSlots: 2, Slots: 64, StoreLoadsPerSecond: 2}}})
	f.UpdateTargets(targets, false, start)
	for _, t := range targets {
		f.Observe(t.ID, observation(registry.Report{Born: 1, Models: t.Models}), start)
	}
	return f
}

func model(name string) route.Model {
	return route.Model{Name: name, WeightMB: 70, StoreLoadTime: 2600 * time.Millisecond, DiskLoadTime: 500 * time.Millisecond, MemoryLoadTime: 300 * time.Millisecond}
}

func observation(report registry.Report) Observation {
	report.KVTotal = 200000
	return Observation{Report: report, Watchers: 1, PlannedHere: true, AvailableAdapterSlots: 2}
}

// draft is a request with a long prompt of a session, ask one with a short prompt.
func draft(model, session string) *request.Request {
	return &request.Request{ID: "d", Model: model, PromptTokens: 9000, MaxOutputTokens: 50, Parts: []request.Part{
		{ID: "all", Tokens: 2500}, {ID: session, Tokens: 3500}, {ID: "own", Tokens: 3000},
	}}
}

func ask(model string) *request.Request {
	return &request.Request{ID: "a", Model: model, PromptTokens: 800, MaxOutputTokens: 300, Parts: []request.Part{{ID: "x", Tokens: 200}, {ID: "own", Tokens: 600}}}
}

func choose(t *testing.T, f *Fleet, req *request.Request) Choice {
	t.Helper()
	choice, ok := f.Choose(Query{Service: service, Request: req}, start)
	if !ok || choice.LacksModel {
		t.Fatalf("no target: %+v", choice)
	}
	return choice
}

// TestLongPromptsOfOneSession names its load: prompts that share their first two thirds come one after the other.
func TestLongPromptsOfOneSession(t *testing.T) {
	f := engines([]string{"hot"}, []string{"hot"}, []string{"hot"}, []string{"hot"})
	first := choose(t, f, draft("hot", "s1"))
	if first.PrefillTokens != 9000 {
		t.Errorf("%d tokens of a new session are unread, want all", first.PrefillTokens)
	}
	f.Assign(first, draft("hot", "s1"), start).End(Served, start)
	second := choose(t, f, draft("hot", "s1"))
	if second.Target.ID != first.Target.ID || second.PrefillTokens != 0 {
		t.Errorf("the session moved from %s to %s, %d tokens unread", first.Target.ID, second.Target.ID, second.PrefillTokens)
	}
}

// TestPromptsThatOtherGatewaysSent names its load: a session whose first prompt went through another gateway.
func TestPromptsThatOtherGatewaysSent(t *testing.T) {
	f := engines([]string{"hot"}, []string{"hot"}, []string{"hot"})
	req := draft("hot", "s1")
	var parts []PromptPart
	for i, hash := range req.PrefixHashes()[:2] {
		parts = append(parts, PromptPart{Hash: hash, Tokens: req.Parts[i].Tokens})
	}
	seen := observation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
	seen.Parts = parts
	f.Observe("e2", seen, start)
	choice := choose(t, f, req)
	if choice.PrefillTokens != 3000 || (choice.Target.ID != "e2" && choice.FetchFrom != "10.0.0.3:80") {
		t.Errorf("chose %s with %d tokens unread, the rest from %q; want e2 or its parts, and 3000", choice.Target.ID, choice.PrefillTokens, choice.FetchFrom)
	}
}

// TestBurstOfLongPrompts names its load: many long prompts of different sessions at once.
func TestBurstOfLongPrompts(t *testing.T) {
	f := engines([]string{"hot"}, []string{"hot"}, []string{"hot"}, []string{"hot"})
	sent := map[string]int{}
	for i := range 40 {
		req := draft("hot", fmt.Sprint("s", i))
		choice := choose(t, f, req)
		f.Assign(choice, req, start)
		sent[choice.Target.ID]++
	}
	for id, n := range sent {
		if n > 15 {
			t.Errorf("%s got %d of 40 prompts", id, n)
		}
	}
	if len(sent) != 4 {
		t.Errorf("the prompts went to %d of 4 engines", len(sent))
	}
}

// TestWaitBehindOtherGateways names its load: prompts of other gateways that wait at one engine.
func TestWaitBehindOtherGateways(t *testing.T) {
	f := engines([]string{"hot"}, []string{"hot"})
	for _, loaded := range []string{"e0", "e1"} {
		for _, id := range []string{"e0", "e1"} {
			seen := observation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
			if id == loaded {
				seen.QueuedPrefillMs = 2000
			}
			f.Observe(id, seen, start)
		}
		if choice := choose(t, f, ask("hot")); choice.Target.ID == loaded {
			t.Errorf("a short prompt was sent behind 2000 ms of others' at %s", loaded)
		}
	}
}

// TestShortStreamsBesideLongPrompts names its load: long prompts and short ones of one model, on engines without load.
func TestShortStreamsBesideLongPrompts(t *testing.T) {
	for i := range 20 {
		name := fmt.Sprint("model", i)
		f := engines([]string{name}, []string{name}, []string{name}, []string{name})
		long, short := choose(t, f, draft(name, "s1")), choose(t, f, ask(name))
		if long.Target.ID == short.Target.ID {
			t.Errorf("both kinds of %s went to %s", name, long.Target.ID)
		}
	}
}

func TestAdaptersGoWhereThereIsRoom(t *testing.T) {
	f := engines([]string{"hot"}, []string{"hot"})
	for _, full := range []string{"e0", "e1"} {
		for _, id := range []string{"e0", "e1"} {
			seen := observation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
			if id == full {
				seen.AvailableAdapterSlots = 0
			}
			f.Observe(id, seen, start)
		}
		req := ask("hot")
		req.Adapter = "a1"
		if choice := choose(t, f, req); choice.Target.ID == full || !choice.LacksAdapter {
			t.Errorf("chose %+v, %s has no room", choice, full)
		}
	}
}

func TestUpdateTargets(t *testing.T) {
	one := registry.Target{ID: "e0", Born: 1, Service: service, Address: "10.0.0.1:80"}
	reborn := one
	reborn.Born = 2
	tests := map[string]struct {
		second    []registry.Target
		away      bool
		after     time.Duration
		known     int
		newRun    bool
		unchanged bool
	}{
		"still there":             {second: []registry.Target{one}, known: 1, unchanged: true},
		"gone":                    {known: 0},
		"lapsed while store away": {away: true, known: 1, unchanged: true},
		"reborn under its id":     {second: []registry.Target{reborn}, known: 1, newRun: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := New("a")
			f.UpdateTargets([]registry.Target{one}, false, start)
			before := f.states["e0"]
			f.UpdateTargets(test.second, test.away, start.Add(time.Second))
			if len(f.Targets()) != test.known {
				t.Errorf("%d targets known, want %d", len(f.Targets()), test.known)
			}
			if test.unchanged && f.states["e0"] != before {
				t.Error("what was known of the target is lost")
			}
			if test.newRun && f.states["e0"] == before {
				t.Error("a new run is taken for the old one")
			}
		})
	}
	f := New("a")
	f.UpdateTargets([]registry.Target{one}, false, start)
	f.UpdateTargets(nil, true, start.Add(time.Second))
	f.UpdateTargets(nil, false, start.Add(5*time.Second))
	if len(f.Targets()) != 0 {
		t.Error("an entry that stays missing after the store is back is kept")
	}
}

func TestLateReportOfAnEarlierRunIsIgnored(t *testing.T) {
	f := engines([]string{"hot"})
	f.Observe("e0", observation(registry.Report{Born: 5}), start)
	f.Observe("e0", observation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}}), start)
	if choice, ok := f.Choose(Query{Service: service, Request: ask("hot")}, start); ok && !choice.LacksModel {
		t.Error("the engine counts as a holder by a report of its earlier run")
	}
}

// TestTargetsThatFail names its load: one of three plain targets fails every request, another refuses connections.
func TestTargetsThatFail(t *testing.T) {
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
			t.Fatal("no target")
		}
		sent[choice.Target.ID]++
		a := f.Assign(choice, &request.Request{}, now)
		took := map[string]time.Duration{"good": 50 * time.Millisecond, "failing": time.Millisecond}[choice.Target.ID]
		a.Start(now.Add(took))
		a.End(map[string]Result{"good": Served, "failing": Failed, "unreachable": Unreached}[choice.Target.ID], now.Add(5*time.Millisecond))
	}
	if sent["good"] < 85 {
		t.Errorf("requests went to %v", sent)
	}
}

// TestRequestsBesideAFrozenTarget names its load: steady requests while one engine's VM stands still.
func TestRequestsBesideAFrozenTarget(t *testing.T) {
	tests := map[string]struct {
		reports bool // agents go on telling of their engines
	}{
		"agent on the same VM is silent": {false},
		"only the engine is silent":      {true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := engines([]string{"hot"}, []string{"hot"}, []string{"hot"})
			frozen := choose(t, f, ask("hot")).Target.ID
			sent := map[string]int{}
			now := start
			for i := range 50 {
				now = now.Add(100 * time.Millisecond)
				for _, id := range []string{"e0", "e1", "e2"} {
					if id != frozen || test.reports {
						f.Observe(id, observation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}}), now)
					}
				}
				choice, ok := f.Choose(Query{Service: service, Request: ask("hot")}, now)
				if !ok {
					t.Fatal("no target")
				}
				a := f.Assign(choice, ask("hot"), now)
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
				t.Errorf("%d of 50 requests went to the frozen engine, %d of them late", sent["frozen"], sent["late"])
			}
		})
	}
}

// TestRestartOfAllEngines names its load: requests that arrive while the registry still shows what the engines held before.
func TestRestartOfAllEngines(t *testing.T) {
	f := engines([]string{"hot", "cold"}, []string{"hot"})
	now := start.Add(time.Second)
	report := registry.Report{Born: 2, Models: []registry.Model{{Name: "cold"}}}
	seen := observation(report)
	seen.Host = "10.0.0.1"
	f.Observe("e0-again", seen, now)
	if choice, ok := f.Choose(Query{Service: service, Request: ask("cold")}, now); !ok || choice.Target.ID != "e0-again" || choice.Target.Address != "10.0.0.1:80" {
		t.Errorf("choice %+v, want the new run of the first VM", choice)
	}
	if choice, ok := f.Choose(Query{Service: service, Request: ask("hot")}, now); !ok || choice.Target.ID != "e1" {
		t.Errorf("choice %+v, want the run on the second VM, of which nothing newer is known", choice)
	}
	old := []registry.Target{{ID: "e0", Born: 1, Service: service, Address: "10.0.0.1:80"}, {ID: "e1", Born: 1, Service: service, Address: "10.0.0.2:80"}}
	f.UpdateTargets(old, false, now)
	if choice, ok := f.Choose(Query{Service: service, Request: ask("cold")}, now); !ok || choice.Target.ID != "e0-again" {
		t.Errorf("after the registry was read: choice %+v", choice)
	}
	f.UpdateTargets(old, false, now.Add(succession+time.Second))
	for _, target := range f.Targets() {
		if target.ID == "e0-again" {
			t.Error("a run that the registry never showed is still known")
		}
	}
}

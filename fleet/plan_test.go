package fleet

import (
	"fmt"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
)

// TestRecentlyLoadedModelIsNotEvicted plans a load while a model without demand has been loaded a moment ago; the load
// must evict another model. Otherwise shifting demand evicts models before they have served any request.
func TestRecentlyLoadedModelIsNotEvicted(t *testing.T) {
	f := newTestFleet([]string{"hot", "x1", "cold"}, []string{"hot", "x2", "cold"})
	for _, id := range []string{"e0", "e1"} {
		f.MarkLoaded(id, "cold", start)
	}
	f.RecordDemand(service, shortRequest("hot"), start)
	f.RecordDemand(service, shortRequest("new"), start)
	if placement, ok := f.Plan(service, start); !ok || placement.Evict != "hot" {
		t.Errorf("placement %+v, %v, want one that evicts hot; cold was loaded a moment ago", placement, ok)
	}
}

// TestDemandShiftAddsCopies gives all demand to a model with a single copy while another model still has four.
func TestDemandShiftAddsCopies(t *testing.T) {
	f := newTestFleet([]string{"hot", "cold"}, []string{"hot", "x1", "x2"}, []string{"hot", "x3", "x4"}, []string{"hot", "x5", "x6"})
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		f.RecordDemand(service, longRequest("cold", "s"), now)
	}
	for id := range 4 {
		f.Observe(fmt.Sprint("e", id), newObservation(registry.Report{Born: 1, Models: f.states[fmt.Sprint("e", id)].Models}), now)
	}
	loads := map[string]bool{}
	for range 3 {
		placement, ok := f.Plan(service, now)
		if !ok {
			break
		}
		if placement.Model != "cold" || placement.Evict != "hot" || loads[placement.Target.ID] {
			t.Errorf("placement %+v, want a load of cold that evicts hot on a further engine", placement)
		}
		loads[placement.Target.ID] = true
	}
	if len(loads) != 3 {
		t.Errorf("%d further copies were planned, want 3", len(loads))
	}
}

// TestModelWithoutCopyReplacesSpareCopy requests a model that no engine holds while all engine memory is in use.
func TestModelWithoutCopyReplacesSpareCopy(t *testing.T) {
	f := newTestFleet([]string{"hot", "x1", "x2"}, []string{"hot", "x3", "x4"}, []string{"hot", "x5", "x6"})
	if missing := f.RecordDemand(service, shortRequest("new"), start); !missing {
		t.Error("model new counts as held by an engine, want it missing")
	}
	placement, ok := f.Plan(service, start)
	if !ok || placement.Model != "new" || placement.Evict != "hot" {
		t.Errorf("placement %+v, %v, want new in place of one of three copies of hot", placement, ok)
	}
	if _, again := f.Plan(service, start); again {
		t.Error("a second load of the same model was planned while the first is in progress")
	}
	if eta, ok := f.LoadETA(service, "new", start); !ok || eta <= 0 || eta > 4*time.Second {
		t.Errorf("expected load time of new is %s, %v, want at most 4 s", eta, ok)
	}
}

// TestLastCopyIsNotEvictedWhileSparesExist checks that a load evicts a model with two copies rather than the only copy
// of another, even if that has no demand.
func TestLastCopyIsNotEvictedWhileSparesExist(t *testing.T) {
	f := newTestFleet([]string{"hot", "only1", "only2"}, []string{"hot", "only3", "only4"})
	f.RecordDemand(service, shortRequest("new"), start)
	if placement, ok := f.Plan(service, start); !ok || placement.Evict != "hot" {
		t.Errorf("placement %+v, %v, want one that evicts hot", placement, ok)
	}
}

// TestLastCopyOfASoftwareVersionStays guards against streams that can't be taken up after all gateways were killed, as the only copy of their model
// at the version that began them makes room for a further copy of another. Later it may: streams end before a model is unloaded.
func TestLastCopyOfASoftwareVersionStays(t *testing.T) {
	cases := map[string]struct {
		version   registry.SoftwareVersion // of the engine that may load hot
		started   time.Duration            // ago
		wantEvict string
	}{
		"another version":                       {"v1", 2 * time.Second, ""},
		"one version":                           {"v2", 2 * time.Second, "taken-up"},
		"another version, long after the start": {"v1", time.Minute, "taken-up"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet([]string{"taken-up"}, []string{"taken-up"}, []string{"taken-up"}, []string{"hot"})
			now := start
			f.registryReadSince = start.Add(2*time.Second - c.started)
			for i, version := range []registry.SoftwareVersion{c.version, "v2", "v2", "v2"} {
				f.states[fmt.Sprint("e", i)].SoftwareVersion = version
			}
			engine := *f.services[service].Engine
			engine.WeightMemoryMB = engine.Models["hot"].WeightMB
			f.services[service] = route.Service{Name: service, Engine: &engine}
			for range 200 {
				now = now.Add(10 * time.Millisecond)
				f.RecordDemand(service, longRequest("hot", "s"), now)
			}
			for range 10 {
				f.RecordDemand(service, shortRequest("taken-up"), now)
			}
			for id := range 4 {
				f.Observe(fmt.Sprint("e", id), newObservation(registry.Report{Born: 1, Busy: id == 1 || id == 2, Models: f.states[fmt.Sprint("e", id)].Models}), now)
			}
			placement, _ := f.Plan(service, now)
			if placement.Evict != c.wantEvict {
				t.Errorf("placement %+v, want it to evict %q", placement, c.wantEvict)
			}
		})
	}
}

// TestOnlyThePlannerPlansLoads checks that a gateway plans no loads on targets whose models another gateway plans.
func TestOnlyThePlannerPlansLoads(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"})
	for _, id := range []string{"e0", "e1"} {
		observation := newObservation(registry.Report{Born: 1})
		observation.PlannedHere = false
		f.Observe(id, observation, start)
	}
	f.RecordDemand(service, shortRequest("new"), start)
	if placement, ok := f.Plan(service, start); ok {
		t.Errorf("gateway that is not the planner planned %+v", placement)
	}
}

// TestAllEnginesRestartEmpty requests three models while all engines have just restarted without models and have two of
// them on disk; the loads must go to different engines at once.
func TestAllEnginesRestartEmpty(t *testing.T) {
	f := newTestFleet(nil, nil, nil, nil)
	names := []string{"hot", "cold", "new"}
	for i := range 4 {
		f.Observe(fmt.Sprint("e", i), newObservation(registry.Report{Born: 1, OnDisk: names[:2]}), start)
	}
	for _, name := range names {
		f.RecordDemand(service, shortRequest(name), start)
	}
	loads := map[string]string{}
	for range 4 {
		placement, ok := f.Plan(service, start)
		if !ok {
			break
		}
		if earlier, busy := loads[placement.Target.ID]; busy {
			t.Errorf("%s is to load %s while it loads %s", placement.Target.ID, placement.Model, earlier)
		}
		loads[placement.Target.ID] = placement.Model
	}
	if len(loads) < 3 {
		t.Errorf("planned loads %v, want one of each model on different engines", loads)
	}
}

// TestPlannedStoreLoadsAreRateLimited requests twelve models at once that must all be loaded from the weight store.
func TestPlannedStoreLoadsAreRateLimited(t *testing.T) {
	f := newTestFleet(nil, nil, nil, nil, nil, nil, nil, nil, nil, nil, nil, nil)
	models := map[string]route.Model{}
	for i := range 12 {
		name := fmt.Sprint("rare", i)
		models[name] = modelSpec(name)
	}
	f.SetServices(map[string]route.Service{service: {Name: service, Engine: &route.Engine{Models: models, WeightMemoryMB: 230, StoreLoadsPerSecond: 1}}})
	for name := range models {
		f.RecordDemand(service, shortRequest(name), start)
	}
	planned := 0
	for range 12 {
		if _, ok := f.Plan(service, start); ok {
			planned++
		}
	}
	if planned != 5 {
		t.Errorf("%d loads from the weight store were planned at once, want 5: 1 per second over 3 s and a burst of 2", planned)
	}
}

// TestEnginesLoadFromDiskWhileTheWeightStoreIsUsedUp checks that engines which have restarted without models load those
// on their disks while the rate limit of the weight store rejects the load of a model with more demand, and that this
// load is planned again once the limit allows it.
func TestEnginesLoadFromDiskWhileTheWeightStoreIsUsedUp(t *testing.T) {
	f := newTestFleet(nil, nil)
	now := start
	for id, disk := range []string{"hot", "cold"} {
		f.Observe(fmt.Sprint("e", id), Observation{PlannedHere: true, Report: registry.Report{Born: 1, OnDisk: []string{disk}}}, now)
	}
	for range 20 {
		f.RecordDemand(service, shortRequest("new"), now)
	}
	f.RecordDemand(service, shortRequest("hot"), now)
	f.RecordDemand(service, shortRequest("cold"), now)
	first, ok := f.Plan(service, now)
	if !ok || first.Model != "new" {
		t.Fatalf("first placement %+v, %v, want a load of new", first, ok)
	}
	f.MarkStoreExhausted(service, now.Add(time.Second))
	f.MarkLoadFailed(first.Target.ID, first.Model)
	planned := map[string]string{}
	for {
		placement, ok := f.Plan(service, now)
		if !ok {
			break
		}
		planned[placement.Model] = placement.Target.ID
	}
	if len(planned) != 2 || planned["hot"] != "e0" || planned["cold"] != "e1" {
		t.Errorf("planned loads %v, want hot on e0 and cold on e1", planned)
	}
	for _, id := range planned {
		f.MarkLoadFailed(id, map[string]string{"e0": "hot", "e1": "cold"}[id])
	}
	if again, ok := f.Plan(service, now.Add(1100*time.Millisecond)); !ok || again.Model != "new" {
		t.Errorf("placement %+v, %v after the weight store's limit allows a load, want new", again, ok)
	}
}

// TestStoreRateIsPerService checks that the exhausted weight store rate of one service doesn't block the loads of
// another.
func TestStoreRateIsPerService(t *testing.T) {
	f := newTestFleet(nil)
	for range 100 {
		f.plannedStoreLoads["other"] = append(f.plannedStoreLoads["other"], start)
	}
	f.MarkStoreExhausted("other", start.Add(time.Minute))
	f.RecordDemand(service, shortRequest("new"), start)
	if placement, ok := f.Plan(service, start); !ok || placement.Model != "new" {
		t.Errorf("placement %+v, %v, want a load of new", placement, ok)
	}
}

// TestLongOutputsOnFewSlotsGetCopies sends requests with short prompts and long outputs to engines with few slots: they
// are bound by slots, not by prefill, and their model needs further copies.
func TestLongOutputsOnFewSlotsGetCopies(t *testing.T) {
	cases := map[string]struct {
		slots  int
		copies int
	}{
		"24 slots": {slots: 24, copies: 1},
		"256":      {slots: 256, copies: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet([]string{"hot", "x1", "x2"}, []string{"x3", "x4", "x5"})
			engine := *f.services[service].Engine
			engine.Slots = c.slots
			f.SetServices(map[string]route.Service{service: {Name: service, Engine: &engine}})
			now := start
			for range 100 {
				now = now.Add(100 * time.Millisecond)
				f.RecordDemand(service, &request.Request{Model: "hot", PromptTokens: 500, MaxOutputTokens: 700}, now)
			}
			for id := range 2 {
				f.Observe(fmt.Sprint("e", id), newObservation(registry.Report{Born: 1, Models: f.states[fmt.Sprint("e", id)].Models}), now)
			}
			planned := 0
			for {
				placement, ok := f.Plan(service, now)
				if !ok {
					break
				}
				if placement.Model != "hot" {
					t.Errorf("placement %+v, want one of hot", placement)
				}
				planned++
			}
			if planned != c.copies {
				t.Errorf("%d further copies are planned, want %d", planned, c.copies)
			}
		})
	}
}

// TestRareModelTakesNoBusyCopy requests a rare model once while the only engine that could load it has the only copies of
// busy models: without one of these, more requests would go unserved than the rare model has.
func TestRareModelTakesNoBusyCopy(t *testing.T) {
	f := newTestFleet([]string{"hot", "cold", "x1"})
	now := start
	for range 30 {
		now = now.Add(200 * time.Millisecond)
		for _, model := range []string{"hot", "cold", "x1"} {
			f.RecordDemand(service, longRequest(model, "s"), now)
		}
	}
	f.RecordDemand(service, shortRequest("new"), now)
	f.Observe("e0", newObservation(registry.Report{Born: 1, Models: f.states["e0"].Models}), now)
	if placement, ok := f.Plan(service, now); ok {
		t.Errorf("placement %+v, want none: all copies are busy", placement)
	}
}

// TestFurtherCopyGoesToTheIdleEngine overloads the one copy of a model while one engine serves another busy model and a
// third is idle.
func TestFurtherCopyGoesToTheIdleEngine(t *testing.T) {
	f := newTestFleet([]string{"hot", "x1", "x2"}, []string{"cold", "x3", "x4"}, []string{"x5", "x6", "x7"})
	now := start
	for range 200 {
		now = now.Add(15 * time.Millisecond)
		f.RecordDemand(service, longRequest("hot", "s"), now)
		f.RecordDemand(service, longRequest("cold", "s"), now)
	}
	for id := range 3 {
		f.Observe(fmt.Sprint("e", id), newObservation(registry.Report{Born: 1, Models: f.states[fmt.Sprint("e", id)].Models}), now)
	}
	placement, ok := f.Plan(service, now)
	if !ok || placement.Target.ID != "e2" {
		t.Errorf("placement %+v, %v, want a load on the idle engine e2", placement, ok)
	}
}

// TestModelOfALimitedEngineGetsACopyElsewhere has the only holder of a model name a limit below the demand, or none. The model
// must get a copy at another engine, and the limited engine no further model, while the limit binds and not otherwise.
func TestModelOfALimitedEngineGetsACopyElsewhere(t *testing.T) {
	cases := map[string]struct {
		limit    registry.RequestLimit
		wantLoad bool
	}{
		"limit below the demand": {limit: registry.RequestLimit{Named: true, PerSecond: 1}, wantLoad: true},
		"limit above the demand": {limit: registry.RequestLimit{Named: true, PerSecond: 500}},
		"no limit":               {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet([]string{"cold"}, []string{"hot", "x1"}, []string{"hot", "x2"})
			now := start
			for range 40 {
				now = now.Add(300 * time.Millisecond)
				req := shortRequest("cold")
				f.RecordDemand(service, req, now)
				choice, ok := f.Choose(Query{Service: service, Request: req}, now)
				if !ok || !f.TakeTurn(choice, now) {
					continue
				}
				a := f.Assign(choice, req, now)
				a.RecordNotice(registry.Notice{Limit: c.limit}, now)
				a.End(Served, now)
			}
			for id := range 3 {
				f.Observe(fmt.Sprint("e", id), newObservation(registry.Report{Born: 1, Models: f.states[fmt.Sprint("e", id)].Models}), now)
			}
			placement, ok := f.Plan(service, now)
			if ok != c.wantLoad || (ok && (placement.Model != "cold" || placement.Target.ID == "e0")) {
				t.Errorf("placement %+v, %v; want a copy of the model elsewhere: %v", placement, ok, c.wantLoad)
			}
		})
	}
}

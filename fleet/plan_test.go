package fleet

import (
	"fmt"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/route"
)

// TestModelThatWasJustLoadedStays names its load: demand that moves on before a load has served anyone.
func TestModelThatWasJustLoadedStays(t *testing.T) {
	f := engines([]string{"hot", "x1", "cold"}, []string{"hot", "x2", "cold"})
	for _, id := range []string{"e0", "e1"} {
		f.MarkLoaded(id, "cold", start)
	}
	f.RecordDemand(service, ask("hot"), start)
	f.RecordDemand(service, ask("new"), start)
	if placement, ok := f.Plan(service, start); !ok || placement.Evict != "hot" {
		t.Errorf("placement %+v, %v; cold was loaded a moment ago", placement, ok)
	}
}

// TestDemandMovesToAModelWithOneCopy names its load: the demand leaves one model for another within seconds.
func TestDemandMovesToAModelWithOneCopy(t *testing.T) {
	f := engines([]string{"hot", "cold"}, []string{"hot", "x1", "x2"}, []string{"hot", "x3", "x4"}, []string{"hot", "x5", "x6"})
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		f.RecordDemand(service, draft("cold", "s"), now)
	}
	for id := range 4 {
		f.Observe(fmt.Sprint("e", id), observation(registry.Report{Born: 1, Models: f.states[fmt.Sprint("e", id)].Models}), now)
	}
	loads := map[string]bool{}
	for range 3 {
		placement, ok := f.Plan(service, now)
		if !ok {
			break
		}
		if placement.Model != "cold" || placement.Evict != "hot" || loads[placement.Target.ID] {
			t.Errorf("placement %+v", placement)
		}
		loads[placement.Target.ID] = true
	}
	if len(loads) != 3 {
		t.Errorf("%d further copies are loaded, want 3", len(loads))
	}
}

// TestRareModelWithoutACopy names its load: a request for a model that no engine holds, where all memory is taken.
func TestRareModelWithoutACopy(t *testing.T) {
	f := engines([]string{"hot", "x1", "x2"}, []string{"hot", "x3", "x4"}, []string{"hot", "x5", "x6"})
	if missing := f.RecordDemand(service, ask("new"), start); !missing {
		t.Error("the model counts as held")
	}
	placement, ok := f.Plan(service, start)
	if !ok || placement.Model != "new" || placement.Evict != "hot" {
		t.Errorf("placement %+v, %v; want new in place of one of three copies of hot", placement, ok)
	}
	if _, again := f.Plan(service, start); again {
		t.Error("a second load of the same model begins")
	}
	if eta, ok := f.LoadETA(service, "new", start); !ok || eta <= 0 || eta > 4*time.Second {
		t.Errorf("expected after %s, %v", eta, ok)
	}
}

func TestLastCopiesStayWhileOthersCanMakeWay(t *testing.T) {
	f := engines([]string{"hot", "only1", "only2"}, []string{"hot", "only3", "only4"})
	f.RecordDemand(service, ask("new"), start)
	if placement, ok := f.Plan(service, start); !ok || placement.Evict != "hot" {
		t.Errorf("placement %+v, %v", placement, ok)
	}
}

func TestModelsOfOthersAreNotPlanned(t *testing.T) {
	f := engines([]string{"hot"}, []string{"hot"})
	for _, id := range []string{"e0", "e1"} {
		seen := observation(registry.Report{Born: 1})
		seen.PlannedHere = false
		f.Observe(id, seen, start)
	}
	f.RecordDemand(service, ask("new"), start)
	if placement, ok := f.Plan(service, start); ok {
		t.Errorf("a gateway that is not the planner loads %+v", placement)
	}
}

// TestAllEnginesRestartEmpty names its load: requests for many models while every engine has just restarted empty, with
// some copies on its disk.
func TestAllEnginesRestartEmpty(t *testing.T) {
	f := engines(nil, nil, nil, nil)
	names := []string{"hot", "cold", "new"}
	for i := range 4 {
		f.Observe(fmt.Sprint("e", i), observation(registry.Report{Born: 1, OnDisk: names[:2]}), start)
	}
	for _, name := range names {
		f.RecordDemand(service, ask(name), start)
	}
	loads := map[string]string{}
	for range 4 {
		placement, ok := f.Plan(service, start)
		if !ok {
			break
		}
		if earlier, busy := loads[placement.Target.ID]; busy {
			t.Errorf("%s gets %s while it loads %s", placement.Target.ID, placement.Model, earlier)
		}
		loads[placement.Target.ID] = placement.Model
	}
	if len(loads) < 3 {
		t.Errorf("loads %v, want each model on an engine at once", loads)
	}
}

// TestWeightStoreIsUsedUp names its load: many models that no engine has at hand are asked for at once.
func TestWeightStoreIsUsedUp(t *testing.T) {
	f := engines(nil, nil, nil, nil, nil, nil, nil, nil, nil, nil, nil, nil)
	models := map[string]route.Model{}
	for i := range 12 {
		name := fmt.Sprint("rare", i)
		models[name] = model(name)
	}
	f.SetServices(map[string]route.Service{service: {Name: service, Engine: &route.Engine{Models: models, WeightMemoryMB: 230, StoreLoadsPerSecond: 1}}})
	for name := range models {
		f.RecordDemand(service, ask(name), start)
	}
	planned := 0
	for range 12 {
		if _, ok := f.Plan(service, start); ok {
			planned++
		}
	}
	if planned != 5 {
		t.Errorf("%d loads from the store begin at once, want 5: 1 a second over 3 s and a burst of 2", planned)
	}
}

// TestEnginesLoadFromDiskWhileTheWeightStoreIsUsedUp names its load: all engines have restarted empty, and more models are
// asked for than the rate of the weight store allows at once.
func TestEnginesLoadFromDiskWhileTheWeightStoreIsUsedUp(t *testing.T) {
	f := engines(nil, nil)
	now := start
	for id, disk := range []string{"hot", "cold"} {
		f.Observe(fmt.Sprint("e", id), Observation{PlannedHere: true, Report: registry.Report{Born: 1, OnDisk: []string{disk}}}, now)
	}
	for range 20 {
		f.RecordDemand(service, ask("new"), now)
	}
	f.RecordDemand(service, ask("hot"), now)
	f.RecordDemand(service, ask("cold"), now)
	first, ok := f.Plan(service, now)
	if !ok || first.Model != "new" {
		t.Fatalf("first placement %+v, %v", first, ok)
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
		t.Errorf("planned %v, want hot on e0 and cold on e1", planned)
	}
	for _, id := range planned {
		f.MarkLoadFailed(id, map[string]string{"e0": "hot", "e1": "cold"}[id])
	}
	if again, ok := f.Plan(service, now.Add(1100*time.Millisecond)); !ok || again.Model != "new" {
		t.Errorf("after the wait: placement %+v, %v", again, ok)
	}
}

// TestEachServiceHasItsOwnRate uses up the rate of another service's weight store.
func TestEachServiceHasItsOwnRate(t *testing.T) {
	f := engines(nil)
	for range 100 {
		f.storeLoads["other"] = append(f.storeLoads["other"], start)
	}
	f.MarkStoreExhausted("other", start.Add(time.Minute))
	f.RecordDemand(service, ask("new"), start)
	if placement, ok := f.Plan(service, start); !ok || placement.Model != "new" {
		t.Errorf("placement %+v, %v", placement, ok)
	}
}

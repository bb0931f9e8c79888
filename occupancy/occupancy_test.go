package occupancy

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/registry"
	"gypsumbank/route"
)

var start = time.Unix(1000, 0)

// engine holds two of three models and two adapters.
func engine() *route.Engine {
	models := map[string]route.Model{}
	for _, name := range []string{"m1", "m2", "m3"} {
		models[name] = route.Model{Name: name, WeightMB: 100, AdapterMB: 1, Adapters: 3}
	}
	return &route.Engine{Models: models, WeightMemoryMB: 210, AdapterSlots: 2}
}

func newOccupancy(report registry.Report) *Occupancy {
	o := New()
	o.SetEngine(engine())
	o.Observe(report, start)
	return o
}

func held(models ...registry.Model) registry.Report { return registry.Report{Models: models} }

func model(name string, adapters ...string) registry.Model {
	return registry.Model{Name: name, Adapters: adapters}
}

func TestNext(t *testing.T) {
	later := start.Add(time.Second)
	tests := map[string]struct {
		report registry.Report
		uses   map[registry.Adapter]int
		want   LoadRequest
		step   Order
		none   bool
		err    error
	}{
		"model into room":           {report: held(model("m1")), want: LoadRequest{Model: "m2"}, step: Order{Model: "m2", FromStore: true}},
		"model from its disk":       {report: registry.Report{OnDisk: []string{"m2"}}, want: LoadRequest{Model: "m2"}, step: Order{Model: "m2"}},
		"model makes way":           {report: held(model("m1"), model("m2")), want: LoadRequest{Model: "m3", Evict: "m1"}, step: Order{Unload: true, Model: "m1"}},
		"nothing may make way":      {report: held(model("m1"), model("m2")), want: LoadRequest{Model: "m3"}, none: true, err: ErrNoRoom},
		"model is gone already":     {report: held(model("m1"), model("m2")), want: LoadRequest{Model: "m3", Evict: "m9"}, none: true, err: ErrNoRoom},
		"engine is busy":            {report: registry.Report{Models: []registry.Model{model("m1")}, Busy: true}, want: LoadRequest{Model: "m2"}, none: true},
		"adapter into room":         {report: held(model("m1", "a1")), want: LoadRequest{Model: "m1", Adapter: "a2"}, step: Order{Model: "m1", Adapter: "a2"}},
		"adapter makes way":         {report: held(model("m1", "a1", "a2")), want: LoadRequest{Model: "m1", Adapter: "a3"}, step: Order{Unload: true, Model: "m1", Adapter: "a1"}},
		"adapter in use stays":      {report: held(model("m1", "a1", "a2")), uses: map[registry.Adapter]int{{Model: "m1", Name: "a1"}: 1}, want: LoadRequest{Model: "m1", Adapter: "a3"}, step: Order{Unload: true, Model: "m1", Adapter: "a2"}},
		"all adapters in use":       {report: held(model("m1", "a1", "a2")), uses: map[registry.Adapter]int{{Model: "m1", Name: "a1"}: 1, {Model: "m1", Name: "a2"}: 2}, want: LoadRequest{Model: "m1", Adapter: "a3"}, none: true},
		"adapter is on its way":     {report: registry.Report{Models: []registry.Model{model("m1")}, LoadingAdapters: []registry.Adapter{{Model: "m1", Name: "a2"}}}, want: LoadRequest{Model: "m1", Adapter: "a2"}, none: true},
		"coming adapters take room": {report: registry.Report{Models: []registry.Model{model("m1", "a1")}, LoadingAdapters: []registry.Adapter{{Model: "m1", Name: "a2"}}}, want: LoadRequest{Model: "m1", Adapter: "a3"}, step: Order{Unload: true, Model: "m1", Adapter: "a1"}},
		"adapter while busy":        {report: registry.Report{Models: []registry.Model{model("m1")}, Busy: true}, want: LoadRequest{Model: "m1", Adapter: "a1"}, none: true},
		"adapter without its model": {report: held(model("m2")), want: LoadRequest{Model: "m1", Adapter: "a1"}, none: true, err: ErrNoRoom},
		"unlisted model":            {report: held(), want: LoadRequest{Model: "m9"}, none: true, err: ErrUnknownModel},
		"held already":              {report: held(model("m1")), want: LoadRequest{Model: "m1"}, none: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newOccupancy(test.report)
			o.SetActiveRequests(test.uses, start)
			var got error
			test.want.Expires = later.Add(time.Second)
			test.want.Done = func(err error) { got = err }
			o.Add(&test.want, start)
			step, ok := o.Next(later)
			if ok == test.none || step != test.step {
				t.Errorf("Next = %+v, %v, want %+v", step, ok, test.step)
			}
			if !errors.Is(got, test.err) {
				t.Errorf("want ended with %v, want %v", got, test.err)
			}
		})
	}
}

func TestWantExpires(t *testing.T) {
	o := newOccupancy(registry.Report{Busy: true})
	var got error
	o.Add(&LoadRequest{Model: "m1", Expires: start.Add(time.Second), Done: func(err error) { got = err }}, start)
	o.Next(start.Add(2 * time.Second))
	if !errors.Is(got, ErrExpired) || o.OpenRequests() != 0 {
		t.Errorf("want ended with %v, %d wait", got, o.OpenRequests())
	}
}

// fakeEngine carries out orders one at a time, models after a delay, and crashes on overcommitment.
type fakeEngine struct {
	limits  *route.Engine
	report  registry.Report
	pending Order
	crashed bool
}

func (e *fakeEngine) order(step Order) bool {
	if e.report.Busy {
		return false
	}
	e.report.Sequence++
	if step.Adapter == "" {
		e.pending, e.report.Busy = step, true
		return true
	}
	e.apply(step)
	return true
}

func (e *fakeEngine) finish() {
	if e.report.Busy {
		e.apply(e.pending)
		e.report.Busy = false
	}
}

func (e *fakeEngine) apply(step Order) {
	models := map[string][]string{}
	var names []string
	for _, m := range e.report.Models {
		models[m.Name] = m.Adapters
		names = append(names, m.Name)
	}
	switch {
	case step.Unload && step.Adapter == "":
		delete(models, step.Model)
	case step.Unload:
		var kept []string
		for _, a := range models[step.Model] {
			if a != step.Adapter {
				kept = append(kept, a)
			}
		}
		models[step.Model] = kept
	case step.Adapter == "":
		models[step.Model] = nil
		names = append(names, step.Model)
	default:
		models[step.Model] = append(append([]string(nil), models[step.Model]...), step.Adapter)
	}
	e.report.Models = nil
	used, adapters := 0.0, 0
	for _, name := range names {
		list, ok := models[name]
		if !ok {
			continue
		}
		e.report.Models = append(e.report.Models, registry.Model{Name: name, Adapters: list})
		used += e.limits.Models[name].WeightMB + float64(len(list))*e.limits.Models[name].AdapterMB
		adapters += len(list)
	}
	e.crashed = e.crashed || used > e.limits.WeightMemoryMB || adapters > e.limits.AdapterSlots
}

// TestEngineIsNeverOvercommitted draws wants, uses and delays and checks that no order makes the engine crash and that
// no adapter in use is unloaded.
func TestEngineIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &fakeEngine{limits: engine()}
		o := New()
		o.SetEngine(e.limits)
		now := start
		names := rapid.SampledFrom([]string{"m1", "m2", "m3"})
		adapters := rapid.SampledFrom([]string{"", "a1", "a2", "a3"})
		inUse := map[registry.Adapter]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "finish") {
				e.finish()
			}
			o.Observe(e.report, now)
			if rapid.Bool().Draw(t, "want") {
				want := &LoadRequest{Model: names.Draw(t, "model"), Adapter: adapters.Draw(t, "adapter"), Evict: names.Draw(t, "evict"), Expires: now.Add(time.Second), Done: func(error) {}}
				o.Add(want, now)
			}
			if rapid.Bool().Draw(t, "use") {
				inUse = map[registry.Adapter]int{}
				for _, m := range e.report.Models {
					for _, a := range m.Adapters {
						inUse[registry.Adapter{Model: m.Name, Name: a}] = rapid.IntRange(0, 1).Draw(t, "requests")
					}
				}
				o.SetActiveRequests(inUse, now)
			}
			step, ok := o.Next(now)
			if !ok {
				continue
			}
			if used := (registry.Adapter{Model: step.Model, Name: step.Adapter}); step.Unload && step.Adapter != "" && inUse[used] > 0 {
				t.Fatalf("adapter %v in use is unloaded", used)
			}
			if e.order(step) {
				o.MarkAccepted(step)
			}
			if e.crashed {
				t.Fatalf("overcommitted by %+v: %+v", step, e.report.Models)
			}
		}
	})
}

// TestAdaptersOfManyRequests names its load: requests for more adapters than there are places, one after the other.
func TestAdaptersOfManyRequests(t *testing.T) {
	e := &fakeEngine{limits: engine(), report: held(model("m1"))}
	o := newOccupancy(e.report)
	now := start
	served := 0
	for i := range 30 {
		now = now.Add(200 * time.Millisecond)
		o.Add(&LoadRequest{Model: "m1", Adapter: fmt.Sprint("a", i%3+1), Expires: now.Add(time.Second), Done: func(err error) {
			if err == nil {
				served++
			}
		}}, now)
		for {
			step, ok := o.Next(now)
			if !ok || !e.order(step) {
				break
			}
			o.MarkAccepted(step)
			o.Observe(e.report, now)
		}
	}
	if served != 30 || e.crashed {
		t.Errorf("%d of 30 wants met, crashed %v", served, e.crashed)
	}
}

func TestFailedLoadFreesTheEngineForTheNext(t *testing.T) {
	o := newOccupancy(registry.Report{OnDisk: []string{"m2"}})
	var failed error
	o.Add(&LoadRequest{Model: "m1", Expires: start.Add(time.Second), Done: func(err error) { failed = err }}, start)
	o.Add(&LoadRequest{Model: "m2", Expires: start.Add(time.Second), Done: func(err error) { t.Errorf("m2 ended: %v", err) }}, start)
	if step, ok := o.Next(start); !ok || step.Model != "m1" || !step.FromStore {
		t.Fatalf("step %+v, %v", step, ok)
	}
	cause := errors.New("no budget")
	o.FailModel("m1", cause)
	if !errors.Is(failed, cause) {
		t.Errorf("m1 ended with %v", failed)
	}
	if step, ok := o.Next(start); !ok || step.Model != "m2" || step.FromStore {
		t.Errorf("step %+v, %v, want m2 from its disk", step, ok)
	}
}

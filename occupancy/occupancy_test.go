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

// newEngine returns the limits of an engine with memory for two of three models and with two adapter slots.
func newEngine() *route.Engine {
	models := map[string]route.Model{}
	for _, name := range []string{"m1", "m2", "m3"} {
		models[name] = route.Model{Name: name, WeightMB: 100, AdapterMB: 1, Adapters: 3}
	}
	return &route.Engine{Models: models, WeightMemoryMB: 210, AdapterSlots: 2}
}

func newOccupancy(report registry.Report) *Occupancy {
	o := New()
	o.SetEngine(newEngine())
	o.Observe(report, start)
	return o
}

func reportOf(models ...registry.Model) registry.Report { return registry.Report{Models: models} }

func heldModel(name string, adapters ...string) registry.Model {
	return registry.Model{Name: name, Adapters: adapters}
}

func TestNext(t *testing.T) {
	later := start.Add(time.Second)
	tests := map[string]struct {
		report         registry.Report
		activeRequests map[registry.Adapter]int
		request        LoadRequest
		wantOrder      Order
		wantNone       bool
		wantErr        error
	}{
		"model fits":                {report: reportOf(heldModel("m1")), request: LoadRequest{Model: "m2"}, wantOrder: Order{Model: "m2", FromStore: true}},
		"model on disk":             {report: registry.Report{OnDisk: []string{"m2"}}, request: LoadRequest{Model: "m2"}, wantOrder: Order{Model: "m2"}},
		"model is evicted":          {report: reportOf(heldModel("m1"), heldModel("m2")), request: LoadRequest{Model: "m3", Evict: "m1"}, wantOrder: Order{Unload: true, Model: "m1"}},
		"no model may be evicted":   {report: reportOf(heldModel("m1"), heldModel("m2")), request: LoadRequest{Model: "m3"}, wantNone: true, wantErr: ErrNoRoom},
		"evicted model is not held": {report: reportOf(heldModel("m1"), heldModel("m2")), request: LoadRequest{Model: "m3", Evict: "m9"}, wantNone: true, wantErr: ErrNoRoom},
		"engine is busy":            {report: registry.Report{Models: []registry.Model{heldModel("m1")}, Busy: true}, request: LoadRequest{Model: "m2"}, wantNone: true},
		"adapter slot is free":      {report: reportOf(heldModel("m1", "a1")), request: LoadRequest{Model: "m1", Adapter: "a2"}, wantOrder: Order{Model: "m1", Adapter: "a2"}},
		"adapter is evicted":        {report: reportOf(heldModel("m1", "a1", "a2")), request: LoadRequest{Model: "m1", Adapter: "a3"}, wantOrder: Order{Unload: true, Model: "m1", Adapter: "a1"}},
		"adapter in use is kept":    {report: reportOf(heldModel("m1", "a1", "a2")), activeRequests: map[registry.Adapter]int{{Model: "m1", Name: "a1"}: 1}, request: LoadRequest{Model: "m1", Adapter: "a3"}, wantOrder: Order{Unload: true, Model: "m1", Adapter: "a2"}},
		"all adapters in use":       {report: reportOf(heldModel("m1", "a1", "a2")), activeRequests: map[registry.Adapter]int{{Model: "m1", Name: "a1"}: 1, {Model: "m1", Name: "a2"}: 2}, request: LoadRequest{Model: "m1", Adapter: "a3"}, wantNone: true},
		"adapter is being loaded":   {report: registry.Report{Models: []registry.Model{heldModel("m1")}, LoadingAdapters: []registry.Adapter{{Model: "m1", Name: "a2"}}}, request: LoadRequest{Model: "m1", Adapter: "a2"}, wantNone: true},
		"loading adapter uses slot": {report: registry.Report{Models: []registry.Model{heldModel("m1", "a1")}, LoadingAdapters: []registry.Adapter{{Model: "m1", Name: "a2"}}}, request: LoadRequest{Model: "m1", Adapter: "a3"}, wantOrder: Order{Unload: true, Model: "m1", Adapter: "a1"}},
		"adapter, engine is busy":   {report: registry.Report{Models: []registry.Model{heldModel("m1")}, Busy: true}, request: LoadRequest{Model: "m1", Adapter: "a1"}, wantNone: true},
		"adapter of unheld model":   {report: reportOf(heldModel("m2")), request: LoadRequest{Model: "m1", Adapter: "a1"}, wantNone: true, wantErr: ErrNoRoom},
		"unlisted model":            {report: reportOf(), request: LoadRequest{Model: "m9"}, wantNone: true, wantErr: ErrUnknownModel},
		"already held":              {report: reportOf(heldModel("m1")), request: LoadRequest{Model: "m1"}, wantNone: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newOccupancy(test.report)
			o.SetActiveRequests(test.activeRequests, start)
			var gotErr error
			test.request.Expires = later.Add(time.Second)
			test.request.Done = func(err error) { gotErr = err }
			o.Add(&test.request, start)
			order, ok := o.Next(later)
			if ok == test.wantNone || order != test.wantOrder {
				t.Errorf("Next = %+v, %v, want %+v", order, ok, test.wantOrder)
			}
			if !errors.Is(gotErr, test.wantErr) {
				t.Errorf("load request completed with error %v, want %v", gotErr, test.wantErr)
			}
		})
	}
}

func TestLoadRequestExpires(t *testing.T) {
	o := newOccupancy(registry.Report{Busy: true})
	var gotErr error
	o.Add(&LoadRequest{Model: "m1", Expires: start.Add(time.Second), Done: func(err error) { gotErr = err }}, start)
	o.Next(start.Add(2 * time.Second))
	if !errors.Is(gotErr, ErrExpired) || o.OpenRequests() != 0 {
		t.Errorf("load request completed with error %v and %d are open, want ErrExpired and 0", gotErr, o.OpenRequests())
	}
}

// fakeEngine executes one order at a time, those for models only when finish is called, and records whether its memory
// or adapter slots were ever exceeded.
type fakeEngine struct {
	limits        *route.Engine
	report        registry.Report
	pending       Order
	overcommitted bool
}

func (e *fakeEngine) accept(order Order) bool {
	if e.report.Busy {
		return false
	}
	e.report.Sequence++
	if order.Adapter == "" {
		e.pending, e.report.Busy = order, true
		return true
	}
	e.apply(order)
	return true
}

func (e *fakeEngine) finish() {
	if e.report.Busy {
		e.apply(e.pending)
		e.report.Busy = false
	}
}

func (e *fakeEngine) apply(order Order) {
	models := map[string][]string{}
	var names []string
	for _, m := range e.report.Models {
		models[m.Name] = m.Adapters
		names = append(names, m.Name)
	}
	switch {
	case order.Unload && order.Adapter == "":
		delete(models, order.Model)
	case order.Unload:
		var kept []string
		for _, a := range models[order.Model] {
			if a != order.Adapter {
				kept = append(kept, a)
			}
		}
		models[order.Model] = kept
	case order.Adapter == "":
		models[order.Model] = nil
		names = append(names, order.Model)
	default:
		models[order.Model] = append(append([]string(nil), models[order.Model]...), order.Adapter)
	}
	e.report.Models = nil
	usedMB, adapters := 0.0, 0
	for _, name := range names {
		held, ok := models[name]
		if !ok {
			continue
		}
		e.report.Models = append(e.report.Models, registry.Model{Name: name, Adapters: held})
		usedMB += e.limits.Models[name].WeightMB + float64(len(held))*e.limits.Models[name].AdapterMB
		adapters += len(held)
	}
	e.overcommitted = e.overcommitted || usedMB > e.limits.WeightMemoryMB || adapters > e.limits.AdapterSlots
}

// TestEngineIsNeverOvercommitted draws load requests, active requests and delays and checks that no order exceeds the
// engine's memory or adapter slots and that no adapter with active requests is unloaded.
func TestEngineIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &fakeEngine{limits: newEngine()}
		o := New()
		o.SetEngine(e.limits)
		now := start
		names := rapid.SampledFrom([]string{"m1", "m2", "m3"})
		adapters := rapid.SampledFrom([]string{"", "a1", "a2", "a3"})
		activeRequests := map[registry.Adapter]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "finish") {
				e.finish()
			}
			o.Observe(e.report, now)
			if rapid.Bool().Draw(t, "want") {
				req := &LoadRequest{Model: names.Draw(t, "model"), Adapter: adapters.Draw(t, "adapter"), Evict: names.Draw(t, "evict"), Expires: now.Add(time.Second), Done: func(error) {}}
				o.Add(req, now)
			}
			if rapid.Bool().Draw(t, "use") {
				activeRequests = map[registry.Adapter]int{}
				for _, m := range e.report.Models {
					for _, a := range m.Adapters {
						activeRequests[registry.Adapter{Model: m.Name, Name: a}] = rapid.IntRange(0, 1).Draw(t, "requests")
					}
				}
				o.SetActiveRequests(activeRequests, now)
			}
			order, ok := o.Next(now)
			if !ok {
				continue
			}
			if adapter := (registry.Adapter{Model: order.Model, Name: order.Adapter}); order.Unload && order.Adapter != "" && activeRequests[adapter] > 0 {
				t.Fatalf("order unloads adapter %v, which has active requests", adapter)
			}
			if e.accept(order) {
				o.MarkAccepted(order)
			}
			if e.overcommitted {
				t.Fatalf("order %+v exceeds the engine's limits, it holds %+v", order, e.report.Models)
			}
		}
	})
}

// TestAdaptersShareSlotsOverTime requests three adapters in turn on an engine with two adapter slots; each request must
// be satisfied by evicting an idle adapter.
func TestAdaptersShareSlotsOverTime(t *testing.T) {
	e := &fakeEngine{limits: newEngine(), report: reportOf(heldModel("m1"))}
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
			order, ok := o.Next(now)
			if !ok || !e.accept(order) {
				break
			}
			o.MarkAccepted(order)
			o.Observe(e.report, now)
		}
	}
	if served != 30 || e.overcommitted {
		t.Errorf("%d of 30 load requests satisfied, want all; engine overcommitted: %v", served, e.overcommitted)
	}
}

// TestFailedLoadDoesNotBlockTheNext checks that after a failed load from the weight store the engine goes on with a
// model that is on its disk.
func TestFailedLoadDoesNotBlockTheNext(t *testing.T) {
	o := newOccupancy(registry.Report{OnDisk: []string{"m2"}})
	var gotErr error
	o.Add(&LoadRequest{Model: "m1", Expires: start.Add(time.Second), Done: func(err error) { gotErr = err }}, start)
	o.Add(&LoadRequest{Model: "m2", Expires: start.Add(time.Second), Done: func(err error) { t.Errorf("request for m2 completed with error %v, want it open", err) }}, start)
	if order, ok := o.Next(start); !ok || order.Model != "m1" || !order.FromStore {
		t.Fatalf("Next = %+v, %v, want a load of m1 from the weight store", order, ok)
	}
	cause := errors.New("no budget")
	o.FailModel("m1", cause)
	if !errors.Is(gotErr, cause) {
		t.Errorf("request for m1 completed with error %v, want the one passed to FailModel", gotErr)
	}
	if order, ok := o.Next(start); !ok || order.Model != "m2" || order.FromStore {
		t.Errorf("Next = %+v, %v, want a load of m2 from disk", order, ok)
	}
}

// TestForgetsAdaptersThatAreGone has requests name one adapter after another that the engine never holds. The time of use of the one that it
// holds must be kept.
func TestForgetsAdaptersThatAreGone(t *testing.T) {
	const seen = 1000
	report := reportOf(heldModel("m1", "a1"))
	o := newOccupancy(report)
	o.SetActiveRequests(map[registry.Adapter]int{{Model: "m1", Name: "a1"}: 1}, start)
	o.SetActiveRequests(nil, start)
	now := start
	for i := range seen {
		now = now.Add(useReportDelay)
		o.Add(&LoadRequest{Model: "m1", Adapter: fmt.Sprint("x", i), Expires: now.Add(time.Millisecond), Done: func(error) {}}, now)
		o.Observe(report, now)
	}
	if kept := len(o.lastUsed); kept > 5 {
		t.Errorf("times of use of %d adapters are kept of %d", kept, seen)
	}
	if _, ok := o.lastUsed[registry.Adapter{Model: "m1", Name: "a1"}]; !ok {
		t.Error("the time of use of an adapter that the engine holds is forgotten")
	}
}

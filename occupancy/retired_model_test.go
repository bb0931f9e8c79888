package occupancy

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/registry"
	"gypsumbank/route"
)

// listOf returns the limits of newEngine with the given models only.
func listOf(models ...route.Model) *route.Engine {
	engine := newEngine()
	engine.Models = map[string]route.Model{}
	for _, m := range models {
		m.Adapters = 9
		engine.Models[m.Name] = m
	}
	engine.AdapterSlots = 8
	return engine
}

func sized(name string, weightMB, adapterMB float64) route.Model {
	return route.Model{Name: name, WeightMB: weightMB, AdapterMB: adapterMB}
}

// TestHeldModelCountsWhateverTheRoutesListNow guards against loads beyond the memory of an engine (which ends it) because what it holds
// counts as nothing, or as less than it is, once a version of the routes lists it no more or with another size.
func TestHeldModelCountsWhateverTheRoutesListNow(t *testing.T) {
	m1, m2, m3 := sized("m1", 100, 5), sized("m2", 100, 5), sized("m3", 100, 5)
	cases := map[string]struct {
		before  *route.Engine // nil for an agent that has just started
		after   *route.Engine
		held    []registry.Model
		loading []registry.Adapter
		request LoadRequest
		want    []Order // each is carried out before the next one
		wantErr error
	}{
		"a listed model is held":              {listOf(m1, m2, m3), listOf(m1, m2, m3), []registry.Model{heldModel("m1")}, nil, LoadRequest{Model: "m3"}, []Order{{Model: "m3", FromStore: true}}, nil},
		"a held model is retired":             {listOf(m1, m2, m3), listOf(m1, m3), []registry.Model{heldModel("m1"), heldModel("m2")}, nil, LoadRequest{Model: "m3"}, nil, ErrNoRoom},
		"a retired model may go":              {listOf(m1, m2, m3), listOf(m1, m3), []registry.Model{heldModel("m1"), heldModel("m2")}, nil, LoadRequest{Model: "m3", Evict: "m2"}, []Order{{Unload: true, Model: "m2"}, {Model: "m3", FromStore: true}}, nil},
		"a retired model leaves room":         {listOf(m1, m2, m3), listOf(m1, m3), []registry.Model{heldModel("m2")}, nil, LoadRequest{Model: "m3"}, []Order{{Model: "m3", FromStore: true}}, nil},
		"a retired model, found at the start": {nil, listOf(m1, m3), []registry.Model{heldModel("m1"), heldModel("m2")}, nil, LoadRequest{Model: "m3"}, []Order{{Unload: true, Model: "m2"}, {Model: "m3", FromStore: true}}, nil},
		"two of them, another may go":         {nil, listOf(m1, m3), []registry.Model{heldModel("m0"), heldModel("m1"), heldModel("m2")}, nil, LoadRequest{Model: "m3", Evict: "m1"}, []Order{{Unload: true, Model: "m0"}, {Unload: true, Model: "m2"}, {Model: "m3", FromStore: true}}, nil},
		"a held model shrinks":                {listOf(m1, m2, m3), listOf(m1, sized("m2", 10, 5), m3), []registry.Model{heldModel("m1"), heldModel("m2")}, nil, LoadRequest{Model: "m3"}, nil, ErrNoRoom},
		"a held model grows":                  {listOf(m1, m2, m3), listOf(sized("m1", 150, 5), m3), []registry.Model{heldModel("m1")}, nil, LoadRequest{Model: "m3"}, nil, ErrNoRoom},
		"adapters of a retired model":         {listOf(m1, m2), listOf(m1), []registry.Model{heldModel("m1"), heldModel("m2", "a1", "a2")}, nil, LoadRequest{Model: "m1", Adapter: "a1"}, []Order{{Unload: true, Model: "m2", Adapter: "a1"}, {Model: "m1", Adapter: "a1"}}, nil},
		"adapters shrink":                     {listOf(m1, m2), listOf(sized("m1", 100, 0.1), m2), []registry.Model{heldModel("m1", "a1", "a2"), heldModel("m2")}, nil, LoadRequest{Model: "m1", Adapter: "a3"}, []Order{{Unload: true, Model: "m1", Adapter: "a1"}, {Model: "m1", Adapter: "a3"}}, nil},
		"an adapter, found at the start":      {nil, listOf(m1), []registry.Model{heldModel("m1"), heldModel("m2")}, nil, LoadRequest{Model: "m1", Adapter: "a1"}, []Order{{Unload: true, Model: "m2"}, {Model: "m1", Adapter: "a1"}}, nil},
		"adapters of a retired model arrive":  {listOf(m1, sized("m2", 100, 10)), listOf(m1), []registry.Model{heldModel("m1"), heldModel("m2")}, []registry.Adapter{{Model: "m2", Name: "a1"}}, LoadRequest{Model: "m1", Adapter: "a1"}, nil, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			report := registry.Report{Models: c.held, LoadingAdapters: c.loading}
			o := New()
			if c.before != nil {
				o.SetEngine(c.before)
			}
			o.Observe(report, start)
			o.SetEngine(c.after)
			o.Observe(report, start)
			engine := &fakeEngine{limits: listOf(m1, m2, m3), report: report}
			var gotErr error
			c.request.Expires, c.request.Done = start.Add(time.Minute), func(err error) { gotErr = err }
			o.Add(&c.request, start)
			for i, want := range c.want {
				order, ok := o.Next(start.Add(time.Second))
				if !ok || order != want {
					t.Fatalf("order %d: %+v, %v, want %+v", i, order, ok, want)
				}
				engine.accept(order)
				o.MarkAccepted(order)
				engine.finish()
				o.Observe(engine.report, start.Add(time.Second))
			}
			if order, ok := o.Next(start.Add(time.Second)); ok {
				t.Errorf("another order: %+v", order)
			}
			if !errors.Is(gotErr, c.wantErr) {
				t.Errorf("completed with %v, want %v", gotErr, c.wantErr)
			}
		})
	}
}

// TestRetiredModelIsNotOrdered guards against orders for a model that a version of the routes has retired after it was requested: its
// size counts as nothing.
func TestRetiredModelIsNotOrdered(t *testing.T) {
	m1, m2, m3 := sized("m1", 100, 5), sized("m2", 100, 5), sized("m3", 100, 5)
	cases := map[string]struct {
		request LoadRequest
		held    []registry.Model
	}{
		"model":   {LoadRequest{Model: "m2"}, []registry.Model{heldModel("m1"), heldModel("m3")}},
		"adapter": {LoadRequest{Model: "m2", Adapter: "a1"}, []registry.Model{heldModel("m1"), heldModel("m2")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := New()
			o.SetEngine(listOf(m1, m2, m3))
			o.Observe(registry.Report{Models: c.held, Busy: true}, start)
			var gotErr error
			c.request.Expires, c.request.Done = start.Add(time.Minute), func(err error) { gotErr = err }
			o.Add(&c.request, start)
			o.SetEngine(listOf(m1, m3))
			o.Observe(registry.Report{Models: c.held}, start)
			if order, ok := o.Next(start); ok || !errors.Is(gotErr, ErrUnknownModel) {
				t.Errorf("order %+v, %v, completed with %v; want %v", order, ok, gotErr, ErrUnknownModel)
			}
		})
	}
}

// TestModelThatIsLoadedAgainHasItsNewSize guards against sizes that are kept for ever: once a model is gone, it counts as it is listed.
func TestModelThatIsLoadedAgainHasItsNewSize(t *testing.T) {
	m1, m2, m3 := sized("m1", 100, 5), sized("m2", 100, 5), sized("m3", 100, 5)
	o := New()
	o.SetEngine(listOf(m1, m2, m3))
	both := reportOf(heldModel("m1"), heldModel("m2"))
	o.Observe(both, start)
	o.SetEngine(listOf(m1, sized("m2", 10, 5), m3))
	o.Observe(reportOf(heldModel("m1")), start)
	o.Observe(both, start)
	o.Add(&LoadRequest{Model: "m3", Expires: start.Add(time.Minute), Done: func(error) {}}, start)
	if order, ok := o.Next(start); !ok || order.Model != "m3" {
		t.Errorf("order %+v, %v, want a load of m3: m2 has 10 MB since it was loaded again", order, ok)
	}
}

// TestNoListOvercommitsAnEngine draws lists of models that change while an engine loads what is requested. Its memory must hold all, with
// the size that each model had as it was loaded.
func TestNoListOvercommitsAnEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"m1", "m2", "m3", "m4", "m5"}
		fixedMB := map[string]float64{"m1": 30, "m2": 60, "m3": 60, "m4": 100, "m5": 100}
		// An agent that starts can't know that a listed model was loaded with another size than it has now.
		restarts := rapid.Bool().Draw(t, "the agent restarts, and no size changes")
		drawList := func() *route.Engine {
			var models []route.Model
			for _, name := range names {
				if rapid.Bool().Draw(t, "is listed") {
					weightMB := fixedMB[name]
					if !restarts {
						weightMB = rapid.SampledFrom([]float64{30, 60, 100}).Draw(t, name)
					}
					models = append(models, sized(name, weightMB, 5))
				}
			}
			return listOf(models...)
		}
		o, list := New(), drawList()
		o.SetEngine(list)
		sizes := map[string]float64{} // of what the engine holds
		now := start
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				list = drawList()
				o.SetEngine(list)
			}
			if restarts && rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				o = New() // of the agent; the engine holds what it held
				o.SetEngine(list)
			}
			o.Observe(reportOf(heldModels(sizes)...), now)
			request := &LoadRequest{Model: rapid.SampledFrom(names).Draw(t, "model"), Evict: rapid.SampledFrom(append(names, "")).Draw(t, "evict"), Expires: now.Add(time.Minute), Done: func(error) {}}
			o.Add(request, now)
			order, ok := o.Next(now)
			switch {
			case !ok:
			case order.Unload:
				delete(sizes, order.Model)
			default:
				sizes[order.Model] = list.Models[order.Model].WeightMB
			}
			sum := 0.0
			for _, size := range sizes {
				sum += size
			}
			if sum > list.WeightMemoryMB {
				t.Fatalf("the engine holds %v, %g of %g MB", sizes, sum, list.WeightMemoryMB)
			}
		}
	})
}

// heldModels returns the models in the order of their names.
func heldModels(sizes map[string]float64) []registry.Model {
	var held []registry.Model
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5"} {
		if _, ok := sizes[name]; ok {
			held = append(held, heldModel(name))
		}
	}
	return held
}

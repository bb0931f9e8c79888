package occupancy

import (
	"errors"
	"slices"
	"time"

	"gypsumbank/registry"
	"gypsumbank/route"
)

var (
	// ErrUnknownModel reports a model or adapter that the routes do not list.
	ErrUnknownModel = errors.New("model or adapter is not listed")
	// ErrNoRoom reports that nothing may be dropped to make room.
	ErrNoRoom = errors.New("no room")
	// ErrExpired reports that a model or adapter was not held in time.
	ErrExpired = errors.New("not held in time")
)

// LoadRequest is a model, and an adapter on it, that the engine is asked to hold.
type LoadRequest struct {
	Model   string
	Adapter string // empty for the model alone
	Evict   string // model that may be dropped to make room; empty for none
	Expires time.Time
	Done    func(error) // called once, with nil when the engine holds it
}

// Order is an order to send next.
type Order struct {
	Unload    bool
	Model     string
	Adapter   string
	FromStore bool // loads from the weight store, whose rate is limited
}

// Occupancy holds the wants and what the engine was last known to hold; it is used by one goroutine.
type Occupancy struct {
	engine  *route.Engine
	report  registry.Report
	wants   []*LoadRequest
	used    map[registry.Adapter]time.Time // when an adapter was last asked for
	inUse   map[registry.Adapter]int       // requests by adapter, as gateways tell
	loading string                         // model that the engine is loading by an order of this process
	leaving string                         // model that it is unloading
}

// New returns an occupancy without wants.
func New() *Occupancy { return &Occupancy{used: map[registry.Adapter]time.Time{}} }

// SetEngine replaces the sizes of models and of the engine.
func (o *Occupancy) SetEngine(engine *route.Engine) { o.engine = engine }

// Add adds a want; at most one order at a time serves it.
func (o *Occupancy) Add(want *LoadRequest, now time.Time) {
	if o.engine == nil {
		want.Done(ErrExpired)
		return
	}
	if _, ok := o.engine.Models[want.Model]; !ok {
		want.Done(ErrUnknownModel)
		return
	}
	if want.Adapter != "" {
		o.used[registry.Adapter{Model: want.Model, Name: want.Adapter}] = now
	}
	o.wants = append(o.wants, want)
	o.settle(now)
}

// Reset forgets what an earlier run of the engine was doing.
func (o *Occupancy) Reset() {
	o.loading, o.leaving = "", ""
	o.used = map[registry.Adapter]time.Time{}
}

// SetActiveRequests replaces what is known of the requests by adapter.
func (o *Occupancy) SetActiveRequests(inUse map[registry.Adapter]int, now time.Time) {
	for a := range o.inUse {
		if inUse[a] == 0 {
			o.used[a] = now
		}
	}
	o.inUse = inUse
}

// AvailableAdapterSlots returns the number of places for adapters that are free or held by an adapter that no request uses.
func (o *Occupancy) AvailableAdapterSlots(now time.Time) int {
	if o.engine == nil {
		return 0
	}
	room := o.engine.AdapterSlots - len(o.report.LoadingAdapters)
	for _, m := range o.report.Models {
		for _, name := range m.Adapters {
			if o.busy(registry.Adapter{Model: m.Name, Name: name}, now) {
				room--
			}
		}
	}
	return max(0, room)
}

// busy reports whether an adapter is in use, or was asked for so recently that its request may be on its way.
func (o *Occupancy) busy(a registry.Adapter, now time.Time) bool {
	return o.inUse[a] > 0 || o.wanted(a) || now.Sub(o.used[a]) < useNotice
}

// Observe takes over a fresh report and ends the wants that it meets.
func (o *Occupancy) Observe(report registry.Report, now time.Time) {
	o.report = report
	if o.loading != "" && !report.Busy {
		o.loading = ""
	}
	if o.leaving != "" && (!report.Busy || !registry.Holds(report.Models, o.leaving, "")) {
		o.leaving = ""
	}
	o.settle(now)
}

// FailModel ends the wants for a model itself with an error.
func (o *Occupancy) FailModel(model string, err error) {
	o.wants = slices.DeleteFunc(o.wants, func(w *LoadRequest) bool {
		if w.Model != model || w.Adapter != "" {
			return false
		}
		w.Done(err)
		return true
	})
}

// MarkAccepted records that the engine carries out a step.
func (o *Occupancy) MarkAccepted(step Order) {
	switch {
	case step.Adapter != "":
	case step.Unload:
		o.leaving = step.Model
	default:
		o.loading = step.Model
	}
}

// Loading returns the model that is being loaded or that room is being made for, or "".
func (o *Occupancy) Loading() string {
	if o.loading != "" {
		return o.loading
	}
	for _, w := range o.wants {
		if w.Adapter == "" {
			return w.Model
		}
	}
	return ""
}

// Models returns what the engine holds and is not about to drop.
func (o *Occupancy) Models() []registry.Model {
	if o.leaving == "" {
		return o.report.Models
	}
	return slices.DeleteFunc(slices.Clone(o.report.Models), func(m registry.Model) bool { return m.Name == o.leaving })
}

// OpenRequests returns how many wants are not met.
func (o *Occupancy) OpenRequests() int { return len(o.wants) }

// settle ends the wants that are met or have expired.
func (o *Occupancy) settle(now time.Time) {
	o.wants = slices.DeleteFunc(o.wants, func(w *LoadRequest) bool {
		switch {
		case w.Model != o.leaving && registry.Holds(o.report.Models, w.Model, w.Adapter):
			w.Done(nil)
		case now.After(w.Expires):
			w.Done(ErrExpired)
		default:
			return false
		}
		return true
	})
}

// Next returns the order that serves the oldest want that can be served now.
func (o *Occupancy) Next(now time.Time) (Order, bool) {
	o.settle(now)
	for i := 0; i < len(o.wants); i++ {
		step, ok, err := o.step(o.wants[i], now)
		if err != nil {
			o.wants[i].Done(err)
			o.wants = slices.Delete(o.wants, i, i+1)
			i--
			continue
		}
		if ok {
			return step, true
		}
	}
	return Order{}, false
}

func (o *Occupancy) step(w *LoadRequest, now time.Time) (Order, bool, error) {
	if registry.Holds(o.report.Models, w.Model, "") && w.Model != o.leaving {
		return o.adapterStep(w, now)
	}
	if w.Adapter != "" {
		return Order{}, false, ErrNoRoom
	}
	return o.modelStep(w)
}

func (o *Occupancy) modelStep(w *LoadRequest) (Order, bool, error) {
	if o.report.Busy || o.loading != "" || o.leaving != "" {
		return Order{}, false, nil
	}
	need := o.engine.Models[w.Model].WeightMB
	if o.free() >= need {
		return Order{Model: w.Model, FromStore: !o.report.HasLocalWeights(w.Model)}, true, nil
	}
	if w.Evict == "" || w.Evict == w.Model || !registry.Holds(o.report.Models, w.Evict, "") {
		return Order{}, false, ErrNoRoom
	}
	return Order{Unload: true, Model: w.Evict}, true, nil
}

func (o *Occupancy) adapterStep(w *LoadRequest, now time.Time) (Order, bool, error) {
	coming := registry.Adapter{Model: w.Model, Name: w.Adapter}
	if o.report.Busy || o.loading != "" || o.leaving != "" {
		return Order{}, false, nil // the engine takes no order before the one for a model has ended
	}
	if slices.Contains(o.report.LoadingAdapters, coming) || len(o.report.LoadingAdapters) >= maxComing {
		return Order{}, false, nil
	}
	held := registry.AdapterCount(o.report.Models) + len(o.report.LoadingAdapters)
	if held < o.engine.AdapterSlots && o.free() >= o.engine.Models[w.Model].AdapterMB {
		return Order{Model: w.Model, Adapter: w.Adapter}, true, nil
	}
	victim, ok := o.idlest(now)
	if !ok {
		return Order{}, false, nil // an adapter in use would hold up all orders until its requests have ended
	}
	return Order{Unload: true, Model: victim.Model, Adapter: victim.Name}, true, nil
}

const (
	// maxComing is how many adapters may be on their way to an engine at the same time.
	maxComing = 4
	// useNotice is the time within which a gateway tells that a request uses an adapter it asked for.
	useNotice = 150 * time.Millisecond
)

// idlest returns the adapter out of use that was not asked for for the longest time.
func (o *Occupancy) idlest(now time.Time) (victim registry.Adapter, ok bool) {
	var oldest time.Time
	for _, m := range o.report.Models {
		for _, name := range m.Adapters {
			a := registry.Adapter{Model: m.Name, Name: name}
			if o.busy(a, now) {
				continue
			}
			if used := o.used[a]; !ok || used.Before(oldest) {
				victim, oldest, ok = a, used, true
			}
		}
	}
	return victim, ok
}

func (o *Occupancy) wanted(a registry.Adapter) bool {
	return slices.ContainsFunc(o.wants, func(w *LoadRequest) bool { return w.Model == a.Model && w.Adapter == a.Name })
}

// free returns the memory in MB that is neither held nor promised to an order in progress.
func (o *Occupancy) free() float64 {
	free := o.engine.WeightMemoryMB
	for _, m := range o.report.Models {
		known := o.engine.Models[m.Name]
		free -= known.WeightMB + known.AdapterMB*float64(len(m.Adapters))
	}
	for _, a := range o.report.LoadingAdapters {
		free -= o.engine.Models[a.Model].AdapterMB
	}
	if o.loading != "" && !registry.Holds(o.report.Models, o.loading, "") {
		free -= o.engine.Models[o.loading].WeightMB
	}
	return free
}

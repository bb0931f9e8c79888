package occupancy

import (
	"errors"
	"maps"
	"slices"
	"time"

	"gypsumbank/registry"
	"gypsumbank/route"
)

var (
	// ErrUnknownModel reports a model that the routing table does not list.
	ErrUnknownModel = errors.New("model or adapter is not listed")
	// ErrNoRoom reports that the engine has no memory for the model and none may be freed, or that it does not hold the
	// model of the adapter.
	ErrNoRoom = errors.New("no room")
	// ErrExpired reports that the deadline passed before the engine held the model or adapter, or that the limits of
	// the engine are not known yet.
	ErrExpired = errors.New("not held in time")
)

// LoadRequest is a request that the engine hold a model, or an adapter of a model that it holds.
type LoadRequest struct {
	Model   string
	Adapter string // empty for a model
	Evict   string // model that may be unloaded to make room; empty for none
	Expires time.Time
	Done    func(error) // called once, with nil when the engine holds the model or adapter
}

// Order is an order to the engine to load or unload a model or an adapter.
type Order struct {
	Unload    bool
	Model     string
	Adapter   string // empty for a model
	FromStore bool   // the weights come from the weight store, whose load rate is limited
}

// Occupancy holds the open load requests and the last known state of the engine. It is not safe for concurrent use.
type Occupancy struct {
	engine         *route.Engine
	report         registry.Report
	requests       []*LoadRequest
	lastUsed       map[registry.Adapter]time.Time // when an adapter was last requested or its last active request ended
	activeRequests map[registry.Adapter]int       // requests that use an adapter, as reported by the gateways
	loading        string                         // model of an accepted load order in progress, or empty
	unloading      string                         // model of an accepted unload order in progress, or empty
}

// New returns an Occupancy without load requests; it rejects all until SetEngine is called.
func New() *Occupancy { return &Occupancy{lastUsed: map[registry.Adapter]time.Time{}} }

// SetEngine replaces the listed models with their sizes and the limits of the engine.
func (o *Occupancy) SetEngine(engine *route.Engine) { o.engine = engine }

// Add adds a load request, for which at most one order at a time is in progress. The request is rejected at once, by a
// call of its Done, if its model is not listed or the limits of the engine are not known yet.
func (o *Occupancy) Add(req *LoadRequest, now time.Time) {
	if o.engine == nil {
		req.Done(ErrExpired)
		return
	}
	if _, ok := o.engine.Models[req.Model]; !ok {
		req.Done(ErrUnknownModel)
		return
	}
	if req.Adapter != "" {
		o.lastUsed[registry.Adapter{Model: req.Model, Name: req.Adapter}] = now
	}
	o.requests = append(o.requests, req)
	o.completeRequests(now)
}

// Reset discards the orders in progress and the times of adapter use; it is called when the engine has restarted.
func (o *Occupancy) Reset() {
	o.loading, o.unloading = "", ""
	o.lastUsed = map[registry.Adapter]time.Time{}
}

// SetActiveRequests replaces the number of active requests by adapter. An adapter that has none any more counts as last
// used now.
func (o *Occupancy) SetActiveRequests(activeRequests map[registry.Adapter]int, now time.Time) {
	for a := range o.activeRequests {
		if activeRequests[a] == 0 {
			o.lastUsed[a] = now
		}
	}
	o.activeRequests = activeRequests
}

// AvailableAdapterSlots returns the number of adapter slots that are free or can be freed because no request uses their
// adapter.
func (o *Occupancy) AvailableAdapterSlots(now time.Time) int {
	if o.engine == nil {
		return 0
	}
	slots := o.engine.AdapterSlots - len(o.report.LoadingAdapters)
	for _, m := range o.report.Models {
		for _, name := range m.Adapters {
			if o.adapterInUse(registry.Adapter{Model: m.Name, Name: name}, now) {
				slots--
			}
		}
	}
	return max(0, slots)
}

// adapterInUse reports whether an adapter must stay loaded: it has active requests, or it was requested so recently
// that the gateway may not have reported the inference request yet.
func (o *Occupancy) adapterInUse(adapter registry.Adapter, now time.Time) bool {
	return o.activeRequests[adapter] > 0 || o.adapterRequested(adapter) || now.Sub(o.lastUsed[adapter]) < useReportDelay
}

// Observe replaces the state of the engine by a new report and completes the load requests that it satisfies.
func (o *Occupancy) Observe(report registry.Report, now time.Time) {
	o.report = report
	if o.loading != "" && !report.Busy {
		o.loading = ""
	}
	if o.unloading != "" && (!report.Busy || !registry.Holds(report.Models, o.unloading, "")) {
		o.unloading = ""
	}
	o.completeRequests(now)
	o.forgetUnused(now)
}

// forgetUnused drops the times of use of adapters that the engine neither holds nor loads and that no request asks for. Callers name
// adapters, so there may be any number.
func (o *Occupancy) forgetUnused(now time.Time) {
	maps.DeleteFunc(o.lastUsed, func(a registry.Adapter, _ time.Time) bool {
		return !registry.Holds(o.report.Models, a.Model, a.Name) && !slices.Contains(o.report.LoadingAdapters, a) && !o.adapterInUse(a, now)
	})
}

// FailModel completes the load requests for a model with an error; requests for its adapters stay.
func (o *Occupancy) FailModel(model string, err error) {
	o.requests = slices.DeleteFunc(o.requests, func(req *LoadRequest) bool {
		if req.Model != model || req.Adapter != "" {
			return false
		}
		req.Done(err)
		return true
	})
}

// MarkAccepted records that the engine has accepted an order.
func (o *Occupancy) MarkAccepted(order Order) {
	switch {
	case order.Adapter != "":
	case order.Unload:
		o.unloading = order.Model
	default:
		o.loading = order.Model
	}
}

// Loading returns the model that is being loaded, or else that of the oldest open request for a model, for which
// another model may have to be unloaded first. It returns "" if there is neither.
func (o *Occupancy) Loading() string {
	if o.loading != "" {
		return o.loading
	}
	for _, req := range o.requests {
		if req.Adapter == "" {
			return req.Model
		}
	}
	return ""
}

// Models returns the models that the engine holds, without one that it is unloading.
func (o *Occupancy) Models() []registry.Model {
	if o.unloading == "" {
		return o.report.Models
	}
	return slices.DeleteFunc(slices.Clone(o.report.Models), func(m registry.Model) bool { return m.Name == o.unloading })
}

// OpenRequests returns the number of open load requests.
func (o *Occupancy) OpenRequests() int { return len(o.requests) }

// completeRequests completes the load requests that are satisfied or have expired.
func (o *Occupancy) completeRequests(now time.Time) {
	o.requests = slices.DeleteFunc(o.requests, func(req *LoadRequest) bool {
		switch {
		case req.Model != o.unloading && registry.Holds(o.report.Models, req.Model, req.Adapter):
			req.Done(nil)
		case now.After(req.Expires):
			req.Done(ErrExpired)
		default:
			return false
		}
		return true
	})
}

// Next returns the next order: the one for the oldest load request that can make progress now. Requests that can't be
// satisfied are completed with an error.
func (o *Occupancy) Next(now time.Time) (Order, bool) {
	o.completeRequests(now)
	for i := 0; i < len(o.requests); i++ {
		order, ok, err := o.nextOrder(o.requests[i], now)
		if err != nil {
			o.requests[i].Done(err)
			o.requests = slices.Delete(o.requests, i, i+1)
			i--
			continue
		}
		if ok {
			return order, true
		}
	}
	return Order{}, false
}

// nextOrder returns the order that a load request needs next. It returns false if the request has to wait, and an error
// if it can't be satisfied.
func (o *Occupancy) nextOrder(req *LoadRequest, now time.Time) (Order, bool, error) {
	if registry.Holds(o.report.Models, req.Model, "") && req.Model != o.unloading {
		return o.adapterOrder(req, now)
	}
	if req.Adapter != "" {
		return Order{}, false, ErrNoRoom
	}
	return o.modelOrder(req)
}

// modelOrder is nextOrder for a model that the engine doesn't hold or is unloading.
func (o *Occupancy) modelOrder(req *LoadRequest) (Order, bool, error) {
	if o.report.Busy || o.loading != "" || o.unloading != "" {
		return Order{}, false, nil
	}
	needMB := o.engine.Models[req.Model].WeightMB
	if o.freeMB() >= needMB {
		return Order{Model: req.Model, FromStore: !o.report.HasLocalWeights(req.Model)}, true, nil
	}
	if req.Evict == "" || req.Evict == req.Model || !registry.Holds(o.report.Models, req.Evict, "") {
		return Order{}, false, ErrNoRoom
	}
	return Order{Unload: true, Model: req.Evict}, true, nil
}

// adapterOrder is nextOrder for an adapter of a model that the engine holds.
func (o *Occupancy) adapterOrder(req *LoadRequest, now time.Time) (Order, bool, error) {
	adapter := registry.Adapter{Model: req.Model, Name: req.Adapter}
	if o.report.Busy || o.loading != "" || o.unloading != "" {
		return Order{}, false, nil // the engine rejects orders while one for a model is in progress
	}
	if slices.Contains(o.report.LoadingAdapters, adapter) || len(o.report.LoadingAdapters) >= maxAdapterLoads {
		return Order{}, false, nil
	}
	slotsTaken := registry.AdapterCount(o.report.Models) + len(o.report.LoadingAdapters)
	if slotsTaken < o.engine.AdapterSlots && o.freeMB() >= o.engine.Models[req.Model].AdapterMB {
		return Order{Model: req.Model, Adapter: req.Adapter}, true, nil
	}
	victim, ok := o.leastRecentlyUsedAdapter(now)
	if !ok {
		return Order{}, false, nil // unloading an adapter in use would block all orders until its requests have ended
	}
	return Order{Unload: true, Model: victim.Model, Adapter: victim.Name}, true, nil
}

const (
	// maxAdapterLoads is the maximum number of concurrent adapter loads of an engine.
	maxAdapterLoads = 4
	// useReportDelay is the maximum time from a gateway's load request for an adapter until it reports the inference
	// request that uses the adapter.
	useReportDelay = 150 * time.Millisecond
)

// leastRecentlyUsedAdapter returns the adapter to evict: of those not in use, the one whose last use is longest ago.
func (o *Occupancy) leastRecentlyUsedAdapter(now time.Time) (adapter registry.Adapter, ok bool) {
	var oldest time.Time
	for _, m := range o.report.Models {
		for _, name := range m.Adapters {
			a := registry.Adapter{Model: m.Name, Name: name}
			if o.adapterInUse(a, now) {
				continue
			}
			if used := o.lastUsed[a]; !ok || used.Before(oldest) {
				adapter, oldest, ok = a, used, true
			}
		}
	}
	return adapter, ok
}

// adapterRequested reports whether a load request for an adapter is open.
func (o *Occupancy) adapterRequested(adapter registry.Adapter) bool {
	return slices.ContainsFunc(o.requests, func(req *LoadRequest) bool { return req.Model == adapter.Model && req.Adapter == adapter.Name })
}

// freeMB returns the memory in MB that is neither used by what the engine holds nor reserved for loads in progress.
func (o *Occupancy) freeMB() float64 {
	free := o.engine.WeightMemoryMB
	for _, m := range o.report.Models {
		spec := o.engine.Models[m.Name]
		free -= spec.WeightMB + spec.AdapterMB*float64(len(m.Adapters))
	}
	for _, a := range o.report.LoadingAdapters {
		free -= o.engine.Models[a.Model].AdapterMB
	}
	if o.loading != "" && !registry.Holds(o.report.Models, o.loading, "") {
		free -= o.engine.Models[o.loading].WeightMB
	}
	return free
}

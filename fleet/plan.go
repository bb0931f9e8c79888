package fleet

import (
	"math"
	"slices"
	"sort"
	"time"

	"gypsumbank/registry"
	"gypsumbank/route"
)

// Placement is a planned load of a model on a target.
type Placement struct {
	Target            registry.Target
	Model             string
	Evict             string        // model to unload first, or empty
	ETA               time.Duration // expected time until the target holds the model
	Copies            int           // number of targets that hold or load the model already
	WorkPerCopyMsPerS float64       // demand for each of these copies, in ms of engine time per second
}

// Work is measured in ms of engine time per second, and so are the costs by which loads are compared.
const (
	// maxWorkPerCopyMsPerS is the work for each copy of a model from which it gets a further copy.
	maxWorkPerCopyMsPerS = 60
	// minEvictionGain is the factor by which the work for each copy of the model to load must exceed the cost of
	// evicting another model for its further copy.
	minEvictionGain = 2
	// unloadTime is the usual time until the running requests of an evicted model have ended.
	unloadTime = 800 * time.Millisecond
	// unreportedLoadLifetime is how long a planned load counts as in progress while no report confirms it.
	unreportedLoadLifetime = 1500 * time.Millisecond
	// minimumStay is the time after its load during which a model is not evicted.
	minimumStay = 4 * time.Second
	// storeLoadWindow and storeLoadBurst limit the planned loads from the weight store: in each window no more than its
	// rate allows plus the burst.
	storeLoadWindow = 3 * time.Second
	storeLoadBurst  = 2
	// lastCopyCost is the cost of evicting the only copy of a model in demand; it exceeds any other cost.
	lastCopyCost = 1e6
	// idleWorkMsPerS is the work below which a model counts as idle, and idleLastCopyCost the cost of evicting its only
	// copy: a later request waits about half a second for a load from the disk of the target that held it.
	idleWorkMsPerS   = 3
	idleLastCopyCost = 220
	// costPerLoadSecond is the cost of each second until the model is loaded.
	costPerLoadSecond = 100
)

// planState is the input of a planning step: the copies of a service's models and the demand for them.
type planState struct {
	engine         *route.Engine
	targets        []*targetState // by id, without those that drain, are replaced or are in backoff
	copies         map[string]int // number of targets that hold or load a model
	workMsPerS     map[string]float64
	now            time.Time
	storeExhausted bool // no further load from the weight store may be planned now
}

// Plan returns the next load by which the held models meet the demand better, and records it as in progress; it returns
// false if there is none. Only targets whose models this gateway plans are considered. Models without a copy come
// first, then those with the most work for each copy.
func (f *Fleet) Plan(service string, now time.Time) (Placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.newPlanState(service, now)
	if p == nil {
		return Placement{}, false
	}
	for _, model := range p.modelsByUrgency() {
		noCopy := p.copies[model] == 0
		if !noCopy && p.workPerCopy(model) < maxWorkPerCopyMsPerS {
			return Placement{}, false
		}
		placement, ok := p.cheapestLoad(model)
		if !ok || (!noCopy && placement.Evict != "" && p.workPerCopy(model) < minEvictionGain*p.evictionCost(placement.Evict)) {
			continue
		}
		s := f.states[placement.Target.ID]
		s.loading, s.loadingSince = model, now
		if !s.report.HasLocalWeights(model) {
			f.plannedStoreLoads[service] = append(f.plannedStoreLoads[service], now)
		}
		return placement, true
	}
	return Placement{}, false
}

// MarkStoreExhausted records that a planned load from the weight store was rejected because of its rate limit. No
// further one is planned for the service before the given time, and the rejected one doesn't count towards the limit.
func (f *Fleet) MarkStoreExhausted(service string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeBlockedUntil[service] = until
	if n := len(f.plannedStoreLoads[service]); n > 0 {
		f.plannedStoreLoads[service] = f.plannedStoreLoads[service][:n-1]
	}
}

// MarkLoadFailed records that the load of a model on a target has failed.
func (f *Fleet) MarkLoadFailed(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[id]; s != nil && s.loading == model {
		s.loading = ""
	}
}

// MarkLoaded records that the load of a model on a target has succeeded.
func (f *Fleet) MarkLoaded(id, model string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	if s == nil {
		return
	}
	s.loadedAt[model] = now
	if s.loading == model {
		s.loading = ""
	}
}

// LoadETA returns the expected time until a target has loaded a model that none holds now. It returns false if the
// service doesn't list the model.
func (f *Fleet) LoadETA(service, model string, now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := f.services[service].Engine
	if engine == nil {
		return 0, false
	}
	spec, ok := engine.Models[model]
	if !ok {
		return 0, false
	}
	eta := spec.StoreLoadTime + unloadTime
	for _, s := range f.byService[service] {
		if s.drainingOrReplaced() {
			continue
		}
		if s.loading == model {
			return max(minLoadETA, loadTime(spec, s)-now.Sub(s.loadingSince)), true
		}
		eta = min(eta, loadTime(spec, s)+unloadTime)
	}
	return eta, true
}

// minLoadETA is the least expected remaining time of a load in progress.
const minLoadETA = 50 * time.Millisecond

// newPlanState returns the input for planning the loads of a service, or nil for a plain service. It also drops
// loads in progress that are older than unreportedLoadLifetime at targets without a recent report.
func (f *Fleet) newPlanState(service string, now time.Time) *planState {
	engine := f.services[service].Engine
	if engine == nil {
		return nil
	}
	p := &planState{engine: engine, now: now, copies: map[string]int{}, workMsPerS: f.workByModel(service, now), storeExhausted: now.Before(f.storeBlockedUntil[service]) || f.storeRateExhausted(service, engine, now)}
	for _, s := range f.byService[service] {
		if s.drainingOrReplaced() || now.Before(s.backoffUntil) {
			continue
		}
		if s.loading != "" && now.Sub(s.loadingSince) > unreportedLoadLifetime && now.Sub(s.reportAt) > reportLifetime {
			s.loading = ""
		}
		p.targets = append(p.targets, s)
		for _, m := range s.held(now) {
			p.copies[m.Name]++
		}
		if s.loading != "" && !s.holds(s.loading, "", now) {
			p.copies[s.loading]++
		}
	}
	sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].ID < p.targets[j].ID })
	return p
}

// storeRateExhausted reports whether the recently planned loads from the weight store have reached its rate limit. One
// more would wait at its engine and block it from loading models that it has in host memory or on disk.
func (f *Fleet) storeRateExhausted(service string, engine *route.Engine, now time.Time) bool {
	recent := slices.DeleteFunc(f.plannedStoreLoads[service], func(at time.Time) bool { return now.Sub(at) > storeLoadWindow })
	f.plannedStoreLoads[service] = recent
	return float64(len(recent)) >= engine.StoreLoadsPerSecond*storeLoadWindow.Seconds()+storeLoadBurst
}

// workPerCopy returns the work for a model divided by the number of its copies.
func (p *planState) workPerCopy(model string) float64 {
	return p.workMsPerS[model] / float64(max(1, p.copies[model]))
}

// evictionCost returns the cost of evicting one copy of a model: the work that each remaining copy would have, or for
// the last copy its work plus lastCopyCost, or plus idleLastCopyCost if the model is idle.
func (p *planState) evictionCost(model string) float64 {
	switch work := p.workMsPerS[model]; {
	case p.copies[model] <= 1 && work >= idleWorkMsPerS:
		return lastCopyCost + work
	case p.copies[model] <= 1:
		return idleLastCopyCost + work
	}
	return p.workMsPerS[model] / float64(p.copies[model]-1)
}

// modelsByUrgency returns the models with demand: first those without a copy, then by falling work for each copy.
func (p *planState) modelsByUrgency() []string {
	models := make([]string, 0, len(p.workMsPerS))
	for model := range p.workMsPerS {
		if _, ok := p.engine.Models[model]; ok {
			models = append(models, model)
		}
	}
	urgency := func(model string) float64 {
		if p.copies[model] == 0 {
			return lastCopyCost + p.workMsPerS[model]
		}
		return p.workPerCopy(model)
	}
	sort.Slice(models, func(i, j int) bool {
		a, b := urgency(models[i]), urgency(models[j])
		return a > b || (a == b && models[i] < models[j])
	})
	return models
}

// cheapestLoad returns the load of a model with the lowest cost over all targets; ok is false if no target can begin it
// now.
func (p *planState) cheapestLoad(model string) (best Placement, ok bool) {
	bestCost := math.Inf(1)
	for _, s := range p.targets {
		if !s.plannedHere || s.loading != "" || s.report.Busy || s.holds(model, "", p.now) || p.now.Sub(s.reportAt) > reportLifetime {
			continue
		}
		evict, evictCost, fits := p.makeRoom(s, model)
		if !fits || (p.storeExhausted && !s.report.HasLocalWeights(model)) {
			continue
		}
		eta := loadTime(p.engine.Models[model], s)
		if evict != "" && s.requestsByModel[evict] > 0 {
			eta += unloadTime
		}
		cost := evictCost + eta.Seconds()*costPerLoadSecond
		if cost < bestCost {
			bestCost = cost
			best = Placement{Target: s.Target, Model: model, Evict: evict, ETA: eta, Copies: p.copies[model], WorkPerCopyMsPerS: p.workPerCopy(model)}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// makeRoom returns the model to evict from a target before another model is loaded, empty if there is enough free
// memory, and the cost of the eviction; ok is false if no single model that may be evicted frees enough.
func (p *planState) makeRoom(s *targetState, model string) (evict string, evictCost float64, ok bool) {
	held := s.held(p.now)
	freeMB := p.engine.WeightMemoryMB
	for _, m := range held {
		spec := p.engine.Models[m.Name]
		freeMB -= spec.WeightMB + spec.AdapterMB*float64(len(m.Adapters))
	}
	needMB := p.engine.Models[model].WeightMB
	if freeMB >= needMB {
		return "", 0, true
	}
	evictCost = math.Inf(1)
	for _, m := range held {
		spec := p.engine.Models[m.Name]
		if freeMB+spec.WeightMB+spec.AdapterMB*float64(len(m.Adapters)) < needMB || p.now.Sub(s.loadedAt[m.Name]) < minimumStay {
			continue
		}
		if cost := p.evictionCost(m.Name); cost < evictCost {
			evict, evictCost = m.Name, cost
		}
	}
	return evict, evictCost, evict != ""
}

// loadTime returns the time in which a target loads a model from the fastest source that it has.
func loadTime(model route.Model, s *targetState) time.Duration {
	switch {
	case slices.Contains(s.report.InMemory, model.Name):
		return model.MemoryLoadTime
	case slices.Contains(s.report.OnDisk, model.Name):
		return model.DiskLoadTime
	}
	return model.StoreLoadTime
}

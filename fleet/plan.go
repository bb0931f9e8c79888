package fleet

import (
	"math"
	"slices"
	"sort"
	"time"

	"gypsumbank/registry"
	"gypsumbank/route"
)

// Placement is a load of a model on a target.
type Placement struct {
	Target            registry.Target
	Model             string
	Evict             string        // the model to unload for it, or empty
	ETA               time.Duration // expected time until the target holds the model
	Copies            int           // targets that hold or load it already
	WorkPerCopyMsPerS float64       // expected ms of work a second for each copy
}

const (
	// crowded is the work for each copy of a model, in ms a second, above which it gets a further copy.
	crowded = 60
	// gain is by how much the work of a crowded model must exceed that of the model that makes way.
	gain = 2
	// unloadTime is the usual time until the runs of a model that makes way have ended.
	unloadTime = 800 * time.Millisecond
	// orderMemory is how long a load that was asked for counts as in progress without a report of it.
	orderMemory = 1500 * time.Millisecond
	// minimumStay is how long a target keeps a model that it has loaded.
	minimumStay = 4 * time.Second
	// storeWindow and storeBurst bound the loads from the weight store that are planned at a time.
	storeWindow = 3 * time.Second
	storeBurst  = 2
	// lastCopy is the cost, in ms of work a second, of dropping the only copy of a model that is asked for.
	lastCopy = 1e6
	// idleWork is the work in ms a second below which a model counts as idle, and idleLoss the cost of dropping its only
	// copy: a later request waits about half a second for a load from the disk of the target that held it.
	idleWork = 3
	idleLoss = 220
	// etaWeight is the work in ms a second that a second of loading is worth.
	etaWeight = 100
)

// catalog is what planning knows of the copies of a service's models.
type catalog struct {
	engine  *route.Engine
	targets []*state
	copies  map[string]int // targets that hold or load a model
	work    map[string]float64
	now     time.Time
	noStore bool // the rate of the weight store is used up by what was planned
}

// Plan returns a load that serves the demand better than what the targets hold, if there is one, on a target whose
// models this gateway plans.
func (f *Fleet) Plan(service string, now time.Time) (Placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.catalog(service, now)
	if c == nil {
		return Placement{}, false
	}
	for _, model := range c.byNeed() {
		missing := c.copies[model] == 0
		if !missing && c.perCopy(model) < crowded {
			return Placement{}, false
		}
		placement, ok := c.best(model)
		if !ok || (!missing && placement.Evict != "" && c.perCopy(model) < gain*c.afterLoss(placement.Evict)) {
			continue
		}
		s := f.states[placement.Target.ID]
		s.loading, s.loadingSince = model, now
		if !s.report.HasLocalWeights(model) {
			f.storeLoads[service] = append(f.storeLoads[service], now)
		}
		return placement, true
	}
	return Placement{}, false
}

// MarkStoreExhausted records that a planned load from the weight store did not begin and that none may before a time.
func (f *Fleet) MarkStoreExhausted(service string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeUntil[service] = until
	if n := len(f.storeLoads[service]); n > 0 {
		f.storeLoads[service] = f.storeLoads[service][:n-1]
	}
}

// MarkLoadFailed records that a load on a target has failed.
func (f *Fleet) MarkLoadFailed(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[id]; s != nil && s.loading == model {
		s.loading = ""
	}
}

// MarkLoaded records that a target has loaded a model.
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

// LoadETA returns the expected time until some target holds a model that none does.
func (f *Fleet) LoadETA(service, model string, now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := f.services[service].Engine
	if engine == nil {
		return 0, false
	}
	known, ok := engine.Models[model]
	if !ok {
		return 0, false
	}
	eta := known.StoreLoadTime + unloadTime
	for _, s := range f.byService[service] {
		if s.leaving() {
			continue
		}
		if s.loading == model {
			return max(modelCheck, loadTime(known, s)-now.Sub(s.loadingSince)), true
		}
		eta = min(eta, loadTime(known, s)+unloadTime)
	}
	return eta, true
}

// modelCheck is the least expected time of a load in progress.
const modelCheck = 50 * time.Millisecond

func (f *Fleet) catalog(service string, now time.Time) *catalog {
	engine := f.services[service].Engine
	if engine == nil {
		return nil
	}
	c := &catalog{engine: engine, now: now, copies: map[string]int{}, work: f.workFor(service, now), noStore: now.Before(f.storeUntil[service]) || f.storeExhausted(service, engine, now)}
	for _, s := range f.byService[service] {
		if s.leaving() || now.Before(s.avoid) {
			continue
		}
		if s.loading != "" && now.Sub(s.loadingSince) > orderMemory && now.Sub(s.reportAt) > reportLifetime {
			s.loading = ""
		}
		c.targets = append(c.targets, s)
		for _, m := range s.held(now) {
			c.copies[m.Name]++
		}
		if s.loading != "" && !s.holds(s.loading, "", now) {
			c.copies[s.loading]++
		}
	}
	sort.Slice(c.targets, func(i, j int) bool { return c.targets[i].ID < c.targets[j].ID })
	return c
}

// storeExhausted reports whether the loads from the weight store that were planned lately use up its rate; one more would
// wait at its engine and keep that from loading what it has at hand.
func (f *Fleet) storeExhausted(service string, engine *route.Engine, now time.Time) bool {
	lately := slices.DeleteFunc(f.storeLoads[service], func(at time.Time) bool { return now.Sub(at) > storeWindow })
	f.storeLoads[service] = lately
	return float64(len(lately)) >= engine.StoreLoadsPerSecond*storeWindow.Seconds()+storeBurst
}

func (c *catalog) perCopy(model string) float64 {
	return c.work[model] / float64(max(1, c.copies[model]))
}

// afterLoss returns the work for each copy of a model that has lost one.
func (c *catalog) afterLoss(model string) float64 {
	switch work := c.work[model]; {
	case c.copies[model] <= 1 && work >= idleWork:
		return lastCopy + work
	case c.copies[model] <= 1:
		return idleLoss + work
	}
	return c.work[model] / float64(c.copies[model]-1)
}

// byNeed returns the models that are asked for, those without a copy first, then in order of falling work for each copy.
func (c *catalog) byNeed() []string {
	models := make([]string, 0, len(c.work))
	for model := range c.work {
		if _, ok := c.engine.Models[model]; ok {
			models = append(models, model)
		}
	}
	need := func(model string) float64 {
		if c.copies[model] == 0 {
			return lastCopy + c.work[model]
		}
		return c.perCopy(model)
	}
	sort.Slice(models, func(i, j int) bool {
		a, b := need(models[i]), need(models[j])
		return a > b || (a == b && models[i] < models[j])
	})
	return models
}

// best returns the cheapest load of a model; ok is false if no target can take it now.
func (c *catalog) best(model string) (best Placement, ok bool) {
	bestCost := math.Inf(1)
	for _, s := range c.targets {
		if !s.planned || s.loading != "" || s.report.Busy || s.holds(model, "", c.now) || c.now.Sub(s.reportAt) > reportLifetime {
			continue
		}
		evict, loss, fits := c.room(s, model)
		if !fits || (c.noStore && !s.report.HasLocalWeights(model)) {
			continue
		}
		eta := loadTime(c.engine.Models[model], s)
		if evict != "" && s.models[evict] > 0 {
			eta += unloadTime
		}
		cost := loss + eta.Seconds()*etaWeight
		if cost < bestCost {
			bestCost = cost
			best = Placement{Target: s.Target, Model: model, Evict: evict, ETA: eta, Copies: c.copies[model], WorkPerCopyMsPerS: c.perCopy(model)}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// room returns the model that has to make way on a target, none if there is room, and what its loss costs.
func (c *catalog) room(s *state, model string) (evict string, loss float64, ok bool) {
	held := s.held(c.now)
	free := c.engine.WeightMemoryMB
	for _, m := range held {
		known := c.engine.Models[m.Name]
		free -= known.WeightMB + known.AdapterMB*float64(len(m.Adapters))
	}
	need := c.engine.Models[model].WeightMB
	if free >= need {
		return "", 0, true
	}
	loss = math.Inf(1)
	for _, m := range held {
		known := c.engine.Models[m.Name]
		if free+known.WeightMB+known.AdapterMB*float64(len(m.Adapters)) < need || c.now.Sub(s.loadedAt[m.Name]) < minimumStay {
			continue
		}
		if cost := c.afterLoss(m.Name); cost < loss {
			evict, loss = m.Name, cost
		}
	}
	return evict, loss, evict != ""
}

// loadTime returns how long a target takes to load a model.
func loadTime(model route.Model, s *state) time.Duration {
	switch {
	case slices.Contains(s.report.InMemory, model.Name):
		return model.MemoryLoadTime
	case slices.Contains(s.report.OnDisk, model.Name):
		return model.DiskLoadTime
	}
	return model.StoreLoadTime
}

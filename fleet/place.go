package fleet

import (
	"math"
	"slices"
	"sort"
	"time"

	"gypsumbank/route"
	"gypsumbank/target"
)

// Placement is a load of a model on a target.
type Placement struct {
	Start  bool // the load is to be started; otherwise one is in progress or none is possible now
	Target target.Target
	Model  string
	Evict  string        // the model to unload for it, or empty
	Eta    time.Duration // expected time until the target holds the model
	Copies int           // targets that hold or load it already
	Work   float64       // expected ms of work a second for each copy
}

const (
	// crowded is the work for each copy of a model, in ms a second, above which it gets a further copy.
	crowded = 250
	// gain is by how much the work of a crowded model must exceed that of the model that makes way.
	gain = 2
	// unloadTime is the usual time until the runs of a model that makes way have ended.
	unloadTime = 800 * time.Millisecond
	// orderMemory is how long a load that was asked for counts as in progress without a report of it.
	orderMemory = 1500 * time.Millisecond
	// placePause is the least time between two looks for a target to load a model.
	placePause = 100 * time.Millisecond
	// lastCopy is the cost, in ms of work a second, of dropping the only copy of a model.
	lastCopy = 1e6
)

// catalog is what placement knows of the copies of a service's models.
type catalog struct {
	engine  *route.Engine
	targets []*state
	copies  map[string]int // targets that hold or load a model
	work    map[string]float64
	now     time.Time
}

// Place returns how a model that no usable target holds gets loaded.
func (f *Fleet) Place(service, model string, now time.Time) Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ok := f.placed[model]; ok && now.Sub(last.at) < placePause {
		return last.Placement
	}
	placement := f.place(service, model, now)
	waiting := placement
	waiting.Start = false
	f.placed[model] = placed{Placement: waiting, at: now}
	return placement
}

// placed is the latest answer to requests for a model that no target holds.
type placed struct {
	Placement
	at time.Time
}

func (f *Fleet) place(service, model string, now time.Time) Placement {
	c := f.catalog(service, now)
	if c == nil {
		return Placement{Model: model, Eta: math.MaxInt64}
	}
	if _, known := c.engine.Models[model]; !known {
		return Placement{Model: model, Eta: math.MaxInt64}
	}
	if s := c.loader(model); s != nil {
		return Placement{Target: s.Target, Model: model, Eta: 0}
	}
	placement, ok := c.best(model)
	if !ok {
		return Placement{Model: model, Eta: unloadTime}
	}
	f.begin(placement, now)
	return placement
}

// Plan returns a load that serves the demand better than what the targets hold, if there is one.
func (f *Fleet) Plan(service string, now time.Time) (Placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.catalog(service, now)
	if c == nil {
		return Placement{}, false
	}
	for _, model := range c.byWork() {
		if c.perCopy(model) < crowded {
			return Placement{}, false
		}
		placement, ok := c.best(model)
		if !ok || (placement.Evict != "" && c.perCopy(model) < gain*c.afterLoss(placement.Evict)) {
			continue
		}
		f.begin(placement, now)
		return placement, true
	}
	return Placement{}, false
}

func (f *Fleet) begin(p Placement, now time.Time) {
	s := f.states[p.Target.ID]
	s.loading, s.loadingSince = p.Model, now
}

// EndLoad records that a load on a target is no longer in progress.
func (f *Fleet) EndLoad(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[id]; s != nil && s.loading == model {
		s.loading = ""
	}
}

func (f *Fleet) catalog(service string, now time.Time) *catalog {
	engine := f.services[service].Engine
	if engine == nil {
		return nil
	}
	c := &catalog{engine: engine, now: now, copies: map[string]int{}, work: map[string]float64{}}
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
	gateways := float64(f.gateways())
	for model, d := range f.demand {
		c.work[model] = d.level(now) * gateways
	}
	return c
}

// gateways returns how many gateways share the targets; the caller holds the lock.
func (f *Fleet) gateways() int {
	most := 1
	for _, s := range f.states {
		most = max(most, s.watchers)
	}
	return most
}

func (c *catalog) loader(model string) *state {
	for _, s := range c.targets {
		if s.loading == model {
			return s
		}
	}
	return nil
}

func (c *catalog) perCopy(model string) float64 { return c.work[model] / float64(max(1, c.copies[model])) }

// afterLoss returns the work for each copy of a model that has lost one.
func (c *catalog) afterLoss(model string) float64 {
	if c.copies[model] <= 1 {
		return lastCopy + c.work[model]
	}
	return c.work[model] / float64(c.copies[model]-1)
}

// byWork returns the models in order of falling work for each copy.
func (c *catalog) byWork() []string {
	models := make([]string, 0, len(c.work))
	for model := range c.work {
		models = append(models, model)
	}
	sort.Slice(models, func(i, j int) bool {
		a, b := c.perCopy(models[i]), c.perCopy(models[j])
		return a > b || (a == b && models[i] < models[j])
	})
	return models
}

// best returns the cheapest load of a model; ok is false if no target can take it now.
func (c *catalog) best(model string) (best Placement, ok bool) {
	bestCost := math.Inf(1)
	for _, s := range c.targets {
		if s.loading != "" || s.report.Busy || s.holds(model, "", c.now) || s.reportAt.IsZero() {
			continue
		}
		evict, loss, fits := c.room(s, model)
		if !fits {
			continue
		}
		eta := c.loadTime(s, model)
		if evict != "" && s.models[evict] > 0 {
			eta += unloadTime
		}
		cost := loss + float64(eta)/float64(time.Millisecond)/10 + s.unread/10
		if cost < bestCost {
			bestCost = cost
			best = Placement{Start: true, Target: s.Target, Model: model, Evict: evict, Eta: eta, Copies: c.copies[model], Work: c.perCopy(model)}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// room returns the model that has to make way on a target, none if there is room, and what its loss costs.
func (c *catalog) room(s *state, model string) (evict string, loss float64, ok bool) {
	held := s.held(c.now)
	free := c.engine.WeightMB
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
		if free+known.WeightMB+known.AdapterMB*float64(len(m.Adapters)) < need {
			continue
		}
		if cost := c.afterLoss(m.Name); cost < loss {
			evict, loss = m.Name, cost
		}
	}
	return evict, loss, evict != ""
}

func (c *catalog) loadTime(s *state, model string) time.Duration {
	known := c.engine.Models[model]
	switch {
	case slices.Contains(s.report.InMemory, model):
		return known.MemoryLoad
	case slices.Contains(s.report.OnDisk, model):
		return known.DiskLoad
	}
	return known.StoreLoad
}

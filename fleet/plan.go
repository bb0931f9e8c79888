package fleet

import (
	"maps"
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
	GainMs            float64       // expected net gain over planHorizon, in ms of engine time
}

// Work is measured in ms of engine time per second, and so is the congestion by which loads are compared.
const (
	// planHorizon is the time over which the gain of a load must exceed its price; demand shifts within that time.
	planHorizon = 10 * time.Second
	// minGainMs is the least net gain of a load over planHorizon, in ms of engine time.
	minGainMs = 200
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
	// reachableGain is the gain of the first copy of a model in demand, beyond that of its work, as all models must be
	// reachable. It is also the loss of the only copy of such a model, and idleReachableLoss that of an idle one, whose
	// work is below idleWorkMsPerS.
	reachableGain     = 150
	idleReachableLoss = 40
	idleWorkMsPerS    = 3
	// maxModelsCompared and maxTargetsCompared bound the loads that are compared for a plan.
	maxModelsCompared  = 12
	maxTargetsCompared = 24
	// streamReturnTime is how long after its start a gateway assumes that callers come back with streams which it has not seen.
	streamReturnTime = 10 * time.Second
)

// planState is the input of a planning step: the copies of a service's models and the demand for them.
type planState struct {
	engine         *route.Engine
	targets        []*targetState   // by id, without those that drain, are replaced or are in backoff
	holders        map[string][]int // indexes in targets of those that hold or load a model
	workMsPerS     map[string]float64
	balance        *balance
	now            time.Time
	storeExhausted bool // no further load from the weight store may be planned now
	justStarted    bool // streams that broke off as the gateways ended may be taken up, which this one does not know
	// streamVersion is set if a load is planned for a stream that goes on only at targets of this software version, by whichever
	// gateway has the stream.
	streamVersion *registry.SoftwareVersion
}

// Plan returns the next load by which the held models meet the demand better, and records it as in progress; it returns
// false if there is none. Only targets whose models this gateway plans are considered. Of all loads the one with the
// highest net gain is taken.
func (f *Fleet) Plan(service string, now time.Time) (Placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.newPlanState(service, now)
	if p == nil {
		return Placement{}, false
	}
	var best Placement
	bestGainMs := float64(minGainMs)
	for _, model := range p.modelsByUrgency() {
		if placement, gainMs := p.bestLoad(model); gainMs > bestGainMs {
			best, bestGainMs = placement, gainMs
		}
	}
	if best.Model == "" {
		return Placement{}, false
	}
	f.markPlanned(best, now)
	return best, true
}

// markPlanned records that a planned load is in progress; the caller holds the lock.
func (f *Fleet) markPlanned(planned Placement, now time.Time) {
	s := f.states[planned.Target.ID]
	s.loading, s.loadingSince = planned.Model, now
	if service := planned.Target.Service; !s.report.HasLocalWeights(planned.Model) {
		f.plannedStoreLoads[service] = append(f.plannedStoreLoads[service], now)
	}
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
	maps.DeleteFunc(s.loadedAt, func(_ string, at time.Time) bool { return now.Sub(at) > minimumStay })
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
		if f.mustNotUse(s) {
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
	p := &planState{engine: engine, now: now, justStarted: f.justStarted(now), holders: map[string][]int{}, workMsPerS: f.workByModel(service, now), storeExhausted: now.Before(f.storeBlockedUntil[service]) || f.storeRateExhausted(service, engine, now)}
	for _, s := range f.byService[service] {
		if f.mustNotUse(s) || now.Before(s.backoffUntil) {
			continue
		}
		if s.loading != "" && now.Sub(s.loadingSince) > unreportedLoadLifetime && now.Sub(s.reportAt) > reportLifetime {
			s.loading = ""
		}
		p.targets = append(p.targets, s)
	}
	sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].ID < p.targets[j].ID })
	for i, s := range p.targets {
		for _, m := range s.held(now) {
			p.holders[m.Name] = append(p.holders[m.Name], i)
		}
		if s.loading != "" && !s.holds(s.loading, "", now) {
			p.holders[s.loading] = append(p.holders[s.loading], i)
		}
	}
	loads := make([]float64, len(p.targets))
	for i, s := range p.targets {
		if f.notices.Binds(s.Target, now) {
			loads[i] = maxCongestion * engineCapacity
		}
	}
	p.balance = newBalance(loads, p.holders, p.workMsPerS)
	return p
}

// justStarted reports whether callers may come back with streams that this gateway has not seen, as the registry has not been read for long.
func (f *Fleet) justStarted(now time.Time) bool {
	return f.registryReadSince.IsZero() || now.Sub(f.registryReadSince) < streamReturnTime
}

// storeRateExhausted reports whether the recently planned loads from the weight store have reached its rate limit. One
// more would wait at its engine and block it from loading models that it has in host memory or on disk.
func (f *Fleet) storeRateExhausted(service string, engine *route.Engine, now time.Time) bool {
	recent := slices.DeleteFunc(f.plannedStoreLoads[service], func(at time.Time) bool { return now.Sub(at) > storeLoadWindow })
	f.plannedStoreLoads[service] = recent
	return float64(len(recent)) >= engine.StoreLoadsPerSecond*storeLoadWindow.Seconds()+storeLoadBurst
}

// modelsByUrgency returns the models with demand that gain most by a further copy, at most maxModelsCompared: first those
// without a copy, then by the work that their holders have.
func (p *planState) modelsByUrgency() []string {
	models := make([]string, 0, len(p.workMsPerS))
	urgency := make(map[string]float64, len(p.workMsPerS))
	for model, work := range p.workMsPerS {
		if _, ok := p.engine.Models[model]; !ok {
			continue
		}
		models = append(models, model)
		urgency[model] = p.ownCongestion(model)
		if len(p.holders[model]) == 0 {
			urgency[model] = maxCongestion*work + reachableGain
		}
	}
	sort.Slice(models, func(i, j int) bool {
		a, b := urgency[models[i]], urgency[models[j]]
		return a > b || (a == b && models[i] < models[j])
	})
	return models[:min(len(models), maxModelsCompared)]
}

// ownCongestion returns the upper bound of the gain of a further copy of a model: the congestion that its own work causes.
func (p *planState) ownCongestion(model string) float64 {
	sum := 0.0
	for i, other := range p.balance.othersLoad(model) {
		sum += congestion(p.balance.load[p.holders[model][i]]) - congestion(other)
	}
	return sum
}

// bestLoad returns the load of a model with the highest net gain, in ms of engine time over planHorizon, of all targets
// that can begin it now; the gain is negative infinity if there is none.
func (p *planState) bestLoad(model string) (best Placement, bestGainMs float64) {
	bestGainMs = math.Inf(-1)
	for _, i := range p.targetsFor(model) {
		s := p.targets[i]
		evict, lossMsPerS, fits := p.makeRoom(i, model)
		if !fits {
			continue
		}
		eta := loadTime(p.engine.Models[model], s)
		if evict != "" && s.requestsByModel[evict] > 0 {
			eta += unloadTime
		}
		otherLoad := p.balance.load[i] - p.balance.shareOn(evict, i)
		gainMs := p.gainOfCopy(model, otherLoad)*(planHorizon-eta).Seconds() - lossMsPerS*planHorizon.Seconds()
		if gainMs > bestGainMs {
			bestGainMs = gainMs
			copies := len(p.holders[model])
			best = Placement{Target: s.Target, Model: model, Evict: evict, ETA: eta, Copies: copies, WorkPerCopyMsPerS: p.workMsPerS[model] / float64(max(1, copies)), GainMs: gainMs}
		}
	}
	return best, bestGainMs
}

// plansFor reports whether a load on the target may be planned here.
func (p *planState) plansFor(s *targetState) bool {
	if p.streamVersion != nil {
		return s.SoftwareVersion == *p.streamVersion
	}
	return s.plannedHere
}

// targetsFor returns the targets that can begin to load a model now, at most maxTargetsCompared: those that load it
// fastest, and of these the least loaded.
func (p *planState) targetsFor(model string) []int {
	var able []int
	for i, s := range p.targets {
		if !p.plansFor(s) || s.loading != "" || s.report.Busy || s.holds(model, "", p.now) || p.now.Sub(s.reportAt) > reportLifetime {
			continue
		}
		if p.storeExhausted && !s.report.HasLocalWeights(model) {
			continue
		}
		able = append(able, i)
	}
	if len(able) <= maxTargetsCompared {
		return able
	}
	cost := func(i int) float64 {
		return p.balance.load[i]/engineCapacity + loadTime(p.engine.Models[model], p.targets[i]).Seconds()
	}
	sort.Slice(able, func(a, b int) bool { return cost(able[a]) < cost(able[b]) })
	return able[:maxTargetsCompared]
}

// gainOfCopy returns by how much congestion falls with a copy of a model on a target whose other models give it otherLoad.
func (p *planState) gainOfCopy(model string, otherLoad float64) float64 {
	if len(p.holders[model]) > 0 {
		return p.balance.gainOfCopy(model, otherLoad)
	}
	work := p.workMsPerS[model]
	return maxCongestion*work + reachableGain - (congestion(otherLoad+work) - congestion(otherLoad))
}

// lossOfCopy returns by how much congestion rises without the copy of a model on a target.
func (p *planState) lossOfCopy(model string, target int) float64 {
	work := p.workMsPerS[model]
	switch {
	case len(p.holders[model]) > 1:
		return p.balance.lossOfCopy(model, target)
	case work >= idleWorkMsPerS:
		return maxCongestion*work + reachableGain
	}
	return maxCongestion*work + idleReachableLoss
}

// isOnlyCopyOfVersion reports whether a target has the only copy of a model in demand at its software version, though not the only one: the
// streams that this version began can go on there only.
func (p *planState) isOnlyCopyOfVersion(model string, target int) bool {
	if len(p.holders[model]) < 2 || p.workMsPerS[model] < idleWorkMsPerS {
		return false
	}
	version := p.targets[target].SoftwareVersion
	return !slices.ContainsFunc(p.holders[model], func(i int) bool { return i != target && p.targets[i].SoftwareVersion == version })
}

// makeRoom returns the model to evict from a target before another model is loaded, empty if there is enough free
// memory, and the loss by it; ok is false if no single model that may be evicted frees enough.
func (p *planState) makeRoom(target int, model string) (evict string, lossMsPerS float64, ok bool) {
	s := p.targets[target]
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
	lossMsPerS = math.Inf(1)
	keepsVersions := p.justStarted && len(p.holders[model]) > 0 && p.streamVersion == nil
	for _, m := range held {
		spec := p.engine.Models[m.Name]
		if freeMB+spec.WeightMB+spec.AdapterMB*float64(len(m.Adapters)) < needMB || p.now.Sub(s.loadedAt[m.Name]) < minimumStay {
			continue
		}
		if keepsVersions && p.isOnlyCopyOfVersion(m.Name, target) {
			continue
		}
		// The target no longer serves what it evicts, which makes its other load lower.
		loss := p.lossOfCopy(m.Name, target) - (congestion(p.balance.load[target]) - congestion(p.balance.load[target]-p.balance.shareOn(m.Name, target)))
		if loss < lossMsPerS {
			evict, lossMsPerS = m.Name, loss
		}
	}
	return evict, lossMsPerS, evict != ""
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

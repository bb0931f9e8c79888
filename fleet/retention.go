package fleet

import (
	"maps"
	"time"
)

// forgetUnused drops what is kept by names that are not in use any more: models and services that are not listed, demand that has faded,
// limits that are over. Callers choose some of these names, so there may be any number. The caller holds the lock.
func (f *Fleet) forgetUnused(now time.Time) {
	f.forgetModels()
	f.forgetDemand(now)
	maps.DeleteFunc(f.versionsSeenAt, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > versionMemory })
	maps.DeleteFunc(f.storeBlockedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(f.plannedStoreLoads, func(_ string, planned []time.Time) bool {
		return len(planned) == 0 || now.Sub(planned[len(planned)-1]) > storeLoadWindow
	})
	maps.DeleteFunc(f.promptMixes, func(service string, _ *promptMix) bool {
		_, listed := f.services[service]
		return !listed
	})
}

// forgetModels drops the paces of models that no service lists; the caller holds the lock.
func (f *Fleet) forgetModels() {
	maps.DeleteFunc(f.measuredMsPerToken, func(model string, _ float64) bool { return !f.listsModel(model) })
	maps.DeleteFunc(f.decodePaces, func(model string, _ *decodePace) bool { return !f.listsModel(model) })
	maps.DeleteFunc(f.tokenPaces, func(model string, _ *tokenPace) bool { return !f.listsModel(model) })
}

// listsModel reports whether some service lists a model; the caller holds the lock.
func (f *Fleet) listsModel(model string) bool {
	for _, s := range f.services {
		if s.Engine == nil {
			continue
		}
		if _, ok := s.Engine.Models[model]; ok {
			return true
		}
	}
	return false
}

// forgetDemand drops the demand for models that have none any more; the caller holds the lock.
func (f *Fleet) forgetDemand(now time.Time) {
	maps.DeleteFunc(f.ownDemand, func(_ demandKey, d *decayingWork) bool { return d.valueAt(now) < minWorkMsPerS })
}

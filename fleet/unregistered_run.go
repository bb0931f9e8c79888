package fleet

import (
	"time"

	"gypsumbank/registry"
)

// unregisteredLifetime is how long a run that was reported by its agent may be missing from the registry.
const unregisteredLifetime = 3 * time.Second

// addUnregisteredRun adds a run of a target (one start of its process) that its agent reports before the registry lists
// it. Service, address and zone are copied from the latest known run of a model engine on the same VM; if there is
// none, or if it is not earlier than the reported run, addUnregisteredRun returns nil.
func (f *Fleet) addUnregisteredRun(id string, observation Observation, now time.Time) *targetState {
	var previous *targetState
	for _, s := range f.states {
		if observation.Host != "" && registry.Host(s.Address) == observation.Host && f.services[s.Service].Engine != nil && (previous == nil || s.Born > previous.Born) {
			previous = s
		}
	}
	if previous == nil || previous.Born >= observation.Report.Born {
		return nil
	}
	t := previous.Target
	t.ID, t.Born, t.Draining, t.Models, t.SoftwareVersion = id, observation.Report.Born, false, nil, ""
	next := newState(t)
	next.unregisteredUntil = now.Add(unregisteredLifetime)
	f.states[id] = next
	f.indexByService()
	return next
}

// markReplacedRuns marks the runs on the same VM before newest as replaced: they have ended and hold no models, even if
// the registry still lists them.
func (f *Fleet) markReplacedRuns(newest *targetState, host string) {
	for _, s := range f.byService[newest.Service] {
		if s != newest && host != "" && registry.Host(s.Address) == host && s.Born < newest.Born {
			s.replaced = true
		}
	}
}

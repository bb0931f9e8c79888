package fleet

import (
	"time"

	"gypsumbank/registry"
)

// succession is how long a run that its agent has told of may be missing from the registry.
const succession = 3 * time.Second

// succeed adds a run that the registry does not show yet to those of its VM, or returns nil if it knows none.
func (f *Fleet) succeed(id string, seen Observation, now time.Time) *state {
	var former *state
	for _, s := range f.states {
		if seen.Host != "" && registry.Host(s.Address) == seen.Host && f.services[s.Service].Engine != nil && (former == nil || s.Born > former.Born) {
			former = s
		}
	}
	if former == nil || former.Born >= seen.Report.Born {
		return nil
	}
	t := former.Target
	t.ID, t.Born, t.Draining, t.Models = id, seen.Report.Born, false, nil
	next := newState(t)
	next.toldUntil = now.Add(succession)
	f.states[id] = next
	f.index()
	return next
}

// supersede marks the earlier runs on a target's VM as gone: they hold nothing any more, whatever the registry shows.
func (f *Fleet) supersede(by *state, host string) {
	for _, s := range f.byService[by.Service] {
		if s != by && host != "" && registry.Host(s.Address) == host && s.Born < by.Born {
			s.gone = true
		}
	}
}

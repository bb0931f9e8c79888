package fleet

import (
	"slices"

	"gypsumbank/footprint"
	"gypsumbank/registry"
)

// updateFootprints puts the sizes that the services list into their tables, and drops those of earlier lists for models that no target
// holds; the caller holds the lock.
func (f *Fleet) updateFootprints() {
	for name, service := range f.services {
		if service.Engine == nil {
			continue
		}
		table := f.footprints[name]
		if table == nil {
			table = footprint.New()
			f.footprints[name] = table
		}
		table.SetModels(service.Engine.Models)
		if targets := f.byService[name]; len(targets) > 0 {
			table.Forget(func(model string) bool {
				return slices.ContainsFunc(targets, func(s *targetState) bool { return s.mayHold(model) })
			})
		}
	}
	for name := range f.footprints {
		if f.services[name].Engine == nil && len(f.byService[name]) == 0 {
			delete(f.footprints, name)
		}
	}
}

// mayHold reports whether a target holds a model by its agent's report or by the registry, or loads it.
func (s *targetState) mayHold(model string) bool {
	return s.loading == model || registry.Holds(s.report.Models, model, "") || registry.Holds(s.Models, model, "")
}

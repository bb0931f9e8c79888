package fleet

import (
	"time"

	"gypsumbank/registry"
)

// MarkHeld records that a target now holds a model and, unless adapter is empty, an adapter of it.
func (f *Fleet) MarkHeld(id, model, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	if s == nil || s.holds(model, adapter, time.Time{}) {
		return
	}
	s.report.Models = withModel(s.report.Models, model, adapter)
	s.Models = withModel(s.Models, model, adapter)
}

// MarkNotHeld records that a target does not hold an adapter, or a model if adapter is empty.
func (f *Fleet) MarkNotHeld(id, model, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[id]; s != nil {
		s.report.Models = withoutModel(s.report.Models, model, adapter)
		s.Models = withoutModel(s.Models, model, adapter)
	}
}

// held returns the models that the target holds according to its agent's last report, or to the registry if there is none or its
// entry has certainly been written after the report.
func (s *targetState) held(now time.Time) []registry.Model {
	isRecent := now.Sub(s.reportAt) < reportLifetime
	if !s.reportAt.IsZero() && (isRecent || s.modelsAt.Sub(s.reportAt) < maxEntryAge) {
		return s.report.Models
	}
	return s.Models
}

func (s *targetState) holds(model, adapter string, now time.Time) bool {
	return registry.Holds(s.held(now), model, adapter)
}

// withModel returns a copy of models with the model and, unless adapter is empty, the adapter added.
func withModel(models []registry.Model, model, adapter string) []registry.Model {
	out := make([]registry.Model, 0, len(models)+1)
	found := false
	for _, m := range models {
		if m.Name == model {
			found = true
			if adapter != "" {
				m.Adapters = append(append([]string(nil), m.Adapters...), adapter)
			}
		}
		out = append(out, m)
	}
	if !found {
		m := registry.Model{Name: model}
		if adapter != "" {
			m.Adapters = []string{adapter}
		}
		out = append(out, m)
	}
	return out
}

// withoutModel returns a copy of models without the adapter, or without the whole model if adapter is empty.
func withoutModel(models []registry.Model, model, adapter string) []registry.Model {
	out := make([]registry.Model, 0, len(models))
	for _, m := range models {
		if m.Name == model {
			if adapter == "" {
				continue
			}
			kept := make([]string, 0, len(m.Adapters))
			for _, a := range m.Adapters {
				if a != adapter {
					kept = append(kept, a)
				}
			}
			m.Adapters = kept
		}
		out = append(out, m)
	}
	return out
}

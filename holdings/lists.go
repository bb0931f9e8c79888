// Package holdings keeps the lists of what a target holds. Agents leave them out of the states that they send to gateways, or send what has
// changed.
package holdings

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"gypsumbank/wire"
)

// Revisions are the numbers of changes of the lists of what a target holds, since the agent began; 0 before the first.
type Revisions struct{ Models, InMemory, OnDisk uint64 }

// Next returns the revisions of a state's lists, if these are the revisions of the lists of the state before it. The lists of another run of
// the target are new.
func (r Revisions) Next(before, state *wire.TargetState) Revisions {
	isOtherRun := before.GetTargetId() != state.GetTargetId() || before.GetBorn() != state.GetBorn()
	first := r == Revisions{}
	if isOtherRun || first || !sameModels(before.GetModels(), state.GetModels()) {
		r.Models++
	}
	if isOtherRun || first || !slices.Equal(before.GetInMemory(), state.GetInMemory()) {
		r.InMemory++
	}
	if isOtherRun || first || !slices.Equal(before.GetOnDisk(), state.GetOnDisk()) {
		r.OnDisk++
	}
	return r
}

func sameModels(a, b []*wire.HeldModel) bool {
	return slices.EqualFunc(a, b, func(a, b *wire.HeldModel) bool { return proto.Equal(a, b) })
}

// Without returns a copy of a state that leaves all lists out as unchanged.
func Without(state *wire.TargetState) *wire.TargetState {
	without := proto.Clone(state).(*wire.TargetState)
	without.SameHoldings, without.Models, without.InMemory, without.OnDisk = true, nil, nil, nil
	return without
}

// Sent is what an agent last sent to a gateway on one connection.
type Sent struct {
	revisions Revisions
	models    []*wire.HeldModel
}

// Record notes that the lists of a state were sent, in whatever form.
func (s *Sent) Record(state *wire.TargetState, revisions Revisions) {
	s.revisions, s.models = revisions, state.GetModels()
}

// Has reports whether the gateway has the lists with these revisions.
func (s *Sent) Has(revisions Revisions) bool { return s.revisions == revisions }

// Any reports whether any lists were sent.
func (s *Sent) Any() bool { return s.revisions != Revisions{} }

// Changes returns a state with those of its lists that differ from what was sent, and of the models only the changes of adapters if the
// models are the same. The state without its lists is returned as it is if the gateway has all of them.
func (s *Sent) Changes(state, without *wire.TargetState, revisions Revisions) *wire.TargetState {
	if s.Has(revisions) {
		return without
	}
	changed := proto.Clone(without).(*wire.TargetState)
	if s.revisions.Models != revisions.Models {
		var ok bool
		if changed.AdapterChanges, ok = adapterChanges(s.models, state.GetModels()); !ok {
			changed.HasModels, changed.Models = true, state.GetModels()
		}
	}
	if s.revisions.InMemory != revisions.InMemory {
		changed.HasInMemory, changed.InMemory = true, state.GetInMemory()
	}
	if s.revisions.OnDisk != revisions.OnDisk {
		changed.HasOnDisk, changed.OnDisk = true, state.GetOnDisk()
	}
	return changed
}

// adapterChanges returns the adapters that models have or lack, compared with those before. The order of a model's adapters has no meaning.
// ok is false if the models are others, or if a model or an adapter is listed twice, which changes don't tell.
func adapterChanges(before, models []*wire.HeldModel) (changes []*wire.AdapterChange, ok bool) {
	if len(before) != len(models) || isRepeated(modelNames(models)) {
		return nil, false
	}
	for i, m := range models {
		had, has := before[i].GetAdapters(), m.GetAdapters()
		if before[i].GetName() != m.GetName() || isRepeated(had) || isRepeated(has) {
			return nil, false
		}
		change := &wire.AdapterChange{Model: m.GetName(), Added: without(has, had), Removed: without(had, has)}
		if len(change.GetAdded())+len(change.GetRemoved()) > 0 {
			changes = append(changes, change)
		}
	}
	return changes, true
}

func modelNames(models []*wire.HeldModel) []string {
	names := make([]string, 0, len(models))
	for _, m := range models {
		names = append(names, m.GetName())
	}
	return names
}

// isRepeated reports whether a name is listed twice.
func isRepeated(names []string) bool {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			return true
		}
	}
	return false
}

// without returns the names that are not among the others.
func without(names, others []string) []string {
	var left []string
	for _, name := range names {
		if !slices.Contains(others, name) {
			left = append(left, name)
		}
	}
	return left
}

// Lists are those that a gateway has received on one connection to an agent.
type Lists struct {
	models   []*wire.HeldModel
	inMemory []string
	onDisk   []string
}

// Complete adds the lists that a received state leaves out, and keeps those that it has.
func (l *Lists) Complete(state *wire.TargetState) {
	kept := state.GetSameHoldings()
	if !kept || state.GetHasModels() {
		l.models = state.GetModels()
	} else if changes := state.GetAdapterChanges(); len(changes) > 0 {
		l.models = withChanges(l.models, changes)
	}
	if !kept || state.GetHasInMemory() {
		l.inMemory = state.GetInMemory()
	}
	if !kept || state.GetHasOnDisk() {
		l.onDisk = state.GetOnDisk()
	}
	state.Models, state.InMemory, state.OnDisk = l.models, l.inMemory, l.onDisk
}

// withChanges returns a copy of models with adapters added and removed; earlier states still have the models as they were.
func withChanges(models []*wire.HeldModel, changes []*wire.AdapterChange) []*wire.HeldModel {
	models = slices.Clone(models)
	for _, change := range changes {
		i := slices.IndexFunc(models, func(m *wire.HeldModel) bool { return m.GetName() == change.GetModel() })
		if i < 0 {
			continue
		}
		adapters := append(without(models[i].GetAdapters(), change.GetRemoved()), change.GetAdded()...)
		models[i] = &wire.HeldModel{Name: change.GetModel(), Adapters: adapters}
	}
	return models
}

// Package holdings keeps the lists of what a target holds, which agents leave out of the states that they send to gateways while the lists
// are unchanged.
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

// Lists are those that a gateway has received on one connection to an agent.
type Lists struct {
	models   []*wire.HeldModel
	inMemory []string
	onDisk   []string
}

// Complete adds the lists that a received state leaves out, and keeps those that it has.
func (l *Lists) Complete(state *wire.TargetState) {
	if state.GetSameHoldings() {
		state.Models, state.InMemory, state.OnDisk = l.models, l.inMemory, l.onDisk
		return
	}
	l.models, l.inMemory, l.onDisk = state.GetModels(), state.GetInMemory(), state.GetOnDisk()
}

package holdings_test

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"gypsumbank/holdings"
	"gypsumbank/wire"
)

// drawState draws the lists of a run of a target. Names are few, so that lists are often equal in part.
func drawState(t *rapid.T) *wire.TargetState {
	names := func(kind string) []string {
		var names []string
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 4).Draw(t, kind) {
			names = append(names, fmt.Sprint(kind, n))
		}
		return names
	}
	state := &wire.TargetState{TargetId: "t", Born: rapid.Int64Range(1, 2).Draw(t, "born"), InMemory: names("memory"), OnDisk: names("disk")}
	for i := range rapid.IntRange(0, 3).Draw(t, "models") {
		state.Models = append(state.Models, &wire.HeldModel{Name: fmt.Sprint("model", i), Adapters: names("adapter")})
	}
	return state
}

// ordered returns a copy of a state with the adapters of each model in order.
func ordered(state *wire.TargetState) *wire.TargetState {
	state = proto.Clone(state).(*wire.TargetState)
	for _, m := range state.GetModels() {
		slices.Sort(m.GetAdapters())
	}
	return &wire.TargetState{Models: state.GetModels(), InMemory: state.GetInMemory(), OnDisk: state.GetOnDisk()}
}

// TestChangesAddUp sends draws of states as changes. A gateway must have the lists of each, and those that it had for earlier states must stay
// as they were, as others still read them.
func TestChangesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var revisions holdings.Revisions
		var sent holdings.Sent
		var lists holdings.Lists
		var before, earlier, earlierCopy *wire.TargetState
		for range rapid.IntRange(1, 8).Draw(t, "states") {
			state := drawState(t)
			revisions = revisions.Next(before, state)
			before = state
			if rapid.Bool().Draw(t, "not sent") {
				continue
			}
			message := state
			if sent.Any() {
				message = sent.Changes(state, holdings.Without(state), revisions)
			}
			sent.Record(state, revisions)
			message = proto.Clone(message).(*wire.TargetState)
			lists.Complete(message)
			if got, want := ordered(message), ordered(state); !proto.Equal(got, want) {
				t.Fatalf("the gateway has %v, want %v", got, want)
			}
			if earlier != nil && !proto.Equal(earlier, earlierCopy) {
				t.Fatalf("an earlier state has become %v, want %v", earlier, earlierCopy)
			}
			earlier, earlierCopy = message, proto.Clone(message).(*wire.TargetState)
		}
	})
}

// TestModelListedTwiceIsSentWhole guards against an adapter that is taken from the first of two entries of a model though it left the second, so that
// a gateway goes on sending requests for it.
func TestModelListedTwiceIsSentWhole(t *testing.T) {
	state := func(adapters ...string) *wire.TargetState {
		return &wire.TargetState{TargetId: "t", Born: 1, Models: []*wire.HeldModel{{Name: "m"}, {Name: "m", Adapters: adapters}}}
	}
	first, second := state("x"), state()
	var sent holdings.Sent
	var lists holdings.Lists
	revisions := holdings.Revisions{}.Next(nil, first)
	sent.Record(first, revisions)
	lists.Complete(proto.Clone(first).(*wire.TargetState))
	message := sent.Changes(second, holdings.Without(second), revisions.Next(first, second))
	lists.Complete(message)
	if got, want := ordered(message), ordered(second); !proto.Equal(got, want) {
		t.Errorf("the gateway has %v, want %v", got, want)
	}
}

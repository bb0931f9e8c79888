package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumbank/history"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// fakeClock is a clock that moves only when a test advances it.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func (c *fakeClock) advance(d time.Duration) { c.at = c.at.Add(d) }

// newTestWatchers returns watchers on a fake clock.
func newTestWatchers() (*watchers, *fakeClock) {
	clock := &fakeClock{at: time.Unix(1000, 0)}
	return newWatchers(clock.now), clock
}

// received returns the state that is queued for a gateway, or nil.
func received(w *watchers, recipient *watcher) *wire.TargetState {
	select {
	case next := <-recipient.updates:
		return w.stateFor(next, recipient)
	default:
		return nil
	}
}

// demand returns the demand for one model in ms of engine time per second.
func demand(model string, work float32) []*wire.ModelDemand {
	return []*wire.ModelDemand{{Service: "s", Model: model, Work: work}}
}

func TestPlannerIsLiveGatewayWithSmallestName(t *testing.T) {
	w, clock := newTestWatchers()
	first, second := w.add(), w.add()
	w.handleHeartbeat(first, &wire.WatcherUpdate{Node: "g1"})
	w.handleHeartbeat(second, &wire.WatcherUpdate{Node: "g2"})
	w.publish(&wire.TargetState{TargetId: "t"})
	if state := received(w, second); state.GetPlanner() != "g1" || state.GetWatchers() != 2 {
		t.Errorf("planner %q among %d gateways, want g1 among 2", state.GetPlanner(), state.GetWatchers())
	}
	clock.advance(watcherTimeout)
	w.handleHeartbeat(second, &wire.WatcherUpdate{Node: "g2"})
	w.publish(&wire.TargetState{TargetId: "t"})
	if state := received(w, second); state.GetPlanner() != "g2" || state.GetWatchers() != 1 {
		t.Errorf("after the heartbeats of g1 stopped: planner %q among %d gateways, want g2 among 1", state.GetPlanner(), state.GetWatchers())
	}
}

func TestPlannerReceivesSummedDemand(t *testing.T) {
	w, _ := newTestWatchers()
	first, second := w.add(), w.add()
	w.handleHeartbeat(first, &wire.WatcherUpdate{Node: "g1", HasDemand: true, Demand: demand("m", 30)})
	w.publish(&wire.TargetState{TargetId: "t"})
	w.demandSentAt = time.Time{}
	w.handleHeartbeat(second, &wire.WatcherUpdate{Node: "g2", HasDemand: true, Demand: demand("m", 12)})
	state := received(w, first)
	if len(state.GetDemand()) != 1 || state.GetDemand()[0].GetWork() != 42 {
		t.Errorf("the planner received demand %v, want one model with work 42", state.GetDemand())
	}
	if state := received(w, second); len(state.GetDemand()) != 0 {
		t.Error("a gateway that is not the planner received demand")
	}
}

func TestPromptPartsAreRelayedOnceToOtherGateways(t *testing.T) {
	w, clock := newTestWatchers()
	first, second := w.add(), w.add()
	w.handleHeartbeat(first, &wire.WatcherUpdate{Node: "g1", Parts: []*wire.PromptPart{{Hash: 7, Tokens: 100}}, UnreadMs: 40})
	w.handleHeartbeat(second, &wire.WatcherUpdate{Node: "g2", UnreadMs: 2})
	w.publish(&wire.TargetState{TargetId: "t"})
	if state := received(w, second); len(state.GetParts()) != 1 || state.GetUnreadMs() != 42 {
		t.Errorf("g2 received prompt parts %v and %v ms of pending prefill, want 1 part and 42 ms", state.GetParts(), state.GetUnreadMs())
	}
	if state := received(w, first); len(state.GetParts()) != 0 {
		t.Error("a gateway received its own prompt parts")
	}
	clock.advance(time.Second)
	w.publish(&wire.TargetState{TargetId: "t"})
	if state := received(w, second); len(state.GetParts()) != 0 {
		t.Error("a gateway received the same prompt parts twice")
	}
}

func TestLoadOnlyStatesAreRateLimited(t *testing.T) {
	w, clock := newTestWatchers()
	gateway := w.add()
	w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g1"})
	sent := 0
	for i := range 1000 {
		clock.advance(time.Millisecond)
		w.publish(&wire.TargetState{TargetId: "t", Waiting: uint32(i)})
		if received(w, gateway) != nil {
			sent++
		}
	}
	if maxSent := int(time.Second/minLoadStateInterval) + 1; sent > maxSent {
		t.Errorf("%d states that differ only in load were sent within a second, at most %d are allowed", sent, maxSent)
	}
	w.publish(&wire.TargetState{TargetId: "t", Draining: true})
	if state := received(w, gateway); !state.GetDraining() {
		t.Error("a drain was not sent at once")
	}
}

func TestStoreReadsAreRelayed(t *testing.T) {
	w, clock := newTestWatchers()
	gateway := w.add()
	targets := []registry.Target{{ID: "a", Service: "s", Address: "10.0.0.1:80"}}
	w.setRoutesVersion(3, w.now())
	w.setTargets(targets, history.New(1, 1, 1), w.now())
	w.publish(&wire.TargetState{TargetId: "t"})
	if received(w, gateway).GetStoreReads() != nil {
		t.Error("store reads were sent although no gateway had requested them")
	}
	w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g1", HasDemand: true})
	clock.advance(400 * time.Millisecond)
	w.publish(&wire.TargetState{TargetId: "t"})
	if reads := received(w, gateway).GetStoreReads(); reads.GetRoutesVersion() != 3 || len(reads.GetTargets()) != 1 || reads.GetAgeMs() != 400 {
		t.Errorf("store reads %v, want routes version 3, one target and an age of 400 ms", reads)
	}
	w.setTargets(targets, history.New(1, 1, 1), w.now())
	clock.advance(400 * time.Millisecond)
	w.publish(&wire.TargetState{TargetId: "t"})
	if reads := received(w, gateway).GetStoreReads(); reads == nil || reads.GetHasTargets() {
		t.Errorf("store reads %v, want them without the unchanged targets", reads)
	}
	targets[0].Draining = true
	w.setTargets(targets, history.New(1, 1, 1), w.now())
	if reads := received(w, gateway).GetStoreReads(); len(reads.GetTargets()) != 1 || !reads.GetTargets()[0].GetDraining() {
		t.Errorf("store reads %v, want the drain of the target at once", reads)
	}
}

// TestLongPromptsOfManyGatewaysAtOnce covers gateways that send long prompts to one target at the same time: each must learn
// of the others' pending prefill time before the next state is due.
func TestLongPromptsOfManyGatewaysAtOnce(t *testing.T) {
	w, _ := newTestWatchers()
	first, second := w.add(), w.add()
	w.handleHeartbeat(first, &wire.WatcherUpdate{Node: "g1"})
	w.handleHeartbeat(second, &wire.WatcherUpdate{Node: "g2"})
	w.publish(&wire.TargetState{TargetId: "t"})
	received(w, second)
	tests := []struct {
		pendingMs float32
		wantSent  bool
	}{{pendingPrefillRiseMs / 2, false}, {2 * pendingPrefillRiseMs, true}, {2.5 * pendingPrefillRiseMs, false}, {3 * pendingPrefillRiseMs, true}, {0, false}}
	for _, test := range tests {
		w.handleHeartbeat(first, &wire.WatcherUpdate{Node: "g1", UnreadMs: test.pendingMs})
		state := received(w, second)
		if (state != nil) != test.wantSent || (state != nil && state.GetUnreadMs() != test.pendingMs) {
			t.Errorf("the first gateway reports %v ms of pending prefill, the second received state %v", test.pendingMs, state)
		}
	}
}

// TestUnchangedHoldingsAreOmitted publishes states in a row and counts the models in those that a gateway receives. The lists
// of models make up most of a state, so that unchanged ones are left out for a gateway that keeps them.
func TestUnchangedHoldingsAreOmitted(t *testing.T) {
	state := func(models ...string) *wire.TargetState {
		s := &wire.TargetState{TargetId: "t", OnDisk: []string{"d"}}
		for _, m := range models {
			s.Models = append(s.Models, &wire.HeldModel{Name: m})
		}
		return s
	}
	tests := map[string]struct {
		keepsHoldings     bool
		missesSecondState bool // does not receive the second state
		wantModels        []int
	}{
		"gateway keeps holdings":                    {true, false, []int{1, 0, 2, 0}},
		"gateway keeps holdings and misses a state": {true, true, []int{1, 2, 0}},
		"gateway does not keep holdings":            {false, false, []int{1, 1, 2, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w, clock := newTestWatchers()
			gateway := w.add()
			w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", KeepsHoldings: test.keepsHoldings})
			var got []int
			for i, next := range []*wire.TargetState{state("a"), state("a"), state("a", "b"), state("a", "b")} {
				clock.advance(heartbeatInterval)
				w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", KeepsHoldings: test.keepsHoldings})
				w.publish(next)
				if test.missesSecondState && i == 1 {
					continue
				}
				sentState := received(w, gateway)
				if sentState.GetSameHoldings() != (len(sentState.GetModels()) == 0) || sentState.GetSameHoldings() != (len(sentState.GetOnDisk()) == 0) {
					t.Errorf("state %d: SameHoldings does not agree with the lists: %v", i, sentState)
				}
				got = append(got, len(sentState.GetModels()))
			}
			if !slices.Equal(got, test.wantModels) {
				t.Errorf("number of models in each state received: %v, want %v", got, test.wantModels)
			}
		})
	}
}

// TestPromptPartsArePackedForManyGateways guards against packed parts that a gateway does not understand, or that reach one of few, and
// against parts that cause states of their own.
func TestPromptPartsArePackedForManyGateways(t *testing.T) {
	const hash = 0x9e3779b97f4a7c15
	for _, gateways := range []int{maxFewWatchers, maxFewWatchers + 1} {
		w, clock := newTestWatchers()
		w.publish(&wire.TargetState{TargetId: "t"})
		members := make([]*watcher, 0, gateways)
		for range gateways {
			members = append(members, w.add())
		}
		for i, member := range members {
			w.handleHeartbeat(member, &wire.WatcherUpdate{Node: fmt.Sprint("g", i), ReadsPackedParts: i != 1})
			received(w, member)
		}
		w.handleHeartbeat(members[0], &wire.WatcherUpdate{Node: "g0", ReadsPackedParts: true, Parts: []*wire.PromptPart{{Hash: hash, Tokens: 500}, {Hash: 7}}})
		for i, member := range members {
			if state := received(w, member); state != nil {
				t.Errorf("%d gateways: gateway %d gets a state for prompt parts alone: %v", gateways, i, state)
			}
		}
		clock.advance(heartbeatInterval)
		w.publish(&wire.TargetState{TargetId: "t"})
		for i, member := range members[1:] {
			state := received(w, member)
			isPacked := slices.Equal(state.GetPartHashes(), []uint32{hash & 0xffffffff, 7}) && slices.Equal(state.GetPartTokens(), []uint32{500, 0}) && state.GetParts() == nil
			isWhole := len(state.GetParts()) == 2 && state.GetParts()[0].GetHash() == hash && state.GetPartHashes() == nil && state.GetPartTokens() == nil
			if wantPacked := gateways > maxFewWatchers && i > 0; isPacked != wantPacked || isWhole == wantPacked {
				t.Errorf("%d gateways: gateway %d gets %v, packed parts wanted: %v", gateways, i+1, state, wantPacked)
			}
		}
	}
}

// TestDemandIsKeptBetweenTheHeartbeatsThatHaveIt covers gateways that send their demand with some heartbeats only: until the next it must count, and
// the store must be read.
func TestDemandIsKeptBetweenTheHeartbeatsThatHaveIt(t *testing.T) {
	const demandInterval = 2500 * time.Millisecond // the longest of gateways
	w, clock := newTestWatchers()
	gateway := w.add()
	w.publish(&wire.TargetState{TargetId: "t"})
	for n := range 40 {
		beat := &wire.WatcherUpdate{Node: "g"}
		if n%int(demandInterval/(500*time.Millisecond)) == 0 {
			beat.HasDemand, beat.Demand = true, demand("m", 42)
		}
		w.handleHeartbeat(gateway, beat)
		clock.advance(500 * time.Millisecond)
		w.publish(&wire.TargetState{TargetId: "t", Sequence: int64(n)})
		if state := received(w, gateway); len(state.GetDemand()) != 1 || state.GetDemand()[0].GetWork() != 42 {
			t.Errorf("heartbeat %d: the planner received demand %v, want one model with work 42", n, state.GetDemand())
		}
		if !w.isRelay() {
			t.Errorf("heartbeat %d: the store is not read", n)
		}
	}
}

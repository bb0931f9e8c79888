package agent

import (
	"slices"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/wire"
)

// fakeClock is a time that tests move.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func (c *fakeClock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newTestWatchers() (*watchers, *fakeClock) {
	clock := &fakeClock{at: time.Unix(1000, 0)}
	return newWatchers(clock.now), clock
}

// received returns the state that is queued for a gateway, or nil.
func received(w *watchers, to *watcher) *wire.TargetState {
	select {
	case next := <-to.updates:
		return w.personal(next, to)
	default:
		return nil
	}
}

func demand(model string, work float32) []*wire.ModelDemand {
	return []*wire.ModelDemand{{Service: "s", Model: model, Work: work}}
}

func TestPlannerIsTheLiveGatewayWithTheLeastName(t *testing.T) {
	w, clock := newTestWatchers()
	first, second := w.add(), w.add()
	w.heard(first, &wire.WatcherUpdate{Node: "g1"})
	w.heard(second, &wire.WatcherUpdate{Node: "g2"})
	w.publish(&wire.TargetState{TargetId: "t"})
	if state := received(w, second); state.GetPlanner() != "g1" || state.GetWatchers() != 2 {
		t.Errorf("planner %q of %d gateways", state.GetPlanner(), state.GetWatchers())
	}
	clock.advance(watcherLifetime)
	w.heard(second, &wire.WatcherUpdate{Node: "g2"})
	w.publish(&wire.TargetState{TargetId: "t"})
	if state := received(w, second); state.GetPlanner() != "g2" || state.GetWatchers() != 1 {
		t.Errorf("after g1 fell silent: planner %q of %d gateways", state.GetPlanner(), state.GetWatchers())
	}
}

func TestDemandOfAllGoesToThePlanner(t *testing.T) {
	w, _ := newTestWatchers()
	first, second := w.add(), w.add()
	w.heard(first, &wire.WatcherUpdate{Node: "g1", HasDemand: true, Demand: demand("m", 30)})
	w.publish(&wire.TargetState{TargetId: "t"})
	w.demandAt = time.Time{}
	w.heard(second, &wire.WatcherUpdate{Node: "g2", HasDemand: true, Demand: demand("m", 12)})
	state := received(w, first)
	if len(state.GetDemand()) != 1 || state.GetDemand()[0].GetWork() != 42 {
		t.Errorf("the planner was told %v", state.GetDemand())
	}
	if state := received(w, second); len(state.GetDemand()) != 0 {
		t.Error("another gateway was told the demand")
	}
}

func TestPartsReachTheOtherGatewaysOnce(t *testing.T) {
	w, clock := newTestWatchers()
	first, second := w.add(), w.add()
	w.heard(first, &wire.WatcherUpdate{Node: "g1", Parts: []*wire.PromptPart{{Hash: 7, Tokens: 100}}, UnreadMs: 40})
	w.heard(second, &wire.WatcherUpdate{Node: "g2", UnreadMs: 2})
	w.publish(&wire.TargetState{TargetId: "t"})
	if state := received(w, second); len(state.GetParts()) != 1 || state.GetUnreadMs() != 42 {
		t.Errorf("told %v and %v ms", state.GetParts(), state.GetUnreadMs())
	}
	if state := received(w, first); len(state.GetParts()) != 0 {
		t.Error("a gateway was told its own parts")
	}
	clock.advance(time.Second)
	w.publish(&wire.TargetState{TargetId: "t"})
	if state := received(w, second); len(state.GetParts()) != 0 {
		t.Error("parts were told twice")
	}
}

func TestStatesAreBounded(t *testing.T) {
	w, clock := newTestWatchers()
	to := w.add()
	w.heard(to, &wire.WatcherUpdate{Node: "g1"})
	sent := 0
	for i := range 1000 {
		clock.advance(time.Millisecond)
		w.publish(&wire.TargetState{TargetId: "t", Waiting: uint32(i)})
		if received(w, to) != nil {
			sent++
		}
	}
	if most := int(time.Second/loadPause) + 1; sent > most {
		t.Errorf("%d states in a second, at most %d may differ in load only", sent, most)
	}
	w.publish(&wire.TargetState{TargetId: "t", Draining: true})
	if state := received(w, to); !state.GetDraining() {
		t.Error("a drain is not told at once")
	}
}

func TestStoreReadsAreRelayed(t *testing.T) {
	w, clock := newTestWatchers()
	to := w.add()
	targets := []registry.Target{{ID: "a", Service: "s", Address: "10.0.0.1:80"}}
	w.setRoutes(3)
	w.setTargets(targets)
	w.publish(&wire.TargetState{TargetId: "t"})
	if received(w, to).GetStoreReads() != nil {
		t.Error("a storeReads for a gateway that did not ask for it")
	}
	w.heard(to, &wire.WatcherUpdate{Node: "g1", HasDemand: true})
	clock.advance(400 * time.Millisecond)
	w.publish(&wire.TargetState{TargetId: "t"})
	if b := received(w, to).GetStoreReads(); b.GetRoutesVersion() != 3 || len(b.GetTargets()) != 1 || b.GetAgeMs() != 400 {
		t.Errorf("storeReads %v", b)
	}
	w.setTargets(targets)
	clock.advance(400 * time.Millisecond)
	w.publish(&wire.TargetState{TargetId: "t"})
	if b := received(w, to).GetStoreReads(); b == nil || b.GetHasTargets() {
		t.Errorf("storeReads %v, the targets are unchanged", b)
	}
	targets[0].Draining = true
	w.setTargets(targets)
	if b := received(w, to).GetStoreReads(); len(b.GetTargets()) != 1 || !b.GetTargets()[0].GetDraining() {
		t.Errorf("storeReads %v, a drain must be told at once", b)
	}
}

// TestLongPromptsOfManyGatewaysAtOnce names its load: gateways send long prompts at the same moment; each must learn of the
// others' before the next state is due.
func TestLongPromptsOfManyGatewaysAtOnce(t *testing.T) {
	w, _ := newTestWatchers()
	first, second := w.add(), w.add()
	w.heard(first, &wire.WatcherUpdate{Node: "g1"})
	w.heard(second, &wire.WatcherUpdate{Node: "g2"})
	w.publish(&wire.TargetState{TargetId: "t"})
	received(w, second)
	tests := []struct {
		unread float32
		told   bool
	}{{unreadRiseMs / 2, false}, {2 * unreadRiseMs, true}, {2.5 * unreadRiseMs, false}, {3 * unreadRiseMs, true}, {0, false}}
	for _, test := range tests {
		w.heard(first, &wire.WatcherUpdate{Node: "g1", UnreadMs: test.unread})
		state := received(w, second)
		if (state != nil) != test.told || (state != nil && state.GetUnreadMs() != test.unread) {
			t.Errorf("%v ms wait at the first gateway, the second is told %v", test.unread, state)
		}
	}
}

// TestUnchangedHoldingsAreNotSentAgain has gateways receive states in a row; the lists of models are most of a state.
func TestUnchangedHoldingsAreNotSentAgain(t *testing.T) {
	state := func(models ...string) *wire.TargetState {
		s := &wire.TargetState{TargetId: "t", OnDisk: []string{"d"}}
		for _, m := range models {
			s.Models = append(s.Models, &wire.HeldModel{Name: m})
		}
		return s
	}
	tests := map[string]struct {
		keeps bool
		lags  bool // does not receive the second state
		want  []int
	}{
		"a gateway that keeps them": {true, false, []int{1, 0, 2, 0}},
		"one that missed a change":  {true, true, []int{1, 2, 0}},
		"one that does not":         {false, false, []int{1, 1, 2, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w, clock := newTestWatchers()
			to := w.add()
			w.heard(to, &wire.WatcherUpdate{Node: "g", KeepsHoldings: test.keeps})
			var got []int
			for i, next := range []*wire.TargetState{state("a"), state("a"), state("a", "b"), state("a", "b")} {
				clock.advance(heartbeat)
				w.heard(to, &wire.WatcherUpdate{Node: "g", KeepsHoldings: test.keeps})
				w.publish(next)
				if test.lags && i == 1 {
					continue
				}
				told := received(w, to)
				if told.GetSameHoldings() != (len(told.GetModels()) == 0) || told.GetSameHoldings() != (len(told.GetOnDisk()) == 0) {
					t.Errorf("state %d: %v", i, told)
				}
				got = append(got, len(told.GetModels()))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("models sent: %v, want %v", got, test.want)
			}
		})
	}
}

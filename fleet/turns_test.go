package fleet

import (
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
)

// TestWaitForTurnIsCostNotDelay reports prompts that wait for a turn at one of two engines. A long prompt must go to the other one; a
// short one needs no turn, so its expected time must not count them; and an engine must not count as slow because a request
// waited for its turn.
func TestWaitForTurnIsCostNotDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New("a")
	var targets []registry.Target
	for _, id := range []string{"e1", "e2"} {
		targets = append(targets, registry.Target{ID: id, Service: "s", AvailabilityZone: "a", Slots: 64, Models: []registry.Model{{Name: "m"}}})
	}
	f.SetServices(map[string]route.Service{"s": {Name: "s", Engine: &route.Engine{}}})
	f.UpdateTargets(targets, false, now)
	observe := func(id string, turnWaitMs float64) {
		f.Observe(id, Observation{Report: registry.Report{Models: []registry.Model{{Name: "m"}}, KVTotal: 200000}, Watchers: 29, QueuedPrefillMs: turnWaitMs, TurnWaitMs: turnWaitMs}, now)
	}
	long := &request.Request{Model: "m", PromptTokens: 9190}
	choose := func(req *request.Request) Choice {
		choice, ok := f.Choose(Query{Service: "s", Request: req}, now)
		if !ok {
			t.Fatal("no target")
		}
		return choice
	}
	observe("e1", 0)
	observe("e2", 0)
	busy := choose(long).Target.ID
	idle := map[string]string{"e1": "e2", "e2": "e1"}[busy]
	observe(busy, 1000)
	if got := choose(long); got.Target.ID != idle || !got.NeedsTurn() {
		t.Errorf("long prompt goes to %s, needs a turn: %v; want the engine where no prompt waits for a turn", got.Target.ID, got.NeedsTurn())
	}
	observe(idle, 1000)
	if got := choose(long); got.PrefillQueue != time.Second || got.Expected > 500*time.Millisecond {
		t.Errorf("expected %s after %s of waiting, want the wait for a turn apart", got.Expected, got.PrefillQueue)
	}
	if got := choose(&request.Request{Model: "m", PromptTokens: 800}); got.PrefillQueue != 0 || got.NeedsTurn() {
		t.Errorf("short prompt waits %s, needs a turn: %v", got.PrefillQueue, got.NeedsTurn())
	}
	end := f.BeginTurnWait(choose(long))
	end()
	choice := choose(long).AfterTurn()
	a := f.Assign(choice, long, now)
	a.Start(now.Add(choice.Expected))
	if slow := f.states[choice.Target.ID].performance.slowness(now); slow > 1 {
		t.Errorf("slowness %.2f after an answer within the time of a prompt that waited for its turn, want 1", slow)
	}
}

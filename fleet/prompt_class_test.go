package fleet

import (
	"fmt"
	"testing"
	"time"

	"gypsumbank/promptclass"
	"gypsumbank/registry"
	"gypsumbank/request"
)

// TestHoldersForAClassSpillOver disturbs the one of six holders that is for short prompts, or the five that are for long ones. It guards
// against requests that stay at the holders for their class although these are full, slow, failing, silent or have long queues,
// and against a division that a few more requests there undo. If a holder leaves, another one takes its place.
func TestHoldersForAClassSpillOver(t *testing.T) {
	t.Parallel()
	const holders = 6
	ids := make([]string, 0, holders)
	models := make([][]string, 0, holders)
	for i := range holders {
		ids, models = append(ids, fmt.Sprint("e", i)), append(models, []string{"hot"})
	}
	short := promptclass.Short(ids, 1)
	now := start.Add(2 * time.Second)
	observe := func(requests int, turnWaitMs float64) func(*Fleet, string) {
		return func(f *Fleet, id string) {
			observation := newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
			observation.Watchers, observation.Requests, observation.TurnWaitMs, observation.QueuedPrefillMs = 29, requests, turnWaitMs, turnWaitMs
			f.Observe(id, observation, now)
		}
	}
	shorts, longs := shortRequest("hot"), longRequest("hot", "s")
	cases := map[string]struct {
		request *request.Request
		disturb func(f *Fleet, id string) // the holders for the class of the request
		want    PromptClass
	}{
		"short prompts":                      {shorts, observe(10, 0), OwnHolder},
		"long prompts":                       {longs, observe(10, 0), OwnHolder},
		"short prompts, half of the slots":   {shorts, observe(32, 0), OwnHolder},
		"short prompts, all slots taken":     {shorts, observe(75, 0), OthersHolder},
		"long prompts, all slots taken":      {longs, observe(75, 0), OthersHolder},
		"long prompts, short wait for turns": {longs, observe(10, 100), OwnHolder},
		"long prompts, long wait for turns":  {longs, observe(10, 600), OthersHolder},
		"short prompts, leaving":             {shorts, func(f *Fleet, id string) { f.states[id].Draining = true }, OwnHolder},
		"short prompts, slow":                {shorts, func(f *Fleet, id string) { f.states[id].performance.addFirstByte(6000, 600, now) }, OthersHolder},
		"short prompts, failing": {shorts, func(f *Fleet, id string) {
			for range 3 {
				f.states[id].performance.addResult(Failed, now)
			}
		}, OthersHolder},
		"short prompts, silent":   {shorts, func(f *Fleet, id string) { f.states[id].reportAt = now.Add(-missedHeartbeatAge - 100*time.Millisecond) }, OthersHolder},
		"short prompts, refusing": {shorts, func(f *Fleet, id string) { f.states[id].fullUntil = now.Add(time.Second) }, OthersHolder},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(models...)
			for range 50 {
				f.RecordDemand(service, longs, now)
				f.RecordDemand(service, shorts, now)
			}
			for _, id := range ids {
				observe(2, 0)(f, id)
			}
			for _, id := range ids {
				if short[id] != isLongPrompt(c.request) {
					c.disturb(f, id)
				}
			}
			chosen := map[PromptClass]int{}
			for range 30 {
				choice, _ := f.Choose(Query{Service: service, Request: c.request}, now)
				chosen[choice.PromptClass]++
			}
			if c.want == OwnHolder && chosen[OwnHolder] < 30 {
				t.Errorf("chosen %v, want the holders for the class only", chosen)
			}
			if c.want == OthersHolder && chosen[OthersHolder] == 0 {
				t.Errorf("chosen %v, want others as well", chosen)
			}
		})
	}
}

// TestHoldersOfFewGatewaysAreNotDivided guards deployments with few gateways, and models with few holders, against a division.
func TestHoldersOfFewGatewaysAreNotDivided(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ holders, gateways int }{"few gateways": {6, manyGateways - 1}, "two holders": {2, 29}, "one holder": {1, 29}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var models [][]string
			for range c.holders {
				models = append(models, []string{"hot"})
			}
			f := newTestFleet(models...)
			f.RecordDemand(service, shortRequest("hot"), start)
			observation := newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
			observation.Watchers = c.gateways
			f.Observe("e0", observation, start)
			for _, req := range []*request.Request{shortRequest("hot"), longRequest("hot", "s")} {
				if got := mustChoose(t, f, req).PromptClass; got != Undivided {
					t.Errorf("a prompt of %d tokens goes to %s, want all holders for both classes", req.PromptTokens, got)
				}
			}
		})
	}
}

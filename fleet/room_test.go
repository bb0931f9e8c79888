package fleet

import (
	"testing"
	"time"

	"gypsumbank/registry"
)

// TestRoom checks whether a request may be sent to the only holder of its model.
func TestRoom(t *testing.T) {
	cases := map[string]struct {
		others, own int
		kvUsed      int
		refused     bool
		ageMs       int
		want        bool
	}{
		"idle":                                     {want: true},
		"slots are free":                           {others: 40, own: 20, want: true},
		"a few more than the slots wait there":     {others: 60, own: 8, want: true},
		"other gateways have taken all slots":      {others: 69, want: false},
		"own and other requests take all slots":    {others: 40, own: 30, want: false},
		"no KV cache":                              {others: 1, kvUsed: 199000, want: false},
		"an idle engine takes what does not fit":   {kvUsed: 199000, want: true},
		"it has just refused a request":            {others: 10, refused: true, want: false},
		"stale news of others does not count":      {others: 69, ageMs: 4000, want: true},
		"own requests count also without any news": {own: 70, ageMs: 4000, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet([]string{"hot"})
			observation := newObservation(registry.Report{Born: 1, KVUsed: c.kvUsed, Models: f.states["e0"].Models})
			observation.Requests = c.others
			f.Observe("e0", observation, start)
			choose := func(now time.Time) Choice {
				choice, _ := f.Choose(Query{Service: service, Request: shortRequest("hot")}, now)
				return choice
			}
			for range c.own {
				f.Assign(choose(start), shortRequest("hot"), start)
			}
			now := start.Add(time.Duration(c.ageMs) * time.Millisecond)
			if c.refused {
				f.Assign(choose(now), shortRequest("hot"), now).End(Refused, now)
			}
			if got := choose(now).HasRoom; got != c.want {
				t.Errorf("has room: %v, want %v", got, c.want)
			}
		})
	}
}

// TestShortPromptsUseAllHolders sends only short prompts with long outputs, as many as three quarters of the holders' slots.
// Without long prompts there is nothing to keep them apart from, so no holder may be full while others are idle.
func TestShortPromptsUseAllHolders(t *testing.T) {
	holdings := make([][]string, 8)
	for i := range holdings {
		holdings[i] = []string{"hot"}
	}
	f := newTestFleet(holdings...)
	now := start
	for range 500 {
		f.RecordDemand(service, shortRequest("hot"), now)
	}
	requests := map[string]int{}
	for range 8 * 48 {
		now = now.Add(time.Millisecond)
		choice, ok := f.Choose(Query{Service: service, Request: shortRequest("hot")}, now)
		if !ok || !choice.HasRoom {
			t.Fatalf("choice %+v, %v, want a target with room", choice, ok)
		}
		f.Assign(choice, shortRequest("hot"), now).Start(now.Add(30 * time.Millisecond))
		requests[choice.Target.ID]++
	}
	for id := range f.states {
		if n := requests[id]; n < 30 || n > 64 {
			t.Errorf("%s has %d requests of a mean of 48", id, n)
		}
	}
}

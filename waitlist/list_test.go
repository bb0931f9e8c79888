package waitlist

import (
	"testing"
	"time"

	"gypsumbank/turns"
)

var start = time.Unix(1000, 0)

func atMs(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestOrder lets two requests wait, the first of which arrives earlier, and checks which is served first.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		first, second Rank
		nowMs         int
		secondLeads   bool
	}{
		"equal ranks keep the order of arrival":        {first: Rank{Objective: atMs(300)}, second: Rank{Objective: atMs(300)}},
		"urgent overtakes":                             {first: Rank{Priority: 2, Objective: atMs(100)}, second: Rank{Objective: atMs(300)}, secondLeads: true},
		"earlier objective first":                      {first: Rank{Objective: atMs(400)}, second: Rank{Objective: atMs(300)}, secondLeads: true},
		"urgent that is late waits for those on time":  {first: Rank{Objective: atMs(100)}, second: Rank{Priority: 2, Objective: atMs(300)}, nowMs: 200, secondLeads: true},
		"late ones are ordered by urgency among them":  {first: Rank{Priority: 1, Objective: atMs(100)}, second: Rank{Objective: atMs(150)}, nowMs: 200, secondLeads: true},
		"a stream that has begun goes first":           {first: Rank{Objective: atMs(300)}, second: Rank{Begun: true, Priority: 2, Objective: atMs(100)}, nowMs: 200, secondLeads: true},
		"equally urgent ones of an urgent route first": {first: Rank{RoutePriority: 2, Objective: atMs(100)}, second: Rank{RoutePriority: 1, Objective: atMs(300)}, secondLeads: true},
		"priority of the request before the route's":   {first: Rank{Priority: 2, Objective: atMs(100)}, second: Rank{Priority: 1, RoutePriority: 9, Objective: atMs(300)}, secondLeads: true},
		"less urgent does not overtake on its arrival": {first: Rank{Objective: atMs(300)}, second: Rank{Priority: 1, Objective: atMs(100)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := New()
			key := Key{Service: "llm", Model: "m"}
			now := atMs(c.nowMs)
			first := list.Join(key, c.first)
			list.Join(Key{Service: "llm", Model: "other"}, Rank{})
			foretold := list.AheadOf(key, c.second, now)
			second := list.Join(key, c.second)
			if foretold != second.Ahead(now) {
				t.Errorf("%d requests were to be ahead of the second, %d are", foretold, second.Ahead(now))
			}
			if got := second.Ahead(now) == 0; got != c.secondLeads {
				t.Errorf("second request is served first: %v, want %v", got, c.secondLeads)
			}
			if first.Ahead(now)+second.Ahead(now) != 1 {
				t.Errorf("%d requests are ahead of the first and %d of the second, want one of the two ahead of the other", first.Ahead(now), second.Ahead(now))
			}
			first.Leave()
			first.Leave()
			if second.Ahead(now) != 0 || list.Len(key) != 1 {
				t.Errorf("after the first has left, %d are ahead and %d wait, want 0 and 1", second.Ahead(now), list.Len(key))
			}
		})
	}
}

// TestOrderOfRequestsWithAndWithoutCost guards against requests that all wait for one another: while the seventh gateway joins, some that wait have a Cost
// and others none.
func TestOrderOfRequestsWithAndWithoutCost(t *testing.T) {
	list, key, now := New(), Key{Service: "s", Model: "m"}, start.Add(10*time.Second)
	join := func(priority int, objective time.Duration, hasCost bool) *Place {
		rank := Rank{Priority: priority, Objective: now.Add(objective)}
		if hasCost {
			rank.Cost = &turns.Rank{Priority: priority, Objective: rank.Objective, Prefill: 10 * time.Millisecond}
		}
		return list.Join(key, rank)
	}
	places := []*Place{join(0, -time.Second, true), join(1, 5*time.Second, true), join(2, 5*time.Second, false)}
	seen := map[int]bool{}
	for _, p := range places {
		seen[p.Ahead(now)] = true
	}
	if !seen[0] || len(seen) != len(places) {
		t.Errorf("numbers of requests ahead of %d that wait: %v, want each of 0 to %d", len(places), seen, len(places)-1)
	}
}

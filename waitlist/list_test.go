package waitlist

import (
	"testing"
	"time"
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

package waitlist

import (
	"testing"
	"time"

	"gypsumbank/turns"
)

// TestCostDecidesTheOrder has requests wait that know what a wait costs their callers. An urgent one must go before a patient one with
// time to spare, that one before both once its time is used up, a caller who came back before others of its class, and a
// stream that has begun before all.
func TestCostDecidesTheOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	rank := func(priority int, objective time.Duration, returned bool) Rank {
		return Rank{Priority: priority, Objective: now.Add(objective), Cost: &turns.Rank{Priority: priority, Objective: now.Add(objective), Prefill: 200 * time.Millisecond, Returned: returned}}
	}
	urgent, patient, used, returned := rank(1, 800*time.Millisecond, false), rank(2, 8*time.Second, false), rank(2, 300*time.Millisecond, false), rank(1, 800*time.Millisecond, true)
	begun := rank(2, 8*time.Second, false)
	begun.Begun = true
	list := New()
	key := Key{Service: "s", Model: "m"}
	want := []Rank{begun, used, returned, urgent, patient}
	for i := len(want) - 1; i >= 0; i-- {
		list.Join(key, want[i])
	}
	for i, r := range want {
		place := list.Join(key, r)
		if ahead := place.Ahead(now); ahead != i+1 {
			t.Errorf("%d requests are ahead of number %d and its like, want %d", ahead, i, i+1)
		}
		place.Leave()
	}
}

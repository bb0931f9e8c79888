package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Extra: 40, Window: 10 * time.Second}

// TestNoWindowHasMoreRetriesThanAllowed draws requests and retries of several gateways and counts the retries of all in
// every window against the requests of that window and the one before it.
func TestNoWindowHasMoreRetriesThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		now := time.Unix(1000, 0)
		budgets := make([]*Budget, gateways)
		for i := range budgets {
			budgets[i] = New(limits)
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			if rapid.Bool().Draw(t, "request") {
				b.Request("s", now)
				requests = append(requests, now)
			}
			if rapid.Bool().Draw(t, "retry") && b.Take("s", gateways, now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			n := count(retries, end.Add(-limits.Window), end)
			asked := max(count(requests, end.Add(-limits.Window), end), count(requests, end.Add(-2*limits.Window), end.Add(-limits.Window)))
			if allowed := limits.Ratio*float64(asked) + limits.Extra; float64(n) > allowed {
				t.Fatalf("%d retries in a window, %.1f are allowed", n, allowed)
			}
		}
	})
}

func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

func TestServicesHaveTheirOwnBudget(t *testing.T) {
	b := New(Limits{Extra: 2, Window: time.Second})
	now := time.Unix(1000, 0)
	if !b.Take("a", 1, now) || b.Take("a", 1, now) || !b.Take("b", 1, now) {
		t.Error("the budget of one service is not its own")
	}
	if !b.Take("a", 1, now.Add(2*time.Second)) {
		t.Error("the budget is not renewed")
	}
}

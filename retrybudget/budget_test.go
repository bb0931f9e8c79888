package retrybudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = Limits{PerRequest: 0.2, ExtraPerWindow: 40, Window: 10 * time.Second}

// TestRetriesInAnyWindowStayWithinLimits draws random requests and retries at several gateways. In every window the retries
// of all gateways must stay within the limits for the requests of that window or, if there were more, of the one before.
func TestRetriesInAnyWindowStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		now := time.Unix(1000, 0)
		budgets := make([]*Budget, gateways)
		for i := range budgets {
			budgets[i] = New(testLimits)
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest("s", now)
				requests = append(requests, now)
			}
			if rapid.Bool().Draw(t, "retry") && b.AllowRetry("s", gateways, now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			retryCount := countBetween(retries, end.Add(-testLimits.Window), end)
			requestCount := max(countBetween(requests, end.Add(-testLimits.Window), end), countBetween(requests, end.Add(-2*testLimits.Window), end.Add(-testLimits.Window)))
			if allowed := testLimits.PerRequest*float64(requestCount) + testLimits.ExtraPerWindow; float64(retryCount) > allowed {
				t.Fatalf("%d retries in a window, want at most %.1f", retryCount, allowed)
			}
		}
	})
}

// countBetween returns how many times are after one time and not after the other.
func countBetween(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

func TestEachServiceHasItsOwnBudget(t *testing.T) {
	b := New(Limits{ExtraPerWindow: 2, Window: time.Second})
	now := time.Unix(1000, 0)
	if !b.AllowRetry("a", 1, now) || b.AllowRetry("a", 1, now) || !b.AllowRetry("b", 1, now) {
		t.Error("service a: want one retry allowed of two; service b: want the first retry allowed")
	}
	if !b.AllowRetry("a", 1, now.Add(2*time.Second)) {
		t.Error("no retry is allowed after the window has passed")
	}
}

// TestForgetsServicesThatAreGone counts requests to one service after another. Those beyond the window must not be kept, those within it must.
func TestForgetsServicesThatAreGone(t *testing.T) {
	const seen = 1000
	now := time.Unix(1000, 0)
	b := New(testLimits)
	for i := range seen {
		b.CountRequest(fmt.Sprint("s", i), now)
		now = now.Add(testLimits.Window / 5)
	}
	if kept := len(b.services); kept < 5 || kept > 10 {
		t.Errorf("%d services are kept of %d, want those of the last window", kept, seen)
	}
}

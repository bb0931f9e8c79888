package weightstore_test

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"gypsumbank/platform"
	"gypsumbank/standin/row"
	"gypsumbank/weightstore"
)

// fakeClock is the store's clock, which moves only when a test sets it.
type fakeClock struct{ ms int64 }

func (c *fakeClock) now() int64 { return c.ms }

func newTestStore() (*row.Store, *fakeClock) {
	clock := &fakeClock{ms: 1000}
	return row.New(clock.now), clock
}

var limit = weightstore.Limit{LoadsPerSecond: 2, Burst: 3}

func TestTake(t *testing.T) {
	ctx := context.Background()
	store, clock := newTestStore()
	budget := weightstore.New(store, "llm")
	for i := range 3 {
		if err := budget.Take(ctx, limit); err != nil {
			t.Fatalf("load %d of the burst: %v", i+1, err)
		}
	}
	if err := budget.Take(ctx, limit); !errors.Is(err, weightstore.ErrExhausted) {
		t.Errorf("load beyond the burst: %v, want ErrExhausted", err)
	}
	clock.ms += 500
	if err := budget.Take(ctx, limit); err != nil {
		t.Errorf("load 500 ms after the burst, at 2 a second: %v", err)
	}
}

func TestTakeReportsConflictOfConcurrentAgents(t *testing.T) {
	ctx := context.Background()
	store, _ := newTestStore()
	other := weightstore.New(store, "llm")
	store.BeforeNextWrite(func() {
		if err := other.Take(ctx, limit); err != nil {
			t.Errorf("Take of the other agent: %v", err)
		}
	})
	if err := weightstore.New(store, "llm").Take(ctx, limit); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("Take = %v, want a conflict", err)
	}
}

// TestNoWindowHasMoreLoadsThanAllowedAfterARestore guards against loads that are forgotten, and begin once more, as the store has
// come back from a copy without them.
func TestNoWindowHasMoreLoadsThanAllowedAfterARestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, clock := newTestStore()
		store.Restore(0)
		var loadTimesMs []int64
		for range rapid.IntRange(1, 100).Draw(t, "tries") {
			clock.ms += int64(rapid.IntRange(0, 700).Draw(t, "ms"))
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				store.Restore(rapid.IntRange(0, 5).Draw(t, "lost writes"))
			}
			if weightstore.New(store, "llm").Take(context.Background(), limit) == nil {
				loadTimesMs = append(loadTimesMs, clock.ms)
			}
		}
		checkWindows(t, loadTimesMs)
	})
}

// TestLoadsGoOnAfterARestore guards against a record of a restored store that stops all loads.
func TestLoadsGoOnAfterARestore(t *testing.T) {
	store, clock := newTestStore()
	budget := weightstore.New(store, "llm")
	for range 20 {
		clock.ms += 500
		_ = budget.Take(context.Background(), limit) // takes what the budget allows
	}
	store.Restore(5)
	clock.ms -= 100_000 // the clock of the restored store runs behind
	loads := 0
	for range 20 {
		clock.ms += 500
		if budget.Take(context.Background(), limit) == nil {
			loads++
		}
	}
	if loads < 15 {
		t.Errorf("%d loads in the 10 s after a restore, want 15 or more at 2 a second", loads)
	}
}

// TestNoWindowHasMoreLoadsThanAllowed draws the times of loads of several agents, with lost answers and late writes, and counts
// the loads in every window of 5 s.
func TestNoWindowHasMoreLoadsThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, clock := newTestStore()
		var loadTimesMs []int64
		for range rapid.IntRange(1, 200).Draw(t, "tries") {
			clock.ms += int64(rapid.IntRange(0, 700).Draw(t, "ms"))
			store.SetFaults(rapid.SampledFrom([]row.Fault{row.NoFault, row.NoFault, row.NoFault, row.NoFault, row.LoseAnswer, row.LateWrite}).Draw(t, "fault"))
			if weightstore.New(store, "llm").Take(context.Background(), limit) == nil {
				loadTimesMs = append(loadTimesMs, clock.ms)
			}
		}
		checkWindows(t, loadTimesMs)
	})
}

// checkWindows fails if more loads than allowed began within any window of 5 s.
func checkWindows(t *rapid.T, loadTimesMs []int64) {
	const windowMs = 5000
	for i, windowStart := range loadTimesMs {
		loads := 0
		for _, at := range loadTimesMs[i:] {
			if at < windowStart+windowMs {
				loads++
			}
		}
		if allowed := int(limit.LoadsPerSecond*windowMs/1000 + limit.Burst); loads > allowed {
			t.Fatalf("%d loads began within a window of 5 s, %d are allowed", loads, allowed)
		}
	}
}

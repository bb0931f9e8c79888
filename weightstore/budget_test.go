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

// fakeClock is the store's clock in ms, which tests move.
type fakeClock struct{ ms int64 }

func (c *fakeClock) now() int64 { return c.ms }

func newTestStore() (*row.Store, *fakeClock) {
	clock := &fakeClock{ms: 1000}
	return row.New(clock.now), clock
}

var limit = weightstore.Limit{LoadsPerSecond: 2, Burst: 3}

func TestTake(t *testing.T) {
	ctx := context.Background()
	s, clock := newTestStore()
	b := weightstore.New(s, "llm")
	for i := range 3 {
		if err := b.Take(ctx, limit); err != nil {
			t.Fatalf("load %d of the burst: %v", i+1, err)
		}
	}
	if err := b.Take(ctx, limit); !errors.Is(err, weightstore.ErrExhausted) {
		t.Errorf("load beyond the burst: %v", err)
	}
	clock.ms += 500
	if err := b.Take(ctx, limit); err != nil {
		t.Errorf("load after half a second: %v", err)
	}
}

func TestTakeOfTwoAgentsAtOnce(t *testing.T) {
	ctx := context.Background()
	s, _ := newTestStore()
	other := weightstore.New(s, "llm")
	s.Between(func() {
		if err := other.Take(ctx, limit); err != nil {
			t.Errorf("the other agent: %v", err)
		}
	})
	if err := weightstore.New(s, "llm").Take(ctx, limit); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("Take = %v, want a conflict", err)
	}
}

// TestNoWindowHasMoreLoadsThanAllowed draws the times of loads of several agents with lost answers and late writes.
func TestNoWindowHasMoreLoadsThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const windowMs = 5000
		s, clock := newTestStore()
		var begun []int64
		for range rapid.IntRange(1, 200).Draw(t, "tries") {
			clock.ms += int64(rapid.IntRange(0, 700).Draw(t, "ms"))
			s.Break(rapid.SampledFrom([]row.Fault{row.None, row.None, row.None, row.None, row.LoseAnswer, row.Late}).Draw(t, "fault"))
			if weightstore.New(s, "llm").Take(context.Background(), limit) == nil {
				begun = append(begun, clock.ms)
			}
		}
		for i, from := range begun {
			n := 0
			for _, at := range begun[i:] {
				if at < from+windowMs {
					n++
				}
			}
			if most := int(limit.LoadsPerSecond*windowMs/1000 + limit.Burst); n > most {
				t.Fatalf("%d loads in a window, %d are allowed", n, most)
			}
		}
	})
}

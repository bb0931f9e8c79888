package weightstore

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"gypsumbank/platform"
)

// memoryStore keeps one row and may lose answers.
type memoryStore struct {
	now     int64
	row     platform.Row
	exists  bool
	between func() // runs between a read and a write, as another agent may
	lose    bool
}

func (s *memoryStore) Row(context.Context, string, string, string) (platform.Row, int64, error) {
	if !s.exists {
		return platform.Row{}, s.now, platform.ErrNotFound
	}
	return s.row, s.now, nil
}

var errLost = errors.New("answer lost")

func (s *memoryStore) Replace(_ context.Context, row platform.Row) (int64, error) {
	if s.between != nil {
		between := s.between
		s.between = nil
		between()
	}
	if row.Version != s.row.Version {
		return 0, platform.ErrConflict
	}
	s.row, s.exists = row, true
	s.row.Version++
	if s.lose {
		return 0, errLost
	}
	return s.row.Version, nil
}

var limit = Limit{PerSecond: 2, Burst: 3}

func TestTake(t *testing.T) {
	ctx := context.Background()
	s := &memoryStore{now: 1000}
	b := New(s, "llm")
	for i := range 3 {
		if err := b.Take(ctx, limit); err != nil {
			t.Fatalf("load %d of the burst: %v", i+1, err)
		}
	}
	if err := b.Take(ctx, limit); !errors.Is(err, ErrExhausted) {
		t.Errorf("load beyond the burst: %v", err)
	}
	s.now += 500
	if err := b.Take(ctx, limit); err != nil {
		t.Errorf("load after half a second: %v", err)
	}
}

func TestTakeOfTwoAgentsAtOnce(t *testing.T) {
	ctx := context.Background()
	s := &memoryStore{now: 1000}
	other := New(s, "llm")
	s.between = func() {
		if err := other.Take(ctx, limit); err != nil {
			t.Errorf("the other agent: %v", err)
		}
	}
	if err := New(s, "llm").Take(ctx, limit); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("Take = %v, want a conflict", err)
	}
}

// TestNoWindowHasMoreLoadsThanAllowed draws the times of loads of several agents with lost answers.
func TestNoWindowHasMoreLoadsThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const windowMs = 5000
		s := &memoryStore{now: 1000}
		var begun []int64
		for range rapid.IntRange(1, 200).Draw(t, "tries") {
			s.now += int64(rapid.IntRange(0, 700).Draw(t, "ms"))
			s.lose = rapid.IntRange(0, 9).Draw(t, "lose") == 0
			if New(s, "llm").Take(context.Background(), limit) == nil {
				begun = append(begun, s.now)
			}
		}
		for i, from := range begun {
			n := 0
			for _, at := range begun[i:] {
				if at < from+windowMs {
					n++
				}
			}
			if most := int(limit.PerSecond*windowMs/1000 + limit.Burst); n > most {
				t.Fatalf("%d loads in a window, %d are allowed", n, most)
			}
		}
	})
}

package holder

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/platform"
)

// memoryStore keeps one row; the next writes fail by turns.
type memoryStore struct {
	row    platform.Row
	exists bool
	faults []fault
}

type fault int

const (
	refused fault = iota // nothing is written
	lost                 // written, the answer is lost
)

var errStore = errors.New("store away")

func (s *memoryStore) Row(context.Context, string, string, string) (platform.Row, int64, error) {
	if !s.exists {
		return platform.Row{}, 0, platform.ErrNotFound
	}
	return s.row, 0, nil
}

func (s *memoryStore) Replace(_ context.Context, row platform.Row) (int64, error) {
	if row.Version != s.row.Version {
		return 0, platform.ErrConflict
	}
	var now fault = -1
	if len(s.faults) > 0 {
		now, s.faults = s.faults[0], s.faults[1:]
	}
	if now == refused {
		return 0, errStore
	}
	s.row, s.exists = row, true
	s.row.Version++
	if now == lost {
		return 0, errStore
	}
	return s.row.Version, nil
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("test", "holder")
}

func TestAcquire(t *testing.T) {
	tests := map[string]struct {
		faults []fault
		want   []int64 // numbers of two starts
	}{
		"calm":           {nil, []int64{1, 2}},
		"store away":     {[]fault{refused, refused}, []int64{1, 2}},
		"answer is lost": {[]fault{lost, lost}, []int64{1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &memoryStore{faults: test.faults}
			for i, want := range test.want {
				got, err := New(s, "10.0.0.1:80", "agent-1", int64(i+1), quiet()).Acquire(context.Background())
				if err != nil || got != want {
					t.Errorf("start %d: %d, %v, want %d", i+1, got, err, want)
				}
			}
		})
	}
}

func TestAnotherMachineTakesOverLater(t *testing.T) {
	s := &memoryStore{}
	if _, err := New(s, "10.0.0.1:80", "agent-1", 1, quiet()).Acquire(context.Background()); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	fence, err := New(s, "10.0.0.1:80", "agent-2", 1, quiet()).Acquire(context.Background())
	if err != nil || fence != 2 {
		t.Fatalf("%d, %v", fence, err)
	}
	if waited := time.Since(begun); waited < 3*time.Second {
		t.Errorf("took over after %s, within the lease of the earlier holder", waited)
	}
}

package holder_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"gypsumbank/holder"
	"gypsumbank/standin/row"
)

// lease is the platform's lease time, for which an earlier holder on another machine may still give orders.
const lease = 3 * time.Second

func newStore() *row.Store { return row.New(func() int64 { return time.Now().UnixMilli() }) }

func start(store *row.Store, machine string, run int64) *holder.Holder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return holder.New(store, "10.0.0.1:80", machine, run, log.WithField("test", "holder"))
}

// acquire returns the fencing number of a start.
func acquire(t *testing.T, h *holder.Holder) int64 {
	t.Helper()
	fence, err := h.Acquire(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return fence
}

func TestAcquire(t *testing.T) {
	tests := map[string]struct {
		faults []row.Fault
		want   []int64 // numbers of two starts
	}{
		"calm":           {nil, []int64{1, 2}},
		"store away":     {[]row.Fault{row.Refuse, row.Refuse}, []int64{1, 2}},
		"answer is lost": {[]row.Fault{row.LoseAnswer, row.LoseAnswer}, []int64{1, 2}},
		"write is late":  {[]row.Fault{row.Late}, []int64{1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				store.Break(test.faults...)
				for i, want := range test.want {
					if got := acquire(t, start(store, "agent-1", int64(i+1))); got != want {
						t.Errorf("start %d: %d, want %d", i+1, got, want)
					}
				}
			})
		})
	}
}

// TestAnotherMachineTakesOverLater has a second machine take the orders of a target over; it gives none within the lease.
func TestAnotherMachineTakesOverLater(t *testing.T) {
	tests := map[string]struct {
		faults   []row.Fault
		restarts bool // the second machine's process ends within the takeover and starts again
	}{
		"calm":                        {},
		"answer is lost":              {faults: []row.Fault{row.LoseAnswer}},
		"write is late":               {faults: []row.Fault{row.Late}},
		"process restarts":            {restarts: true},
		"answer is lost and restarts": {faults: []row.Fault{row.LoseAnswer}, restarts: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				acquire(t, start(store, "agent-1", 1))
				begun := time.Now()
				store.Break(test.faults...)
				if test.restarts {
					ctx, stop := context.WithTimeout(context.Background(), time.Second)
					if fence, err := start(store, "agent-2", 1).Acquire(ctx); err == nil {
						t.Errorf("number %d within a second", fence)
					}
					stop()
				}
				if fence := acquire(t, start(store, "agent-2", 2)); fence < 2 {
					t.Errorf("number %d after 1", fence)
				}
				if waited := time.Since(begun); waited <= lease {
					t.Errorf("took over after %s, within the lease of the earlier holder", waited)
				}
			})
		})
	}
}

// attempt is a start of an agent on a machine that ends after a time.
type attempt struct {
	machine string
	faults  []row.Fault
	length  time.Duration
}

// TestNumbersRiseAndTakeoversWait draws starts on two machines and faults of the store.
func TestNumbersRiseAndTakeoversWait(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		attempts := make([]attempt, rapid.IntRange(1, 12).Draw(r, "starts"))
		for i := range attempts {
			attempts[i] = attempt{
				machine: fmt.Sprint("agent-", rapid.IntRange(1, 2).Draw(r, "machine")),
				faults:  rapid.SliceOfN(rapid.SampledFrom([]row.Fault{row.None, row.Refuse, row.LoseAnswer, row.Late}), 0, 3).Draw(r, "faults"),
				length:  time.Duration(rapid.IntRange(100, 9000).Draw(r, "ms")) * time.Millisecond,
			}
		}
		problem := ""
		synctest.Test(t, func(*testing.T) { problem = play(attempts) })
		if problem != "" {
			r.Fatal(problem)
		}
	})
}

// play runs the attempts one after the other and returns what was wrong.
func play(attempts []attempt) string {
	store := newStore()
	highest, orders := int64(0), map[string]time.Time{} // when each machine last could give orders
	for run, a := range attempts {
		begun := time.Now()
		fence, ok := a.run(store, int64(run+1))
		if !ok {
			continue
		}
		if fence <= highest {
			return fmt.Sprintf("number %d after %d", fence, highest)
		}
		for other, last := range orders {
			if since := time.Since(last); other != a.machine && since <= lease {
				return fmt.Sprintf("%s gives orders %s after %s", a.machine, since, other)
			}
		}
		time.Sleep(time.Until(begun.Add(a.length)))
		highest, orders[a.machine] = fence, time.Now()
	}
	return ""
}

// run returns the fencing number of the attempt, if it gets one.
func (a attempt) run(store *row.Store, run int64) (int64, bool) {
	store.Break(a.faults...)
	ctx, stop := context.WithTimeout(context.Background(), a.length)
	defer stop()
	fence, err := start(store, a.machine, run).Acquire(ctx)
	return fence, err == nil
}

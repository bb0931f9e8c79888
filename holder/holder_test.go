package holder_test

import (
	"context"
	"errors"
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

// platformLease is the platform's lease time, during which an earlier holder on another machine may still send orders.
const platformLease = 3 * time.Second

func newStore() *row.Store { return row.New(func() int64 { return time.Now().UnixMilli() }) }

// newHolder returns a holder for a new start of the agent on a machine.
func newHolder(store *row.Store, machine string, runID int64) *holder.Holder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	hasOrdered := func(context.Context) bool { return runID > 1 }
	return holder.New(store, "10.0.0.1:80", machine, runID, hasOrdered, log.WithField("test", "holder"))
}

// acquire returns the fencing token that a holder acquires.
func acquire(t *testing.T, h *holder.Holder) int64 {
	t.Helper()
	token, err := h.Acquire(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return token
}

func TestAcquire(t *testing.T) {
	tests := map[string]struct {
		faults     []row.Fault
		wantTokens []int64 // tokens of two starts in a row
	}{
		"no fault":       {nil, []int64{1, 2}},
		"writes refused": {[]row.Fault{row.RefuseWrite, row.RefuseWrite}, []int64{1, 2}},
		"answers lost":   {[]row.Fault{row.LoseAnswer, row.LoseAnswer}, []int64{1, 2}},
		"write late":     {[]row.Fault{row.LateWrite}, []int64{1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				store.SetFaults(test.faults...)
				for i, want := range test.wantTokens {
					if got := acquire(t, newHolder(store, "agent-1", int64(i+1))); got != want {
						t.Errorf("start %d: fencing token %d, want %d", i+1, got, want)
					}
				}
			})
		})
	}
}

// TestAnotherMachineTakesOverLater checks that a second machine that takes over a target gets its fencing token only after the
// lease of the first one, also if the write's answer is lost or its process restarts meanwhile.
func TestAnotherMachineTakesOverLater(t *testing.T) {
	tests := map[string]struct {
		faults   []row.Fault
		restarts bool // the second machine's process restarts during the takeover delay
	}{
		"no fault":                {},
		"answer lost":             {faults: []row.Fault{row.LoseAnswer}},
		"write late":              {faults: []row.Fault{row.LateWrite}},
		"process restarts":        {restarts: true},
		"answer lost and restart": {faults: []row.Fault{row.LoseAnswer}, restarts: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				acquire(t, newHolder(store, "agent-1", 1))
				started := time.Now()
				store.SetFaults(test.faults...)
				if test.restarts {
					ctx, stop := context.WithTimeout(context.Background(), time.Second)
					if token, err := newHolder(store, "agent-2", 1).Acquire(ctx); err == nil {
						t.Errorf("fencing token %d within a second of the takeover, want none", token)
					}
					stop()
				}
				if token := acquire(t, newHolder(store, "agent-2", 2)); token < 2 {
					t.Errorf("fencing token %d after 1, want a higher one", token)
				}
				if waited := time.Since(started); waited <= platformLease {
					t.Errorf("token acquired %s after the takeover began, within the lease of the earlier holder", waited)
				}
			})
		})
	}
}

// agentStart is a start of an agent on a machine; the agent's process ends after lifetime.
type agentStart struct {
	machine  string
	faults   []row.Fault
	lifetime time.Duration
	restore  int // number of writes that the store has lost when the agent starts; 0 if it has not been restored
}

// TestNumbersRiseAcrossRestores guards against fencing tokens that are given out a second time, or to another machine within the
// lease, as the store has come back from a copy without the last ones. No process of before the restore writes its row again.
func TestNumbersRiseAcrossRestores(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		starts := make([]agentStart, rapid.IntRange(2, 8).Draw(r, "starts"))
		for i := range starts {
			starts[i] = agentStart{
				machine:  fmt.Sprint("agent-", rapid.IntRange(1, 2).Draw(r, "machine")),
				lifetime: time.Duration(rapid.IntRange(100, 9000).Draw(r, "ms")) * time.Millisecond,
				restore:  rapid.IntRange(0, 3).Draw(r, "restore"),
			}
		}
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = runStarts(starts) })
		if violation != "" {
			r.Fatal(violation)
		}
	})
}

// TestNumbersRiseAndTakeoversWait draws starts on two machines and faults of the store's writes, and checks that fencing tokens
// rise and that no machine gets one within the lease of the other.
func TestNumbersRiseAndTakeoversWait(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		starts := make([]agentStart, rapid.IntRange(1, 12).Draw(r, "starts"))
		for i := range starts {
			starts[i] = agentStart{
				machine:  fmt.Sprint("agent-", rapid.IntRange(1, 2).Draw(r, "machine")),
				faults:   rapid.SliceOfN(rapid.SampledFrom([]row.Fault{row.NoFault, row.RefuseWrite, row.LoseAnswer, row.LateWrite}), 0, 3).Draw(r, "faults"),
				lifetime: time.Duration(rapid.IntRange(100, 9000).Draw(r, "ms")) * time.Millisecond,
			}
		}
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = runStarts(starts) })
		if violation != "" {
			r.Fatal(violation)
		}
	})
}

// runStarts performs the starts one after the other and describes the first violation, or returns an empty string.
func runStarts(starts []agentStart) string {
	store := newStore()
	highestToken, lastOrderAt := int64(0), map[string]time.Time{} // lastOrderAt is when each machine could last send orders
	for index, start := range starts {
		if start.restore > 0 {
			store.Restore(start.restore)
		}
		startedAt := time.Now()
		token, ok := start.acquire(store, int64(index+1))
		if !ok {
			continue
		}
		if token <= highestToken {
			return fmt.Sprintf("fencing token %d after %d", token, highestToken)
		}
		for other, last := range lastOrderAt {
			if since := time.Since(last); other != start.machine && since <= platformLease {
				return fmt.Sprintf("%s may send orders %s after %s could", start.machine, since, other)
			}
		}
		time.Sleep(time.Until(startedAt.Add(start.lifetime)))
		highestToken, lastOrderAt[start.machine] = token, time.Now()
	}
	return ""
}

// acquire returns the fencing token of the start, if it gets one within its lifetime.
func (s agentStart) acquire(store *row.Store, runID int64) (int64, bool) {
	store.SetFaults(s.faults...)
	ctx, stop := context.WithTimeout(context.Background(), s.lifetime)
	defer stop()
	token, err := newHolder(store, s.machine, runID).Acquire(ctx)
	return token, err == nil
}

// TestTokenIsRecordedAgainAfterARestore guards against a process that goes on to order with a token that the store has lost: the
// next start must get a higher one, and of two processes that meet the later start must win.
func TestTokenIsRecordedAgainAfterARestore(t *testing.T) {
	tests := map[string]struct {
		restore     int  // number of writes that are lost
		startsFirst bool // another machine acquires before the running process confirms
		wantErr     error
	}{
		"row lost":                  {restore: 1},
		"nothing lost":              {restore: 0},
		"replaced in the meanwhile": {restore: 1, startsFirst: true, wantErr: holder.ErrReplaced},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				running := newHolder(store, "agent-1", 1)
				token := acquire(t, running)
				store.Restore(test.restore)
				if test.startsFirst {
					acquire(t, newHolder(store, "agent-2", 2))
				}
				if err := running.Confirm(t.Context(), token); !errors.Is(err, test.wantErr) {
					t.Fatalf("Confirm: %v, want %v", err, test.wantErr)
				}
				started := time.Now()
				if next := acquire(t, newHolder(store, "agent-1", 3)); next <= token {
					t.Errorf("fencing token %d after %d", next, token)
				}
				if waited := time.Since(started); !test.startsFirst && waited > time.Second {
					t.Errorf("a restart on the same machine waited %s", waited)
				}
			})
		})
	}
}

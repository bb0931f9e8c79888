package hedge_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/hedge"
)

// answerAfter returns a read that is answered with a value after a time.
func answerAfter(value int, took time.Duration) func(context.Context) (int, error) {
	return func(ctx context.Context) (int, error) {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(took):
			return value, nil
		}
	}
}

const (
	timeout = 500 * time.Millisecond
	maxTime = 5 * time.Second
)

// TestLateAnswersCount guards against a reader that gets no answer for as long as each takes longer than a read is given.
func TestLateAnswersCount(t *testing.T) {
	const wait = 300 * time.Millisecond // between reads that are late
	for name, took := range map[string]time.Duration{"in time": 100 * time.Millisecond, "a little late": 600 * time.Millisecond, "late": 1200 * time.Millisecond, "after several others have begun": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reads := hedge.New[int](5, maxTime)
				defer reads.Close()
				began := time.Now()
				for n := 1; ; n++ {
					answer, err := reads.Read(t.Context(), timeout, answerAfter(n, took))
					if err == nil {
						if answer.Value != 1 || answer.Took != took || time.Since(began) != took {
							t.Errorf("answer %d that took %s after %s, want the first one after %s", answer.Value, answer.Took, time.Since(began), took)
						}
						return
					}
					if !errors.Is(err, hedge.ErrLate) || time.Since(began) > took {
						t.Fatalf("read ends after %s: %v", time.Since(began), err)
					}
					if err := reads.Wait(t.Context(), wait); err != nil {
						t.Fatal(err)
					}
				}
			})
		})
	}
}

// TestLostReadsArePassedOver guards against a reader that waits for reads whose connections are dead, while a later one is answered, and against one that reads no
// more as the highest number of reads is lost.
func TestLostReadsArePassedOver(t *testing.T) {
	for name, lost := range map[string]int{"one": 1, "fewer than the highest number": 2, "the highest number": 3, "more": 9} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reads := hedge.New[int](3, maxTime)
				defer reads.Close()
				for range lost {
					if _, err := reads.Read(t.Context(), timeout, answerAfter(0, time.Hour)); !errors.Is(err, hedge.ErrLate) {
						t.Fatalf("lost read: %v", err)
					}
					_ = reads.Wait(t.Context(), timeout)
				}
				for began := time.Now(); ; _ = reads.Wait(t.Context(), timeout) {
					answer, err := reads.Read(t.Context(), timeout, answerAfter(5, time.Millisecond))
					if err == nil && answer.Value == 5 {
						break
					}
					if since := time.Since(began); since > maxTime {
						t.Fatalf("no answer after %s: %v", since, err)
					}
				}
				if n := reads.InProgress(); n != 0 {
					t.Errorf("%d reads that began before the answered one are in progress", n)
				}
			})
		})
	}
}

// TestAnswersAreNeverOlderThanTheLast guards against a reader that takes an answer for news that is older than what it has, and against more reads at the same time
// than are allowed, on ways of any length that lose reads and refuse some.
func TestAnswersAreNeverOlderThanTheLast(t *testing.T) {
	errRefused := errors.New("refused")
	rapid.Check(t, func(rt *rapid.T) {
		maxInProgress := rapid.IntRange(1, 5).Draw(rt, "max")
		steps := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 30).Draw(rt, "milliseconds until the answers")
		kinds := rapid.SliceOfN(rapid.IntRange(0, 9), len(steps), len(steps)).Draw(rt, "kinds")
		synctest.Test(t, func(t *testing.T) {
			reads := hedge.New[time.Time](maxInProgress, maxTime)
			defer reads.Close()
			var running atomic.Int64
			last := time.Time{}
			for i, ms := range steps {
				answer, err := reads.Read(t.Context(), timeout, func(ctx context.Context) (time.Time, error) {
					began := time.Now()
					running.Add(1)
					defer running.Add(-1)
					took := time.Duration(ms) * time.Millisecond
					if kinds[i] == 0 {
						took = time.Hour
					}
					if _, err := answerAfter(0, took)(ctx); err != nil {
						return time.Time{}, err
					}
					if kinds[i] == 1 {
						return time.Time{}, errRefused
					}
					return began, nil
				})
				switch {
				case err == nil && (!answer.Value.Equal(answer.Began) || answer.Began.Before(last)):
					t.Errorf("answer of a read that began %s before the last one", last.Sub(answer.Began))
				case err == nil:
					last = answer.Began
				case !errors.Is(err, hedge.ErrLate) && !errors.Is(err, errRefused):
					t.Errorf("read: %v", err)
				}
				synctest.Wait()
				if n := reads.InProgress(); n > maxInProgress || int(running.Load()) > maxInProgress {
					t.Errorf("%d reads known and %d made at the same time, %d allowed", n, running.Load(), maxInProgress)
				}
			}
		})
	})
}

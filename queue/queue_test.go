package queue_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/queue"
)

func preempted(slot *queue.Slot) bool {
	select {
	case <-slot.Preempted:
		return true
	default:
		return false
	}
}

// wait returns the slot of a request that is put into the queue now and reports on granted when it has it.
func wait(q *queue.Queue, ticket queue.Request, granted chan<- *queue.Slot) {
	before := q.Waiting() + q.Running()
	go func() {
		if slot, err := q.Acquire(context.Background(), ticket); err == nil {
			granted <- slot
		}
	}()
	for q.Waiting()+q.Running() == before {
		time.Sleep(time.Millisecond)
	}
}

// TestSlotsAreNeverExceeded starts, preempts, cancels and ends requests of several members and checks the number of runs
// and that an exclusive one is alone; in the end every request has run or was refused.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := queue.New(queue.Config{Slots: slots, MaxWaiting: 8, Policy: queue.LeastAttainedService})
		q.SetShares(map[string]int64{"a": 3, "b": 1})
		var mu sync.Mutex
		running, exclusive := 0, 0
		var ended sync.WaitGroup
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			ticket := queue.Request{
				Member:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"),
				Priority:  rapid.IntRange(0, 9).Draw(t, "priority"),
				Exclusive: rapid.IntRange(0, 5).Draw(t, "exclusive") == 0,
			}
			limit := time.Duration(rapid.IntRange(1, 20).Draw(t, "patience ms")) * time.Millisecond
			service := time.Duration(rapid.IntRange(0, 500).Draw(t, "service µs")) * time.Microsecond
			ended.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				slot, err := q.Acquire(ctx, ticket)
				if err != nil {
					if !errors.Is(err, queue.ErrFull) && !errors.Is(err, context.DeadlineExceeded) {
						t.Errorf("request %d: %v", i, err)
					}
					return
				}
				mu.Lock()
				running++
				if ticket.Exclusive {
					exclusive++
				}
				if running > slots || (exclusive > 0 && running > 1) {
					t.Errorf("%d runs in %d slots, %d of them exclusive", running, slots, exclusive)
				}
				mu.Unlock()
				time.Sleep(service)
				slot.Charge(10)
				mu.Lock()
				running--
				if ticket.Exclusive {
					exclusive--
				}
				mu.Unlock()
				slot.Release(true)
			})
		}
		ended.Wait()
		if q.Running() != 0 || q.Waiting() != 0 {
			t.Fatalf("%d run and %d wait in the end", q.Running(), q.Waiting())
		}
	})
}

func TestLongRunsGiveWayToNewcomers(t *testing.T) {
	tests := map[string]struct {
		policy   queue.Policy
		attained int
		yields   bool
	}{
		"a run with much service":      {queue.LeastAttainedService, 1000, true},
		"a run with as little service": {queue.LeastAttainedService, 10, false},
		"first come, first served":     {queue.FirstCome, 1000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := queue.New(queue.Config{Slots: 1, MaxWaiting: 8, Policy: test.policy})
			long, err := q.Acquire(t.Context(), queue.Request{Member: "a"})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(150 * time.Millisecond)
			granted := make(chan *queue.Slot, 1)
			wait(q, queue.Request{Member: "a"}, granted)
			long.Charge(test.attained)
			if preempted(long) != test.yields {
				t.Fatalf("preempted: %v", preempted(long))
			}
			long.Release(!test.yields)
			(<-granted).Release(true)
		})
	}
}

// TestNoRequestStarves keeps a queue full of newcomers; one that has had much service goes on all the same.
func TestNoRequestStarves(t *testing.T) {
	q := queue.New(queue.Config{Slots: 1, MaxWaiting: 100, Policy: queue.LeastAttainedService})
	holder, err := q.Acquire(t.Context(), queue.Request{Member: "a"})
	if err != nil {
		t.Fatal(err)
	}
	old := make(chan *queue.Slot, 1)
	wait(q, queue.Request{Member: "a", AttainedTokens: 100}, old)
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		fresh := make(chan *queue.Slot, 1)
		wait(q, queue.Request{Member: "a"}, fresh)
		holder.Release(true)
		select {
		case slot := <-old:
			slot.Release(true)
			(<-fresh).Release(true)
			return
		case holder = <-fresh:
			time.Sleep(50 * time.Millisecond)
		}
	}
	t.Error("a request with much service never went on")
}

func TestSharesComeBackToTheirOwner(t *testing.T) {
	q := queue.New(queue.Config{Slots: 4, MaxWaiting: 8, Policy: queue.LeastAttainedService})
	q.SetShares(map[string]int64{"large": 1, "small": 1})
	var lent []*queue.Slot
	for range 4 {
		slot, err := q.Acquire(t.Context(), queue.Request{Member: "large"})
		if err != nil {
			t.Fatal(err)
		}
		lent = append(lent, slot)
	}
	time.Sleep(150 * time.Millisecond)
	granted := make(chan *queue.Slot, 4)
	for range 4 {
		wait(q, queue.Request{Member: "small"}, granted)
	}
	taken := 0
	for range 10 {
		for i, slot := range lent {
			if slot != nil && preempted(slot) {
				lent[i] = nil
				taken++
				slot.Release(false)
				break
			}
		}
		for _, slot := range lent {
			if slot != nil {
				slot.Charge(1)
			}
		}
	}
	if taken != 2 {
		t.Errorf("the owner of half of the slots got %d of 4 back", taken)
	}
}

func TestFullQueueRefusesThoseBeyondTheirShare(t *testing.T) {
	q := queue.New(queue.Config{Slots: 1, MaxWaiting: 4, Policy: queue.LeastAttainedService})
	q.SetShares(map[string]int64{"large": 1, "small": 1})
	if _, err := q.Acquire(t.Context(), queue.Request{Member: "large"}); err != nil {
		t.Fatal(err)
	}
	refused := make(chan error, 8)
	for i := range 4 {
		go func() {
			_, err := q.Acquire(t.Context(), queue.Request{Member: "large"})
			refused <- fmt.Errorf("large %d: %w", i, err)
		}()
	}
	for q.Waiting() < 4 {
		time.Sleep(time.Millisecond)
	}
	if _, err := q.Acquire(t.Context(), queue.Request{Member: "large"}); !errors.Is(err, queue.ErrFull) {
		t.Errorf("one more of the large member: %v", err)
	}
	for range 2 {
		go func() { _, _ = q.Acquire(t.Context(), queue.Request{Member: "small"}) }()
	}
	for range 2 {
		if err := <-refused; !errors.Is(err, queue.ErrFull) {
			t.Error(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := q.Acquire(ctx, queue.Request{Member: "small"}); !errors.Is(err, queue.ErrFull) {
		t.Errorf("one more than the small member's part of the queue: %v", err)
	}
	q.Close()
}

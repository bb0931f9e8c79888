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

func isPreempted(slot *queue.Slot) bool {
	select {
	case <-slot.Preempted:
		return true
	default:
		return false
	}
}

// enqueue starts an Acquire, returns once the request waits or runs, and sends the slot to granted when it has one.
func enqueue(q *queue.Queue, request queue.Request, granted chan<- *queue.Slot) {
	before := q.Waiting() + q.Running()
	go func() {
		if slot, err := q.Acquire(context.Background(), request); err == nil {
			granted <- slot
		}
	}()
	for q.Waiting()+q.Running() == before {
		time.Sleep(time.Millisecond)
	}
}

// TestSlotsAreNeverExceeded starts, cancels and ends random requests of several members. It guards against more runs
// than slots, against a run beside an exclusive one, and against requests that neither get a slot nor are refused.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := queue.New(queue.Config{Slots: slots, MaxWaiting: 8, Policy: queue.LeastAttainedService})
		q.SetShares(map[string]int64{"a": 3, "b": 1})
		var mu sync.Mutex
		running, exclusive := 0, 0
		var ended sync.WaitGroup
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			request := queue.Request{
				Member:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"),
				Priority:  rapid.IntRange(0, 9).Draw(t, "priority"),
				Exclusive: rapid.IntRange(0, 5).Draw(t, "exclusive") == 0,
			}
			timeout := time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout ms")) * time.Millisecond
			serviceTime := time.Duration(rapid.IntRange(0, 500).Draw(t, "service time µs")) * time.Microsecond
			ended.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				slot, err := q.Acquire(ctx, request)
				if err != nil {
					if !errors.Is(err, queue.ErrFull) && !errors.Is(err, context.DeadlineExceeded) {
						t.Errorf("request %d: unexpected error %v", i, err)
					}
					return
				}
				mu.Lock()
				running++
				if request.Exclusive {
					exclusive++
				}
				if running > slots || (exclusive > 0 && running > 1) {
					t.Errorf("%d requests run in %d slots, %d of them exclusive", running, slots, exclusive)
				}
				mu.Unlock()
				time.Sleep(serviceTime)
				slot.Charge(10)
				mu.Lock()
				running--
				if request.Exclusive {
					exclusive--
				}
				mu.Unlock()
				slot.Release(true)
			})
		}
		ended.Wait()
		if q.Running() != 0 || q.Waiting() != 0 {
			t.Fatalf("%d requests run and %d wait after all have ended", q.Running(), q.Waiting())
		}
	})
}

func TestPreemptsRunWithMoreService(t *testing.T) {
	tests := map[string]struct {
		policy        queue.Policy
		attained      int
		wantPreempted bool
	}{
		"run at a higher level of service":           {queue.LeastAttainedService, 1000, true},
		"run at the same level of service":           {queue.LeastAttainedService, 10, false},
		"higher level under first come first served": {queue.FirstCome, 1000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := queue.New(queue.Config{Slots: 1, MaxWaiting: 8, Policy: test.policy})
			running, err := q.Acquire(t.Context(), queue.Request{Member: "a"})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(150 * time.Millisecond)
			granted := make(chan *queue.Slot, 1)
			enqueue(q, queue.Request{Member: "a"}, granted)
			running.Charge(test.attained)
			if isPreempted(running) != test.wantPreempted {
				t.Fatalf("run is preempted: %v", isPreempted(running))
			}
			running.Release(!test.wantPreempted)
			(<-granted).Release(true)
		})
	}
}

// TestNoRequestStarves adds a new request whenever one ends. A request that has had many tokens has a higher level than
// all of them, and gets a slot only because its waiting time offsets the level.
func TestNoRequestStarves(t *testing.T) {
	q := queue.New(queue.Config{Slots: 1, MaxWaiting: 100, Policy: queue.LeastAttainedService})
	holder, err := q.Acquire(t.Context(), queue.Request{Member: "a"})
	if err != nil {
		t.Fatal(err)
	}
	earlier := make(chan *queue.Slot, 1)
	enqueue(q, queue.Request{Member: "a", AttainedTokens: 100}, earlier)
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		later := make(chan *queue.Slot, 1)
		enqueue(q, queue.Request{Member: "a"}, later)
		holder.Release(true)
		select {
		case slot := <-earlier:
			slot.Release(true)
			(<-later).Release(true)
			return
		case holder = <-later:
			time.Sleep(50 * time.Millisecond)
		}
	}
	t.Error("a request with 100 tokens of service got no slot within 20 s")
}

func TestPreemptionRestoresShares(t *testing.T) {
	q := queue.New(queue.Config{Slots: 4, MaxWaiting: 8, Policy: queue.LeastAttainedService})
	q.SetShares(map[string]int64{"large": 1, "small": 1})
	var largeSlots []*queue.Slot
	for range 4 {
		slot, err := q.Acquire(t.Context(), queue.Request{Member: "large"})
		if err != nil {
			t.Fatal(err)
		}
		largeSlots = append(largeSlots, slot)
	}
	time.Sleep(150 * time.Millisecond)
	granted := make(chan *queue.Slot, 4)
	for range 4 {
		enqueue(q, queue.Request{Member: "small"}, granted)
	}
	preemptedSlots := 0
	for range 10 {
		for i, slot := range largeSlots {
			if slot != nil && isPreempted(slot) {
				largeSlots[i] = nil
				preemptedSlots++
				slot.Release(false)
				break
			}
		}
		for _, slot := range largeSlots {
			if slot != nil {
				slot.Charge(1)
			}
		}
	}
	if preemptedSlots != 2 {
		t.Errorf("%d of 4 slots were preempted for a member with half of the shares, want 2", preemptedSlots)
	}
}

func TestFullQueueRefusesMembersOverTheirShare(t *testing.T) {
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
		t.Errorf("further request of a member that fills the queue: got error %v, want ErrFull", err)
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
		t.Errorf("request beyond the small member's share of the queue: got error %v, want ErrFull", err)
	}
	q.Close()
}

package queue

import (
	"context"
	"errors"
	"sync"
	"time"
)

var (
	// ErrFull reports that too many requests wait, that the wait would be too long, or that a waiting request was refused
	// in favor of a member below its share.
	ErrFull = errors.New("queue is full")
	// ErrClosed reports that the queue was closed before the request got a slot.
	ErrClosed = errors.New("queue is closed")
)

// Policy names the order in which waiting requests get slots.
type Policy string

const (
	// LeastAttainedService grants slots by the members' shares, then to the requests with the least attained service.
	LeastAttainedService Policy = "attained"
	// FirstCome grants slots in order of arrival. It is a baseline for comparisons.
	FirstCome Policy = "first-come"
)

const (
	firstLevelTokens  = 64                     // tokens that end the lowest level of service; doubles per level
	waitPerLevel      = 2 * time.Second        // waiting time that offsets one level, against starvation
	minSlotTime       = 100 * time.Millisecond // time before a run may be preempted
	levelsPerPriority = 0.25                   // levels that one step of a plan's priority offsets
	completionWindow  = 2 * time.Second        // time over which the rate of completions is measured
)

// Config holds the settings of a queue.
type Config struct {
	Slots            int
	MaxWaiting       int           // largest number of waiting requests
	MaxEstimatedWait time.Duration // estimated waiting time above which new requests are refused; 0 for no bound
	Policy           Policy
}

// Request holds the properties of a request that decide when it gets a slot.
type Request struct {
	Member         string
	Priority       int
	Exclusive      bool // runs while no other request does, so that a crash can be attributed to it
	AttainedTokens int  // tokens generated for the request so far; a request with some is never refused as ErrFull
}

// Slot is granted to a request for a run and held until Release.
type Slot struct {
	Preempted chan struct{} // closed when the run should stop and release the slot

	queue               *Queue
	request             Request
	grantedAt           time.Time
	preemptionRequested bool
}

// waiter is a waiting request; one of its channels gets the outcome.
type waiter struct {
	request    Request
	enqueuedAt time.Time
	granted    chan *Slot
	refused    chan error
}

// Queue grants a bounded number of slots to requests.
type Queue struct {
	config Config

	mu               sync.Mutex
	running          map[*Slot]struct{}
	waiting          []*waiter
	attainedPerShare map[string]float64 // tokens generated for each member, divided by its share
	shares           map[string]int64
	completedAt      []time.Time // oldest first
	closed           bool
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:           config,
		running:          map[*Slot]struct{}{},
		attainedPerShare: map[string]float64{},
		shares:           map[string]int64{},
	}
}

// SetShares replaces the shares of the members; a member without one has share 1.
func (q *Queue) SetShares(shares map[string]int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares = shares
}

// Acquire waits for a slot. The error is ErrFull, ErrClosed or that of ctx.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Slot, error) {
	w := &waiter{request: request, enqueuedAt: time.Now(), granted: make(chan *Slot, 1), refused: make(chan error, 1)}
	if err := q.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case slot := <-w.granted:
		return slot, nil
	case err := <-w.refused:
		return nil, err
	case <-ctx.Done():
		q.cancelWait(w)
		return nil, ctx.Err()
	}
}

// Charge counts tokens that a run has generated and preempts a run if that is now due.
func (s *Slot) Charge(tokens int) {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s.request.AttainedTokens += tokens
	q.attainedPerShare[s.request.Member] += float64(tokens) / float64(q.shareOf(s.request.Member))
	q.preempt()
}

// Release frees the slot; finished is true if the request needs no further run.
func (s *Slot) Release(finished bool) {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.running, s)
	if finished {
		q.completedAt = append(q.completedAt, time.Now())
	}
	q.grantSlots()
}

// Close refuses new and waiting requests with ErrClosed; runs continue.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.waiting {
		w.refused <- ErrClosed
	}
	q.waiting = nil
}

// Running returns the number of slots held by runs.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.running)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// enqueue adds a request to the queue. If the queue is full, a request without service needs evictOverShare to make
// room, while one with service is always added, since it comes back after a preemption or from another target.
func (q *Queue) enqueue(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	if q.isFull() && w.request.AttainedTokens == 0 && !q.evictOverShare(w) {
		return ErrFull
	}
	q.raiseIdleMember(w.request.Member)
	q.waiting = append(q.waiting, w)
	q.grantSlots()
	q.preempt()
	return nil
}

// cancelWait removes a request whose caller no longer waits and frees the slot if one was granted meanwhile.
func (q *Queue) cancelWait(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.removeWaiter(w) {
		return
	}
	select {
	case slot := <-w.granted:
		delete(q.running, slot)
		q.grantSlots()
	default:
	}
}

// removeWaiter removes a request from the waiting ones and reports whether it was among them.
func (q *Queue) removeWaiter(w *waiter) bool {
	for i, candidate := range q.waiting {
		if candidate == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// grantSlots grants free slots in order of precedence. An exclusive request that is next holds all others back until no
// request runs.
func (q *Queue) grantSlots() {
	for len(q.waiting) > 0 && len(q.running) < q.config.Slots && !q.exclusiveRunning() {
		w := q.nextWaiter()
		if w.request.Exclusive && len(q.running) > 0 {
			return
		}
		q.removeWaiter(w)
		slot := &Slot{Preempted: make(chan struct{}), queue: q, request: w.request, grantedAt: time.Now()}
		q.running[slot] = struct{}{}
		w.granted <- slot
	}
}

// exclusiveRunning reports whether the running request is an exclusive one, which runs alone.
func (q *Queue) exclusiveRunning() bool {
	for slot := range q.running {
		return slot.request.Exclusive
	}
	return false
}

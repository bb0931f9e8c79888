package queue

import (
	"context"
	"errors"
	"sync"
	"time"
)

var (
	// ErrFull reports that a request would wait for longer than allowed.
	ErrFull = errors.New("queue is full")
	// ErrClosed reports that the target takes no new work.
	ErrClosed = errors.New("queue is closed")
)

// Policy names the order in which waiting requests get slots.
type Policy string

const (
	// LeastAttainedService gives slots by the members' shares, then to requests that have had the least service.
	LeastAttainedService Policy = "attained"
	// FirstCome gives slots in order of arrival; it serves as a baseline.
	FirstCome Policy = "first-come"
)

const (
	levelTokens   = 64                     // tokens of service in the lowest level; each further level has twice as many
	agingTime     = 2 * time.Second        // waiting time that makes up for one level
	minimumStint  = 100 * time.Millisecond // time that a run keeps its slot at least
	priorityLevel = 0.25                   // levels that one step of a plan's priority is worth
	rateWindow    = 2 * time.Second        // time over which the rate of completions is measured
)

// Config describes a queue.
type Config struct {
	Slots            int
	MaxWaiting       int           // waiting requests
	MaxEstimatedWait time.Duration // estimated waiting time above which newcomers are refused; 0 for none
	Policy           Policy
}

// Request describes a request that wants a slot.
type Request struct {
	Member         string
	Priority       int
	Exclusive      bool // run apart from all other requests
	AttainedTokens int  // tokens that the request has had already
}

// Slot is the right to run; Preempted is closed when the run should give it back.
type Slot struct {
	Preempted chan struct{}

	queue     *Queue
	request   Request
	since     time.Time
	preempted bool
}

type waiter struct {
	request Request
	since   time.Time
	granted chan *Slot
	refused chan error
}

// Queue grants a bounded number of slots.
type Queue struct {
	config Config

	mu        sync.Mutex
	running   map[*Slot]struct{}
	waiting   []*waiter
	attained  map[string]float64 // service of each member by its share
	shares    map[string]int64
	completed []time.Time
	closed    bool
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:   config,
		running:  map[*Slot]struct{}{},
		attained: map[string]float64{},
		shares:   map[string]int64{},
	}
}

// SetShares sets the share of each member.
func (q *Queue) SetShares(shares map[string]int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares = shares
}

// Acquire waits for a slot; the error is ErrFull, ErrClosed or that of ctx.
func (q *Queue) Acquire(ctx context.Context, ticket Request) (*Slot, error) {
	w := &waiter{request: ticket, since: time.Now(), granted: make(chan *Slot, 1), refused: make(chan error, 1)}
	if err := q.enter(w); err != nil {
		return nil, err
	}
	select {
	case slot := <-w.granted:
		return slot, nil
	case err := <-w.refused:
		return nil, err
	case <-ctx.Done():
		q.leave(w)
		return nil, ctx.Err()
	}
}

// Charge counts tokens of service that a run has had.
func (s *Slot) Charge(tokens int) {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s.request.AttainedTokens += tokens
	q.attained[s.request.Member] += float64(tokens) / float64(q.share(s.request.Member))
	q.preempt()
}

// Release gives the slot back; finished tells that the request needs no further service.
func (s *Slot) Release(finished bool) {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.running, s)
	if finished {
		q.completed = append(q.completed, time.Now())
	}
	q.grant()
}

// Close refuses new and waiting requests; running ones go on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.waiting {
		w.refused <- ErrClosed
	}
	q.waiting = nil
}

// Running returns the number of slots in use.
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

// enter puts a request into the queue, if need be in the place of one of a member that takes more than its share.
func (q *Queue) enter(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	if q.full() && w.request.AttainedTokens == 0 && !q.displace(w) {
		return ErrFull
	}
	q.level(w.request.Member)
	q.waiting = append(q.waiting, w)
	q.grant()
	q.preempt()
	return nil
}

func (q *Queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.remove(w) {
		return
	}
	select {
	case slot := <-w.granted:
		delete(q.running, slot)
		q.grant()
	default:
	}
}

func (q *Queue) remove(w *waiter) bool {
	for i, candidate := range q.waiting {
		if candidate == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (q *Queue) grant() {
	for len(q.waiting) > 0 && len(q.running) < q.config.Slots && !q.exclusive() {
		w := q.first()
		if w.request.Exclusive && len(q.running) > 0 {
			return
		}
		q.remove(w)
		slot := &Slot{Preempted: make(chan struct{}), queue: q, request: w.request, since: time.Now()}
		q.running[slot] = struct{}{}
		w.granted <- slot
	}
}

func (q *Queue) exclusive() bool {
	for slot := range q.running {
		return slot.request.Exclusive
	}
	return false
}

package queue

import (
	"context"
	"errors"
	"sync"
)

var (
	// ErrFull reports that the queue has no room.
	ErrFull = errors.New("queue is full")
	// ErrClosed reports that the target takes no new work.
	ErrClosed = errors.New("queue is closed")
)

// Ticket describes a waiting request.
type Ticket struct {
	Member    string
	Priority  int
	Exclusive bool // run apart from all other requests
}

type waiter struct {
	ticket  Ticket
	granted chan error
}

// Queue grants a bounded number of slots by priority, then in turn over members, then in order of arrival.
type Queue struct {
	slots int
	limit int

	mu        sync.Mutex
	running   int
	exclusive bool
	waiting   []*waiter
	attained  map[string]float64
	shares    map[string]int64
	closed    bool
}

// New returns a queue for a number of slots with room for limit waiting requests.
func New(slots, limit int) *Queue {
	return &Queue{slots: slots, limit: limit, attained: map[string]float64{}, shares: map[string]int64{}}
}

// SetShares sets the share of each member.
func (q *Queue) SetShares(shares map[string]int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares = shares
}

// Acquire waits for a slot; the error is ErrFull, ErrClosed or that of ctx.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) error {
	w := &waiter{ticket: ticket, granted: make(chan error, 1)}
	if err := q.enter(w); err != nil {
		return err
	}
	select {
	case err := <-w.granted:
		return err
	case <-ctx.Done():
		q.leave(w)
		return ctx.Err()
	}
}

// Release returns a slot.
func (q *Queue) Release(ticket Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if ticket.Exclusive {
		q.exclusive = false
	}
	q.grant()
}

// Charge counts service that a member has attained, in tokens.
func (q *Queue) Charge(member string, tokens float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.attained[member] += tokens / float64(max(1, q.shares[member]))
}

// Close refuses new and waiting requests; running ones go on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.waiting {
		w.granted <- ErrClosed
	}
	q.waiting = nil
}

// Running returns the number of slots in use.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *Queue) enter(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	if len(q.waiting) >= q.limit {
		return ErrFull
	}
	q.waiting = append(q.waiting, w)
	q.level(w.ticket.Member)
	q.grant()
	return nil
}

// level keeps a member that was idle from spending the service it did not use, which would starve the others.
func (q *Queue) level(member string) {
	lowest := -1.0
	for _, w := range q.waiting {
		if w.ticket.Member == member {
			continue
		}
		attained := q.attained[w.ticket.Member]
		if lowest < 0 || attained < lowest {
			lowest = attained
		}
	}
	q.attained[member] = max(q.attained[member], lowest)
}

func (q *Queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, candidate := range q.waiting {
		if candidate == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
	if err := <-w.granted; err == nil {
		q.running--
		if w.ticket.Exclusive {
			q.exclusive = false
		}
		q.grant()
	}
}

func (q *Queue) grant() {
	for len(q.waiting) > 0 && q.running < q.slots && !q.exclusive {
		next := q.first()
		w := q.waiting[next]
		if w.ticket.Exclusive && q.running > 0 {
			return
		}
		q.waiting = append(q.waiting[:next], q.waiting[next+1:]...)
		q.running++
		q.exclusive = w.ticket.Exclusive
		w.granted <- nil
	}
}

func (q *Queue) first() int {
	best := 0
	for i := range q.waiting {
		if q.before(q.waiting[i], q.waiting[best]) {
			best = i
		}
	}
	return best
}

func (q *Queue) before(a, b *waiter) bool {
	if a.ticket.Priority != b.ticket.Priority {
		return a.ticket.Priority > b.ticket.Priority
	}
	return q.attained[a.ticket.Member] < q.attained[b.ticket.Member]
}

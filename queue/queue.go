package queue

import (
	"context"
	"errors"
	"math/bits"
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
	// Attained gives slots by the members' shares, then to requests that have had the least service.
	Attained Policy = "attained"
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
	Slots   int
	Limit   int           // waiting requests
	MaxWait time.Duration // estimated waiting time above which newcomers are refused; 0 for none
	Policy  Policy
}

// Ticket describes a request that wants a slot.
type Ticket struct {
	Member    string
	Priority  int
	Exclusive bool // run apart from all other requests
	Attained  int  // tokens that the request has had already
}

// Slot is the right to run; Preempted is closed when the run should give it back.
type Slot struct {
	Preempted chan struct{}

	queue     *Queue
	ticket    Ticket
	since     time.Time
	preempted bool
}

type waiter struct {
	ticket  Ticket
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
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (*Slot, error) {
	w := &waiter{ticket: ticket, since: time.Now(), granted: make(chan *Slot, 1), refused: make(chan error, 1)}
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
	s.ticket.Attained += tokens
	q.attained[s.ticket.Member] += float64(tokens) / float64(q.share(s.ticket.Member))
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
	if q.full() && w.ticket.Attained == 0 && !q.displace(w) {
		return ErrFull
	}
	q.level(w.ticket.Member)
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

// full reports whether a newcomer would find no room or wait for too long.
func (q *Queue) full() bool {
	if len(q.waiting) >= q.config.Limit {
		return true
	}
	if q.config.MaxWait == 0 || len(q.waiting) < q.config.Slots {
		return false
	}
	perSecond := float64(q.recent()) / rateWindow.Seconds()
	return float64(len(q.waiting)) > max(perSecond, 1)*q.config.MaxWait.Seconds()
}

func (q *Queue) recent() int {
	old := 0
	for old < len(q.completed) && time.Since(q.completed[old]) > rateWindow {
		old++
	}
	q.completed = q.completed[old:]
	return len(q.completed)
}

// displace refuses the latest waiting request of the member that takes most beyond its share of the queue, if the
// newcomer's member takes less than its own.
func (q *Queue) displace(newcomer *waiter) bool {
	if q.config.Policy == FirstCome {
		return false
	}
	held := map[string]int{newcomer.ticket.Member: 0}
	for _, w := range q.waiting {
		held[w.ticket.Member]++
	}
	worst, excess := "", 0.0
	for member, count := range held {
		if over := float64(count) - q.fair(member, held, len(q.waiting)); over > excess {
			worst, excess = member, over
		}
	}
	own := newcomer.ticket.Member
	if worst == "" || worst == own || float64(held[own]) >= q.fair(own, held, len(q.waiting)) {
		return false
	}
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if w := q.waiting[i]; w.ticket.Member == worst && w.ticket.Attained == 0 {
			q.remove(w)
			w.refused <- ErrFull
			return true
		}
	}
	return false
}

// fair returns the part of total that a member's share gives it among the members in held.
func (q *Queue) fair(member string, held map[string]int, total int) float64 {
	var all int64
	for other := range held {
		all += q.share(other)
	}
	return float64(total) * float64(q.share(member)) / float64(all)
}

func (q *Queue) share(member string) int64 { return max(1, q.shares[member]) }

// level lets a member that was idle start beside the others, so that it cannot spend service that it did not use.
func (q *Queue) level(member string) {
	lowest := -1.0
	note := func(other string) {
		if attained := q.attained[other]; other != member && (lowest < 0 || attained < lowest) {
			lowest = attained
		}
	}
	for _, w := range q.waiting {
		if w.ticket.Member == member {
			return
		}
		note(w.ticket.Member)
	}
	for slot := range q.running {
		if slot.ticket.Member == member {
			return
		}
		note(slot.ticket.Member)
	}
	q.attained[member] = max(q.attained[member], lowest)
}

func (q *Queue) grant() {
	for len(q.waiting) > 0 && len(q.running) < q.config.Slots && !q.exclusive() {
		w := q.first()
		if w.ticket.Exclusive && len(q.running) > 0 {
			return
		}
		q.remove(w)
		slot := &Slot{Preempted: make(chan struct{}), queue: q, ticket: w.ticket, since: time.Now()}
		q.running[slot] = struct{}{}
		w.granted <- slot
	}
}

func (q *Queue) exclusive() bool {
	for slot := range q.running {
		return slot.ticket.Exclusive
	}
	return false
}

func (q *Queue) first() *waiter {
	best := q.waiting[0]
	now := time.Now()
	for _, w := range q.waiting[1:] {
		if q.before(w, best, now) {
			best = w
		}
	}
	return best
}

func (q *Queue) before(a, b *waiter, now time.Time) bool {
	if q.config.Policy == FirstCome {
		return a.since.Before(b.since)
	}
	attainedA, attainedB := q.attained[a.ticket.Member], q.attained[b.ticket.Member]
	if a.ticket.Member != b.ticket.Member && attainedA != attainedB {
		return attainedA < attainedB
	}
	rankA, rankB := a.rank(now), b.rank(now)
	if rankA != rankB {
		return rankA < rankB
	}
	return a.since.Before(b.since)
}

// rank is lower for requests that are to run sooner.
func (w *waiter) rank(now time.Time) float64 {
	aged := float64(now.Sub(w.since) / agingTime)
	return float64(levelOf(w.ticket.Attained)) - priorityLevel*float64(w.ticket.Priority) - aged
}

// levelOf returns the level of a request that has had some tokens of service.
func levelOf(tokens int) int { return bits.Len(uint(tokens / levelTokens)) }

// preempt asks one run to give its slot back if the first waiting request has a better right to it.
func (q *Queue) preempt() {
	if q.config.Policy == FirstCome || len(q.waiting) == 0 || len(q.running) < q.config.Slots {
		return
	}
	w := q.first()
	var victim *Slot
	for slot := range q.running {
		if slot.preempted {
			return
		}
		if q.yields(slot, w) && (victim == nil || slot.ticket.Attained > victim.ticket.Attained) {
			victim = slot
		}
	}
	if victim != nil {
		victim.preempted = true
		close(victim.Preempted)
	}
}

// yields reports whether a run must give way: to a request of its member that has had less service, or to a member that
// has less than its share of the slots.
func (q *Queue) yields(slot *Slot, w *waiter) bool {
	if slot.ticket.Exclusive || w.ticket.Exclusive || time.Since(slot.since) < minimumStint {
		return false
	}
	if slot.ticket.Member == w.ticket.Member {
		return levelOf(slot.ticket.Attained) > levelOf(w.ticket.Attained)
	}
	held := map[string]int{w.ticket.Member: 0}
	for other := range q.running {
		held[other.ticket.Member]++
	}
	fair := func(member string) float64 { return q.fair(member, held, q.config.Slots) }
	return float64(held[slot.ticket.Member]) > fair(slot.ticket.Member) && float64(held[w.ticket.Member])+1 <= fair(w.ticket.Member)
}

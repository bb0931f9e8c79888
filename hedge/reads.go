package hedge

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrLate is returned if no read has been answered in time. Those in progress go on.
var ErrLate = errors.New("read is not answered yet and goes on")

// Answer is what a read has returned.
type Answer[T any] struct {
	Value T
	Began time.Time     // when the read began
	Took  time.Duration // until its answer came
}

// Reads makes reads of one thing and returns the first answer that comes. Its methods are called by one goroutine.
type Reads[T any] struct {
	max        int
	maxTime    time.Duration
	inProgress []*call[T] // in the order in which they began
	ended      chan *call[T]
	answered   *call[T] // its answer has not been returned yet; nil if there is none
	running    sync.WaitGroup
}

// call is one read.
type call[T any] struct {
	began   time.Time
	due     time.Time // from which on the read is late
	took    time.Duration
	cancel  context.CancelFunc
	givenUp chan struct{} // closed if nobody wants the answer any more
	value   T
	err     error
}

// New returns reads of which at most a number are in progress at the same time, each for a time, after which its connection counts as dead.
func New[T any](maxInProgress int, maxTime time.Duration) *Reads[T] {
	return &Reads[T]{max: maxInProgress, maxTime: maxTime, ended: make(chan *call[T])}
}

// Read returns the answer of the first read that is answered: of one in progress, or of a new one, which begins unless the last one is not late yet or the highest
// number is in progress. The error is that of the newest read, or ErrLate if it has no answer within its time. An answer of a read that began before one whose
// answer was returned is never returned.
func (r *Reads[T]) Read(ctx context.Context, timeout time.Duration, read func(context.Context) (T, error)) (Answer[T], error) {
	if !r.Answered() && r.mayBegin(time.Now()) {
		r.begin(ctx, timeout, read)
	}
	if r.answered != nil {
		return r.take(), nil
	}
	newest := r.newest()
	late := time.NewTimer(time.Until(newest.due))
	defer late.Stop()
	for {
		select {
		case <-ctx.Done():
			return Answer[T]{}, ctx.Err()
		case <-late.C:
			return Answer[T]{}, ErrLate
		case ended := <-r.ended:
			if r.record(ended); r.answered != nil {
				return r.take(), nil
			}
			if ended == newest {
				return Answer[T]{}, ended.err
			}
		}
	}
}

// Answered reports whether a read has been answered whose answer the next Read returns.
func (r *Reads[T]) Answered() bool {
	for r.answered == nil {
		select {
		case ended := <-r.ended:
			r.record(ended)
		default:
			return false
		}
	}
	return true
}

// Wait waits for a time, or until a read has been answered, and returns the error of ctx if that ends first.
func (r *Reads[T]) Wait(ctx context.Context, duration time.Duration) error {
	over := time.NewTimer(duration)
	defer over.Stop()
	for r.answered == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-over.C:
			return nil
		case ended := <-r.ended:
			r.record(ended)
		}
	}
	return nil
}

// InProgress returns the number of reads in progress.
func (r *Reads[T]) InProgress() int { return len(r.inProgress) }

// Drop gives up all reads in progress and an answer that has not been returned.
func (r *Reads[T]) Drop() {
	r.giveUp(len(r.inProgress))
	r.answered = nil
}

// Close gives up all reads and returns once they have ended.
func (r *Reads[T]) Close() {
	r.Drop()
	r.running.Wait()
}

func (r *Reads[T]) mayBegin(now time.Time) bool {
	n := len(r.inProgress)
	return n == 0 || (n < r.max && !now.Before(r.newest().due))
}

func (r *Reads[T]) begin(ctx context.Context, timeout time.Duration, read func(context.Context) (T, error)) {
	now := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, max(timeout, r.maxTime))
	next := &call[T]{began: now, due: now.Add(timeout), cancel: cancel, givenUp: make(chan struct{})}
	r.inProgress = append(r.inProgress, next)
	r.running.Go(func() {
		defer cancel()
		next.value, next.err = read(callCtx)
		next.took = time.Since(next.began)
		select {
		case r.ended <- next:
		case <-next.givenUp:
		}
	})
}

func (r *Reads[T]) newest() *call[T] { return r.inProgress[len(r.inProgress)-1] }

// record removes a read that has ended from those in progress. If it was answered, those that began before it are given up; if it has been given up itself, it is ignored.
func (r *Reads[T]) record(ended *call[T]) {
	for i, each := range r.inProgress {
		if each != ended {
			continue
		}
		if ended.err == nil {
			r.answered = ended
			r.giveUp(i)
			r.inProgress = r.inProgress[1:]
			return
		}
		r.inProgress = append(r.inProgress[:i], r.inProgress[i+1:]...)
		return
	}
}

// giveUp ends the oldest reads in progress.
func (r *Reads[T]) giveUp(n int) {
	for _, each := range r.inProgress[:n] {
		each.cancel()
		close(each.givenUp)
	}
	r.inProgress = append([]*call[T]{}, r.inProgress[n:]...)
}

func (r *Reads[T]) take() Answer[T] {
	taken := r.answered
	r.answered = nil
	return Answer[T]{Value: taken.value, Began: taken.began, Took: taken.took}
}

package refresh

import (
	"context"
	"sync"
	"time"

	"gypsumbank/pause"
)

// Shared performs reads for callers each of whom needs one that began after its call. Its methods may be called by several
// goroutines.
type Shared struct {
	read     func(context.Context) error
	interval time.Duration
	wanted   chan struct{} // holds a value while somebody waits for the upcoming read

	mu       sync.Mutex
	upcoming *result // of the next read to begin; nil if nobody waits for it
}

// result is the result of one read; err is set once done is closed.
type result struct {
	done chan struct{}
	err  error
}

// New returns shared reads by the given function, of which Run begins one at most once in an interval.
func New(read func(context.Context) error, interval time.Duration) *Shared {
	return &Shared{read: read, interval: interval, wanted: make(chan struct{}, 1)}
}

// Refresh returns the error of a read that began after the call, or that of ctx if ctx ends first.
func (s *Shared) Refresh(ctx context.Context) error {
	joined := s.join()
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run reads while there are callers, until ctx ends.
func (s *Shared) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wanted:
		}
		began := time.Now()
		next := s.take()
		next.err = s.read(ctx)
		close(next.done)
		_ = pause.For(ctx, s.interval-time.Since(began))
	}
}

// join returns the upcoming read, and asks for one if nobody has.
func (s *Shared) join() *result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upcoming == nil {
		s.upcoming = &result{done: make(chan struct{})}
		s.wanted <- struct{}{} // there is room: Run takes the upcoming read only after the value
	}
	return s.upcoming
}

// take returns the upcoming read, which now begins; later callers wait for another.
func (s *Shared) take() *result {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.upcoming
	s.upcoming = nil
	return next
}

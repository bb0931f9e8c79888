package targetlist

import (
	"context"
	"errors"
	"time"

	"gypsumbank/hedge"
	"gypsumbank/platform"
)

const (
	// maxReads bounds the reads in progress, each of which may be of 1 MB.
	maxReads = 3
	// maxReadTime bounds a read that is late, and maxPageTime that of one of its pages.
	maxReadTime = 30 * time.Second
	maxPageTime = 3 * time.Second
	// lateFactor is how many times as long as the last one a read may take until it is late: registries differ in size.
	lateFactor = 2
)

// Reader reads the targets. Its methods are called by one goroutine.
type Reader struct {
	store *platform.Store
	reads *hedge.Reads[platform.Registry]
	usual time.Duration // what the last answered read took
}

// New returns a reader of a store's targets.
func New(store *platform.Store) *Reader {
	return &Reader{store: store, reads: hedge.New[platform.Registry](maxReads, maxReadTime)}
}

// Read returns the answer of the next read that is answered. It wraps hedge.ErrLate if there is none within a time, or within a multiple of what the last one took.
func (r *Reader) Read(ctx context.Context, timeout time.Duration) (hedge.Answer[platform.Registry], error) {
	answer, err := r.reads.Read(ctx, max(timeout, lateFactor*r.usual), func(ctx context.Context) (platform.Registry, error) {
		return r.store.Targets(ctx, maxPageTime)
	})
	switch {
	case err == nil:
		r.usual = answer.Took
	case errors.Is(err, hedge.ErrLate):
		r.store.CloseIdle()
	}
	return answer, err
}

// Wait waits for a time, or until a read that was late has been answered.
func (r *Reader) Wait(ctx context.Context, duration time.Duration) error {
	return r.reads.Wait(ctx, duration)
}

// Answered reports whether a read that was late has been answered.
func (r *Reader) Answered() bool { return r.reads.Answered() }

// Drop gives up all reads in progress.
func (r *Reader) Drop() { r.reads.Drop() }

// Close gives up all reads and returns once they have ended.
func (r *Reader) Close() { r.reads.Close() }

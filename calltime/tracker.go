package calltime

import (
	"context"
	"errors"
	"sync"
	"time"

	"gypsumbank/jsonclient"
)

const (
	// maxLimit bounds the time that calls are given, as a call that is lost takes all of it.
	maxLimit = 3 * time.Second
	// observedTime is how long a call that its caller has given up is watched for its answer. It keeps its connection, and its answer tells what calls need.
	observedTime = 5 * time.Second
	// headroom is the time that calls are given over what the last one took.
	headroom = 2
	// decay is by how much that time is lowered by an answer that took less.
	decay = 2
)

// Tracker knows how long calls to a service take. The zero value knows of none. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	needed time.Duration
}

// Limit returns the time that a call is to be given, at least the given one. A service that does not answer does not raise it: calls are to be tried again soon after
// its return.
func (t *Tracker) Limit(least time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(least, min(maxLimit, t.needed))
}

// record records what a call took until it was answered.
func (t *Tracker) record(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.needed = max(headroom*took, t.needed/decay)
}

// Run makes a call and returns its result, or the error of ctx as soon as ctx ends. The call then goes on until it is answered, for observedTime from its begin.
// waits is how long the service may wait with its answer; an answer without that wait does not tell what calls need.
func Run[T any](ctx context.Context, t *Tracker, waits time.Duration, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	began := time.Now()
	callCtx, cancel := observedContext(ctx, began.Add(waits+observedTime))
	done := make(chan result, 1)
	go func() {
		defer cancel()
		value, err := call(callCtx)
		if took := time.Since(began) - waits; took > 0 && (err == nil || errors.Is(err, jsonclient.ErrStatus)) {
			t.record(took)
		}
		done <- result{value, err}
	}()
	select {
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	case r := <-done:
		return r.value, r.err
	}
}

// observedContext returns a context that outlives ctx until a time, and has no deadline if ctx has none.
func observedContext(ctx context.Context, until time.Time) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	if deadline.After(until) {
		until = deadline
	}
	return context.WithDeadline(context.WithoutCancel(ctx), until)
}

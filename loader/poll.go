package loader

import (
	"context"
	"errors"
	"time"

	"gypsumbank/engine"
	"gypsumbank/fence"
	"gypsumbank/residency"
	"gypsumbank/timeline"
)

// pollResult is the outcome of one poll of the engine.
type pollResult struct {
	state   engine.State
	err     error
	askedAt time.Time // when the state was requested
	fenced  bool      // the engine accepted a new fencing number before it returned the state
}

// poll waits for delay, then asks the engine for its state.
func (l *Loader) poll(ctx context.Context, results chan<- pollResult, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	results <- l.fetchState(ctx)
}

// fetchState sends the next fencing number, if there is one, and then asks for the state.
func (l *Loader) fetchState(ctx context.Context) pollResult {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r := pollResult{askedAt: time.Now()}
	number := l.nextFence.Load()
	if number > 0 {
		r.err = l.engine.Fence(ctx, number)
	}
	if r.err != nil {
		return r
	}
	r.askedAt = time.Now()
	r.state, r.err = l.engine.State(ctx)
	r.fenced = r.err == nil && number > 0 && r.state.Fence >= number
	return r
}

// applyPoll updates the loader from the outcome of a poll.
func (l *Loader) applyPoll(r pollResult) {
	now := time.Now()
	switch {
	case errors.Is(r.err, engine.ErrFenced):
		// The engine has seen a higher number, of this or another sidecar; the state of the next poll shows which.
		l.nextFence.Store(0)
		return
	case r.err != nil:
		l.markDown(r.err)
	case r.state.Incarnation != l.incarnation:
		l.adoptEngine(r, now)
	case l.config.ChecksFence && r.state.Fence > uint64(l.fence):
		l.stopErr = ErrSuperseded
	default:
		l.reconcile(r, now)
	}
	l.scheduleFence()
	l.recordViolations(r)
}

// markDown records that the engine does not answer. Its memory stays committed until the engine is adopted again.
func (l *Loader) markDown(err error) {
	if l.incarnation == 0 {
		return
	}
	l.incarnation = 0
	l.ring.Add(timeline.Event{Kind: timeline.TargetDown, Target: l.inputs.Target, Detail: err.Error()})
	l.log.WithError(err).Warn("target does not answer")
}

// adoptEngine takes control of an engine that is new or reachable again. If the engine checks fencing numbers, the next
// poll first sends one above all earlier orders, and the engine is adopted with the state after that.
func (l *Loader) adoptEngine(r pollResult, now time.Time) {
	if l.config.ChecksFence && !r.fenced {
		l.fence = fence.New(max(uint64(l.fence), r.state.Fence), now)
		l.nextFence.Store(uint64(l.fence))
		return
	}
	l.incarnation = r.state.Incarnation
	l.tracker.Adopt(r.state.Residents, now)
	l.ring.Add(timeline.Event{Kind: timeline.TargetUp, Target: l.inputs.Target})
	l.log.WithField("residents", len(r.state.Residents)).Info("target answers")
}

// reconcile updates the tracker from the engine's state.
func (l *Loader) reconcile(r pollResult, now time.Time) {
	if r.fenced {
		l.tracker.MarkFenced(r.askedAt)
	}
	for _, key := range l.tracker.Reconcile(r.state.Residents, r.askedAt, now) {
		l.recordEvent(timeline.ModelDropped, key, "lost by the engine")
	}
}

// scheduleFence makes the next poll send a new fencing number if the outcome of an order is unknown, so that the order
// can't take effect later. It waits until no order is in flight, as the number would make the engine refuse that one
// too.
func (l *Loader) scheduleFence() {
	if l.incarnation == 0 {
		return
	}
	if l.config.ChecksFence && l.tracker.HasUnknown() && !l.modelOrderActive && l.activeAdapterOrders == 0 {
		l.fence = l.fence.Next()
		l.nextFence.Store(uint64(l.fence))
		return
	}
	l.nextFence.Store(0)
}

// recordViolations records an event if the engine has counted further memory violations.
func (l *Loader) recordViolations(r pollResult) {
	if r.err != nil {
		return
	}
	view := *l.view.Load()
	if r.state.Violations > view.MemoryViolations {
		l.recordEvent(timeline.OrderRefused, residency.Key{Name: l.inputs.Target}, "engine counted a memory violation")
	}
	view.MemoryViolations = r.state.Violations
	l.view.Store(&view)
}

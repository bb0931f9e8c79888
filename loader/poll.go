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

// report is the outcome of one question to the engine.
type report struct {
	state  engine.State
	err    error
	asked  time.Time
	fenced bool // the engine took a new fencing number before it told its state
}

// poll asks the engine for its state after a delay.
func (l *Loader) poll(ctx context.Context, reports chan<- report, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	reports <- l.ask(ctx)
}

func (l *Loader) ask(ctx context.Context) report {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r := report{asked: time.Now()}
	number := l.nextFence.Load()
	if number > 0 {
		r.err = l.engine.Fence(ctx, number)
	}
	if r.err != nil {
		return r
	}
	r.asked = time.Now()
	r.state, r.err = l.engine.State(ctx)
	r.fenced = r.err == nil && number > 0 && r.state.Fence >= number
	return r
}

// absorb takes over the outcome of a poll.
func (l *Loader) absorb(r report) {
	now := time.Now()
	switch {
	case errors.Is(r.err, engine.ErrFenced):
		// A later order of this or another sidecar came first; the next state tells whose it was.
		l.nextFence.Store(0)
		return
	case r.err != nil:
		l.lose(r.err)
	case r.state.Incarnation != l.incarnation:
		l.meet(r, now)
	case l.config.ChecksFence && r.state.Fence > uint64(l.fence):
		l.stopped = ErrSuperseded
	default:
		l.reconcile(r, now)
	}
	l.scheduleFence()
	l.noteViolations(r)
}

// lose records that the engine does not answer; its memory stays counted until it is met again.
func (l *Loader) lose(err error) {
	if l.incarnation == 0 {
		return
	}
	l.incarnation = 0
	l.ring.Add(timeline.Event{Kind: timeline.TargetDown, Target: l.inputs.Target, Detail: err.Error()})
	l.log.WithError(err).Warn("target does not answer")
}

// meet takes over an engine that is new or back: on one that checks fencing numbers it first fences off all earlier
// orders and waits for the state after that.
func (l *Loader) meet(r report, now time.Time) {
	if l.config.ChecksFence && !r.fenced {
		l.fence = fence.New(max(uint64(l.fence), r.state.Fence), now)
		l.nextFence.Store(uint64(l.fence))
		return
	}
	l.incarnation = r.state.Incarnation
	l.memory.Adopt(r.state.Residents, now)
	l.ring.Add(timeline.Event{Kind: timeline.TargetUp, Target: l.inputs.Target})
	l.log.WithField("residents", len(r.state.Residents)).Info("target answers")
}

func (l *Loader) reconcile(r report, now time.Time) {
	if r.fenced {
		l.memory.Fenced(r.asked)
	}
	for _, key := range l.memory.Reconcile(r.state.Residents, r.asked, now) {
		l.event(timeline.ModelDropped, key, "lost by the engine")
	}
}

// scheduleFence has the next poll fence off orders of unknown fate.
func (l *Loader) scheduleFence() {
	if l.incarnation == 0 {
		return
	}
	if l.config.ChecksFence && l.memory.HasUnknown() && !l.modelOrder && l.adapters == 0 {
		l.fence = l.fence.Next()
		l.nextFence.Store(uint64(l.fence))
		return
	}
	l.nextFence.Store(0)
}

func (l *Loader) noteViolations(r report) {
	if r.err != nil {
		return
	}
	view := *l.view.Load()
	if r.state.Violations > view.MemoryViolations {
		l.event(timeline.OrderRefused, residency.Key{Name: l.inputs.Target}, "engine counted a memory violation")
	}
	view.MemoryViolations = r.state.Violations
	l.view.Store(&view)
}

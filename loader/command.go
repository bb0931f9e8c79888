package loader

import (
	"context"
	"errors"
	"time"

	"gypsumbank/engine"
	"gypsumbank/residency"
	"gypsumbank/timeline"
)

// command is a message to the goroutine of Run: *leaseRequest, leaseReleased, holdsQuery, orderResult or
// unloadDecision.
type command interface{ command() }

type leaseReleased struct{ lease Lease }

// holdsQuery asks whether a model is resident and not marked for unloading.
type holdsQuery struct {
	key    residency.Key
	answer chan bool
}

// orderResult is the outcome of a load or unload order; after other errors than refusals the order may still be
// applied.
type orderResult struct {
	key    residency.Key
	unload bool
	err    error
}

// unloadDecision states whether another target holds a copy of a model that is marked for unloading here.
type unloadDecision struct {
	key           residency.Key
	heldElsewhere bool
	detail        string
}

func (*leaseRequest) command()  {}
func (leaseReleased) command()  {}
func (holdsQuery) command()     {}
func (orderResult) command()    {}
func (unloadDecision) command() {}

func (l *Loader) handleCommand(ctx context.Context, c command) {
	now := time.Now()
	switch c := c.(type) {
	case *leaseRequest:
		l.waiting = append(l.waiting, c)
	case leaseReleased:
		l.tracker.Release(c.lease.Model, now)
		l.tracker.Release(c.lease.Adapter, now)
	case holdsQuery:
		c.answer <- l.tracker.Resident(c.key)
	case orderResult:
		l.handleOrderResult(c, now)
	case unloadDecision:
		l.handleUnloadDecision(ctx, c)
	}
}

func (l *Loader) handleOrderResult(c orderResult, now time.Time) {
	if c.key.Kind == engine.KindModel {
		l.modelOrderActive = false
	} else {
		l.activeAdapterOrders--
	}
	switch {
	case c.err == nil && c.unload:
		l.tracker.ConfirmUnload(c.key, now)
		l.recordEvent(timeline.ModelDropped, c.key, "")
	case c.err == nil:
		l.tracker.ConfirmLoad(c.key, now)
		l.loadedAt[c.key] = now
		l.recordEvent(timeline.ModelLoaded, c.key, "")
	case errors.Is(c.err, engine.ErrFenced), errors.Is(c.err, engine.ErrNoMemory):
		l.handleOrderRefusal(c, now)
	default:
		l.tracker.MarkUnknown(c.key, now)
		l.recordEvent(timeline.OrderLost, c.key, c.err.Error())
	}
}

func (l *Loader) handleOrderRefusal(c orderResult, now time.Time) {
	l.recordEvent(timeline.OrderRefused, c.key, c.err.Error())
	if c.unload {
		l.tracker.CancelUnload(c.key)
		return
	}
	l.tracker.LoadRefused(c.key, now)
}

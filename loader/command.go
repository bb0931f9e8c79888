package loader

import (
	"context"
	"errors"
	"time"

	"gypsumbank/engine"
	"gypsumbank/residency"
	"gypsumbank/timeline"
)

// command is a message to the goroutine of Run: *leaseRequest, released, holdsQuestion, orderEnded or dropDecided.
type command interface{ command() }

type released struct{ lease Lease }

type holdsQuestion struct {
	key    residency.Key
	answer chan bool
}

type orderEnded struct {
	key    residency.Key
	unload bool
	err    error
}

// dropDecided tells whether a marked copy may be dropped.
type dropDecided struct {
	key     residency.Key
	allowed bool
	detail  string
}

func (*leaseRequest) command() {}
func (released) command()      {}
func (holdsQuestion) command() {}
func (orderEnded) command()    {}
func (dropDecided) command()   {}

func (l *Loader) handle(ctx context.Context, c command) {
	now := time.Now()
	switch c := c.(type) {
	case *leaseRequest:
		l.waiting = append(l.waiting, c)
	case released:
		l.memory.Done(c.lease.Model, now)
		l.memory.Done(c.lease.Adapter, now)
	case holdsQuestion:
		c.answer <- l.memory.Resident(c.key)
	case orderEnded:
		l.endOrder(c, now)
	case dropDecided:
		l.decideDrop(ctx, c)
	}
}

func (l *Loader) endOrder(c orderEnded, now time.Time) {
	if c.key.Kind == engine.KindModel {
		l.modelOrder = false
	} else {
		l.adapters--
	}
	switch {
	case c.err == nil && c.unload:
		l.memory.Unloaded(c.key, now)
		l.event(timeline.ModelDropped, c.key, "")
	case c.err == nil:
		l.memory.Loaded(c.key, now)
		l.loaded[c.key] = now
		l.event(timeline.ModelLoaded, c.key, "")
	case errors.Is(c.err, engine.ErrFenced), errors.Is(c.err, engine.ErrNoMemory):
		l.refused(c, now)
	default:
		l.memory.MarkUnknown(c.key, now)
		l.event(timeline.OrderLost, c.key, c.err.Error())
	}
}

func (l *Loader) refused(c orderEnded, now time.Time) {
	l.event(timeline.OrderRefused, c.key, c.err.Error())
	if c.unload {
		l.memory.Keep(c.key)
		return
	}
	l.memory.Refused(c.key, now)
}

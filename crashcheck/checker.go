package crashcheck

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"gypsumbank/pause"
	"gypsumbank/registry"
	"gypsumbank/request"
)

const (
	tickInterval = 20 * time.Millisecond
	// dialTimeout bounds a check of whether anything listens at the address of a target.
	dialTimeout = 300 * time.Millisecond
	maxDials    = 16 // at a time
	maxPending  = 256
	maxContents = 64 // of one run, from which on no request is added
	// endedMemory is how long the end of a run is remembered for answers that are found to be broken later.
	endedMemory = 10 * time.Second
)

// checkDelays are the times between the first broken answer and the checks. The first leaves time for the other answers of the
// run to break.
var checkDelays = []time.Duration{40 * time.Millisecond, 250 * time.Millisecond, time.Second, 2500 * time.Millisecond}

// Crash is the end of a run of a target.
type Crash struct {
	Target   registry.Target
	Contents []request.Content // of the requests that had not begun to be answered, or only just
	Cause    string            // how the end was noticed
}

// Dial opens a connection to an address and closes it.
type Dial func(ctx context.Context, address string) error

// Checker collects broken answers by the run of their target, and reports those whose run has ended. A run has ended if nothing
// listens at its address, if its agent says so or if a later run is known.
type Checker struct {
	dial   Dial
	report func(Crash)
	now    func() time.Time

	began chan struct{} // holds a value after an inquiry has begun

	mu      sync.Mutex
	pending map[run]*inquiry
	ended   map[run]time.Time
}

// run identifies one run of a target.
type run struct {
	id   string
	born int64
}

// inquiry holds the broken answers of a run that is not known to have ended.
type inquiry struct {
	target   registry.Target
	contents []request.Content
	began    time.Time
	checks   int
	checking bool
}

// New returns a checker that calls report for each crash; now is its clock.
func New(dial Dial, report func(Crash), now func() time.Time) *Checker {
	return &Checker{dial: dial, report: report, now: now, began: make(chan struct{}, 1), pending: map[run]*inquiry{}, ended: map[run]time.Time{}}
}

// Suspect records that an answer of a target broke off, with the contents of its request.
func (c *Checker) Suspect(target registry.Target, contents []request.Content) {
	if c.addPending(target, contents) {
		return
	}
	c.report(Crash{Target: target, Contents: contents, Cause: "ended before"})
}

// addPending adds contents to the inquiry of a run; it returns false if the run is known to have ended.
func (c *Checker) addPending(target registry.Target, contents []request.Content) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := run{target.ID, target.Born}
	if endedAt, ended := c.ended[key]; ended && c.now().Sub(endedAt) <= endedMemory {
		return false
	}
	q := c.pending[key]
	if q == nil {
		if len(c.pending) >= maxPending {
			return true
		}
		q = &inquiry{target: target, began: c.now()}
		c.pending[key] = q
		select {
		case c.began <- struct{}{}:
		default:
		}
	}
	if len(q.contents) < maxContents {
		q.contents = append(q.contents, contents...)
	}
	return true
}

// MarkEnded records that a run of a target has ended, as source says.
func (c *Checker) MarkEnded(targetID string, born int64, source string) {
	c.end(run{targetID, born}, source)
}

// MarkRuns records which runs of targets there are, as source says. Earlier runs at the same addresses or with the same ids have
// ended, also if no check has found it: a target may be back before the next one.
func (c *Checker) MarkRuns(current []registry.Target, source string) {
	for _, key := range c.replaced(current) {
		c.end(key, source)
	}
}

// replaced returns the runs with broken answers that later ones have replaced.
func (c *Checker) replaced(current []registry.Target) []run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var replaced []run
	for key, q := range c.pending {
		if slices.ContainsFunc(current, func(t registry.Target) bool {
			return t.Born > key.born && (t.ID == key.id || t.Address == q.target.Address)
		}) {
			replaced = append(replaced, key)
		}
	}
	return replaced
}

// end records that a run has ended and reports its broken answers.
func (c *Checker) end(key run, cause string) {
	c.mu.Lock()
	now := c.now()
	for other, at := range c.ended {
		if now.Sub(at) > endedMemory {
			delete(c.ended, other)
		}
	}
	c.ended[key] = now
	q := c.pending[key]
	delete(c.pending, key)
	c.mu.Unlock()
	if q != nil {
		c.report(Crash{Target: q.target, Contents: q.contents, Cause: cause})
	}
}

// Run checks the runs whose answers broke off until ctx ends. It sleeps while there are none.
func (c *Checker) Run(ctx context.Context) error {
	var checks errgroup.Group
	checks.SetLimit(maxDials)
	for {
		if err := c.waitForWork(ctx); err != nil {
			_ = checks.Wait()
			return err
		}
		for key, address := range c.due() {
			if !checks.TryGo(func() error {
				c.check(ctx, key, address)
				return nil
			}) {
				c.postpone(key)
			}
		}
	}
}

// waitForWork returns after tickInterval if there are pending runs, and else as soon as there is one.
func (c *Checker) waitForWork(ctx context.Context) error {
	c.mu.Lock()
	idle := len(c.pending) == 0
	c.mu.Unlock()
	if !idle {
		return pause.For(ctx, tickInterval)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.began:
		return nil
	}
}

// due returns the addresses of the runs to check now, and drops what is too old.
func (c *Checker) due() map[run]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	due := map[run]string{}
	for key, q := range c.pending {
		switch {
		case q.checks >= len(checkDelays):
			if now.Sub(q.began) > endedMemory {
				delete(c.pending, key)
			}
		case !q.checking && now.Sub(q.began) >= checkDelays[q.checks]:
			q.checking = true
			due[key] = q.target.Address
		}
	}
	return due
}

// postpone has a run checked at the next tick.
func (c *Checker) postpone(key run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.pending[key]; q != nil {
		q.checking = false
	}
}

// check dials the address of a run once.
func (c *Checker) check(ctx context.Context, key run, address string) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := c.dial(ctx, address); errors.Is(err, syscall.ECONNREFUSED) {
		c.end(key, "connection refused")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.pending[key]; q != nil {
		q.checking = false
		q.checks++
	}
}

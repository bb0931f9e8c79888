package notice

import (
	"sync"
	"time"

	"gypsumbank/pacer"
	"gypsumbank/registry"
)

const (
	// trialTimeout is how long the first request after a rest is waited for before another one may be sent.
	trialTimeout = 500 * time.Millisecond
	// bindsFor is how long after a request found no turn at a target its limit or rest counts as lower than the demand.
	bindsFor = 3 * time.Second
	// retention is how long a notice is kept after it was last given, and maxRest the longest rest that is kept.
	retention = 10 * time.Minute
	maxRest   = retention
	// maxRuns bounds the table; the runs that have said something least lately are dropped.
	maxRuns = 4096
)

// Table holds the notices of targets by run, also while the registry does not list them. It is bounded. Its methods may be called by
// several goroutines.
type Table struct {
	mu   sync.RWMutex
	runs map[run]*statement
}

// run identifies one start of a target.
type run struct {
	id   string
	born int64
}

// statement is what one run has said.
type statement struct {
	saidAt       time.Time
	leaving      bool
	pacer        *pacer.Pacer // of the limit; nil if it names none
	limitNamedAt time.Time
	restUntil    time.Time // zero if it has asked for no rest, or has accepted a request since
	trialUntil   time.Time // until when the outcome of the first request after a rest is awaited
	missedAt     time.Time // when a request last found no turn
}

// New returns an empty table.
func New() *Table { return &Table{runs: map[run]*statement{}} }

// LimitChange says what an answer has changed of the limit of its target.
type LimitChange int

// The changes of a limit.
const (
	LimitSame   LimitChange = iota
	LimitSet                // the target has named a limit, or another one
	LimitLifted             // the target names no limit any more
)

// Change says what is new in a notice.
type Change struct {
	Limit   LimitChange
	Leaving bool // the target has not said before that it leaves
	Rest    bool // the target asks for a rest, or for a longer one
}

// Record records what an answer says to a request that one of a number of gateways has sent. Answers overtake each other: one that
// names no limit lifts it only if its request was sent after the target had last named it, and one that asks for no rest ends a rest
// only if its request was sent after that.
func (t *Table) Record(target registry.Target, said registry.Notice, sentAt time.Time, gateways int, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.runs[run{target.ID, target.Born}]
	if s == nil {
		if said == (registry.Notice{}) {
			return Change{}
		}
		t.dropOld(now)
		s = &statement{}
		t.runs[run{target.ID, target.Born}] = s
	}
	if said != (registry.Notice{}) {
		s.saidAt = now
	}
	change := Change{Leaving: said.Leaving && !s.leaving, Limit: s.recordLimit(said.Limit, sentAt, gateways, now), Rest: s.recordRest(said.Rest, sentAt, now)}
	s.leaving = s.leaving || said.Leaving
	return change
}

func (s *statement) recordLimit(limit registry.RequestLimit, sentAt time.Time, gateways int, now time.Time) LimitChange {
	switch {
	case !limit.Named && (s.pacer == nil || !sentAt.After(s.limitNamedAt)):
		return LimitSame
	case !limit.Named:
		s.pacer = nil
		return LimitLifted
	}
	s.limitNamedAt = now
	switch {
	case s.pacer == nil:
		s.pacer = pacer.New(limit.PerSecond)
		s.pacer.Take(gateways, now) // this request
		return LimitSet
	case s.pacer.PerSecond() == limit.PerSecond:
		return LimitSame
	}
	s.pacer.SetLimit(limit.PerSecond)
	return LimitSet
}

// recordRest reports whether the rest is new or longer than the one before.
func (s *statement) recordRest(rest time.Duration, sentAt, now time.Time) bool {
	if rest <= 0 {
		if !s.restUntil.IsZero() && !sentAt.Before(s.restUntil) {
			s.restUntil, s.trialUntil = time.Time{}, time.Time{}
		}
		return false
	}
	until := now.Add(min(rest, maxRest))
	if !until.After(s.restUntil) {
		return false
	}
	s.restUntil, s.trialUntil = until, time.Time{}
	return true
}

// Leaving reports whether a run has said that it leaves.
func (t *Table) Leaving(target registry.Target) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.lookup(target)
	return s != nil && s.leaving
}

// Wait returns the time until one of a number of gateways may send a target a request, 0 if it may now.
func (t *Table) Wait(target registry.Target, gateways int, now time.Time) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.lookup(target).wait(gateways, now)
}

func (s *statement) wait(gateways int, now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	wait := max(s.restUntil.Sub(now), s.trialUntil.Sub(now), 0)
	if s.pacer != nil {
		wait = max(wait, s.pacer.Wait(gateways, now))
	}
	return wait
}

// Interval returns the time between two requests that the limit of a target allows one of a number of gateways; 0 without a limit.
func (t *Table) Interval(target registry.Target, gateways int) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.lookup(target); s != nil && s.pacer != nil {
		return s.pacer.Interval(gateways)
	}
	return 0
}

// Take reports whether one of a number of gateways may send a target a request now and, if so, counts it. After a rest it may send one
// and, only when the target has accepted it, further ones.
func (t *Table) Take(target registry.Target, gateways int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookup(target)
	if s == nil {
		return true
	}
	if s.wait(gateways, now) > 0 || (s.pacer != nil && !s.pacer.Take(gateways, now)) {
		return false
	}
	if !s.restUntil.IsZero() {
		s.trialUntil = now.Add(trialTimeout)
	}
	return true
}

// Miss records that a request found no turn at a target.
func (t *Table) Miss(target registry.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.lookup(target); s != nil {
		s.missedAt = now
	}
}

// Binds reports whether the limit or the rest of a target has lately kept a request from it that it could have served.
func (t *Table) Binds(target registry.Target, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.lookup(target)
	return s != nil && (s.pacer != nil || !s.restUntil.IsZero()) && !s.missedAt.IsZero() && now.Sub(s.missedAt) < bindsFor
}

// Empty reports whether no target has said anything that holds.
func (t *Table) Empty() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.runs) == 0
}

// lookup returns what a run has said, nil if nothing; the caller holds the lock.
func (t *Table) lookup(target registry.Target) *statement {
	if len(t.runs) == 0 {
		return nil
	}
	return t.runs[run{target.ID, target.Born}]
}

// dropOld removes what is past its retention, and the run that has said something least lately if there are too many; the caller
// holds the lock.
func (t *Table) dropOld(now time.Time) {
	var oldest run
	var oldestAt time.Time
	for key, s := range t.runs {
		if now.Sub(s.saidAt) > retention {
			delete(t.runs, key)
			continue
		}
		if oldestAt.IsZero() || s.saidAt.Before(oldestAt) {
			oldest, oldestAt = key, s.saidAt
		}
	}
	if len(t.runs) >= maxRuns {
		delete(t.runs, oldest)
	}
}

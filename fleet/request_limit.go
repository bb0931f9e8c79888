package fleet

import (
	"slices"
	"time"

	"gypsumbank/pacer"
	"gypsumbank/registry"
)

// limitBindsFor is how long after a request found no turn at a target its limit counts as lower than the demand.
const limitBindsFor = 3 * time.Second

// LimitChange says what an answer has changed of the limit that this gateway keeps for a target.
type LimitChange int

// The changes of a limit.
const (
	LimitSame   LimitChange = iota
	LimitSet                // the target has named a limit, or another one
	LimitLifted             // the target names no limit any more
)

// RecordLimit records what the answer to this attempt says of the target's limit. An answer that names none lifts a limit only
// if its request was sent after the target had last named it: answers overtake each other.
func (a *Assignment) RecordLimit(limit registry.RequestLimit, now time.Time) LimitChange {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	s := a.state
	switch {
	case !limit.Named && (s.pacer == nil || !a.sentAt.After(s.limitNamedAt)):
		return LimitSame
	case !limit.Named:
		s.pacer = nil
		return LimitLifted
	}
	s.limitNamedAt = now
	if s.pacer == nil {
		s.pacer = pacer.New(limit.PerSecond)
		s.pacer.Take(a.fleet.gatewayCountLocked(), now) // this request
		return LimitSet
	}
	if s.pacer.PerSecond() == limit.PerSecond {
		return LimitSame
	}
	s.pacer.SetLimit(limit.PerSecond)
	return LimitSet
}

// TakeTurn reports whether the limit of the chosen target allows a request of this gateway now and, if so, counts it.
func (f *Fleet) TakeTurn(choice Choice, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[choice.Target.ID]
	return s == nil || s.pacer == nil || s.pacer.Take(f.gatewayCountLocked(), now)
}

// withTurns returns the targets that may get a request now by the limits that they have named or, if there are none, the one
// that may soonest.
func (f *Fleet) withTurns(usable []*targetState, now time.Time) []*targetState {
	if !slices.ContainsFunc(usable, func(s *targetState) bool { return s.pacer != nil }) {
		return usable
	}
	gateways := f.gatewayCountLocked()
	open := make([]*targetState, 0, len(usable))
	soonest := usable[0]
	for _, s := range usable {
		if s.turnWait(gateways, now) == 0 {
			open = append(open, s)
		} else {
			s.turnMissedAt = now
		}
		if s.turnWait(gateways, now) < soonest.turnWait(gateways, now) {
			soonest = s
		}
	}
	if len(open) == 0 {
		return []*targetState{soonest}
	}
	return open
}

// applyLimit adds the wait for a turn at the chosen target, if its limit allows no request now, to the choice.
func (f *Fleet) applyLimit(choice Choice, now time.Time) Choice {
	s := f.states[choice.Target.ID]
	if s == nil || s.pacer == nil {
		return choice
	}
	gateways := f.gatewayCountLocked()
	if wait := s.turnWait(gateways, now); wait > 0 {
		choice.HasRoom = false
		choice.Expected += wait
		choice.SlotInterval = max(choice.SlotInterval, s.pacer.Interval(gateways))
	}
	return choice
}

// turnWait returns the time until the limit of the target allows a request of this gateway.
func (s *targetState) turnWait(gateways int, now time.Time) time.Duration {
	if s.pacer == nil {
		return 0
	}
	return s.pacer.Wait(gateways, now)
}

// limitBinds reports whether the target has lately had no turn for a request that it could have served.
func (s *targetState) limitBinds(now time.Time) bool {
	return s.pacer != nil && !s.turnMissedAt.IsZero() && now.Sub(s.turnMissedAt) < limitBindsFor
}

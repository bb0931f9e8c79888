package fleet

import (
	"time"

	"gypsumbank/notice"
	"gypsumbank/registry"
)

// RecordNotice records what the answer to this attempt says of its target and returns what of it is new.
func (a *Assignment) RecordNotice(said registry.Notice, now time.Time) notice.Change {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if said == (registry.Notice{}) && a.fleet.notices.Empty() {
		return notice.Change{}
	}
	return a.fleet.notices.Record(a.choice.Target, said, a.sentAt, a.fleet.gatewayCountLocked(), now)
}

// TakeTurn reports whether the chosen target accepts a request of this gateway now, by what it has said of itself, and, if so, counts it.
func (f *Fleet) TakeTurn(choice Choice, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notices.Empty() {
		return true
	}
	return f.notices.Take(choice.Target, f.gatewayCountLocked(), now)
}

// withTurns returns the targets that may get a request now, by what they have said of themselves, or, if there are none, the one that
// may soonest. missed are those that may not.
func (f *Fleet) withTurns(usable []*targetState, now time.Time) (open, missed []*targetState) {
	if f.notices.Empty() {
		return usable, nil
	}
	gateways := f.gatewayCountLocked()
	open = make([]*targetState, 0, len(usable))
	soonest, shortest := usable[0], time.Duration(-1)
	for _, s := range usable {
		wait := f.notices.Wait(s.Target, gateways, now)
		if wait == 0 {
			open = append(open, s)
			continue
		}
		missed = append(missed, s)
		if shortest < 0 || wait < shortest {
			soonest, shortest = s, wait
		}
	}
	if len(open) == 0 {
		return []*targetState{soonest}, missed
	}
	return open, missed
}

// applyTurn adds the wait for a turn at the chosen target, if it accepts no request now, to the choice.
func (f *Fleet) applyTurn(choice Choice, now time.Time) Choice {
	if f.notices.Empty() {
		return choice
	}
	gateways := f.gatewayCountLocked()
	if wait := f.notices.Wait(choice.Target, gateways, now); wait > 0 {
		choice.HasRoom = false
		choice.TurnWait = wait
		choice.Expected += wait
		choice.SlotInterval = max(choice.SlotInterval, f.notices.Interval(choice.Target, gateways))
	}
	return choice
}

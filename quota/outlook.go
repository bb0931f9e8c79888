package quota

import (
	"slices"
	"time"
)

// Outlook is what an account expects of a request, by what it knows without asking a keeper.
type Outlook struct {
	Balance   float64 // what the account holds
	Waiting   int     // requests that wait for keepers
	Prospect  Prospect
	Keeper    string        // that would be asked first; empty for none
	Wait      time.Duration // until a refused request has room, as expected
	Keepers   int           // number of keepers
	Reachable int           // of these, not known to be absent
	Expected  float64       // what the reachable keepers have left, by their last answers
}

// Prospect is what is expected of a request.
type Prospect int

// The prospects of a request.
const (
	Covered            Prospect = iota // what the account holds covers it
	ToBeAsked                          // a keeper would be asked, which decides
	ToBeRefused                        // it would be refused without a call
	WithoutKeeper                      // no keeper can be asked
	RefusedMomentarily                 // one that costs no more was refused by the keepers a moment ago
	BehindOthers                       // it would wait for a call that is in progress
)

// String returns the name of the prospect.
func (p Prospect) String() string {
	return [...]string{"covered", "keeper-to-be-asked", "no-room", "no-keeper", "refused-a-moment-ago", "waits-for-call-in-progress"}[p]
}

// Outlook returns what is expected of a request with a cost. It changes nothing.
func (a *Account) Outlook(cost float64, now time.Time) Outlook {
	reachable := a.reachable(now)
	o := Outlook{Balance: a.Balance(now), Waiting: len(a.waiting), Keepers: len(a.keepers), Reachable: len(reachable)}
	for _, v := range reachable {
		o.Expected += max(0, v.expected(a.part, now))
	}
	if a.covers(cost, now) && len(a.waiting) == 0 {
		return o
	}
	if a.inFlight || len(a.waiting) > 0 {
		o.Prospect = BehindOthers
		return o
	}
	if a.refusedLately(cost, now) {
		o.Prospect, o.Wait = RefusedMomentarily, a.waitFor(cost-o.Balance, reachable, now)
		return o
	}
	if v, _, _ := a.choose(cost-o.Balance, now); v != nil {
		o.Prospect, o.Keeper = ToBeAsked, v.address
		return o
	}
	if !slices.ContainsFunc(reachable, func(v *keeperView) bool { return !v.answeredAt.IsZero() }) {
		o.Prospect, o.Wait = WithoutKeeper, unreachableRetryAfter
		return o
	}
	o.Prospect, o.Wait = ToBeRefused, a.waitFor(cost-o.Balance, reachable, now)
	return o
}

// covers reports whether what the account holds is enough for a cost.
func (a *Account) covers(cost float64, now time.Time) bool {
	return a.Balance(now) >= cost*(1-roundingSlack)
}

// refusedLately reports whether keepers have refused a request a moment ago that cost no more.
func (a *Account) refusedLately(cost float64, now time.Time) bool {
	return now.Before(a.refusedUntil) && cost >= a.refusedCost
}

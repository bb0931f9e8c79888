package quota

import (
	"math"
	"slices"
	"time"
)

// askFor returns the next call for a request that waits, unless nothing is to be expected of any.
func (a *Account) askFor(r *Request, now time.Time) (Ask, bool) {
	need := r.Cost - a.Balance(now)
	timeout := min(keeperTimeout, AskTimeout-now.Sub(r.since))
	if timeout <= 0 || r.Asked >= maxAttempts || (r.Asked == 0 && a.refusedLately(r.Cost, now)) {
		return Ask{}, false
	}
	v, amount, minimum := a.choose(need, now)
	if v == nil {
		return Ask{}, false
	}
	if minimum >= need { // others that wait are asked for together
		for _, w := range a.waiting[1:] {
			amount += w.Cost
		}
		amount += a.aheadTarget(now)
	}
	r.Asked++
	ask := a.ask(v, amount, minimum, now)
	ask.Timeout = timeout
	a.inFlight, a.askedAt, ask.head = true, now, r
	return ask, true
}

// choose returns the keeper to ask for a need, if it is worthwhile: one that has it all, or else the one with most if all together have
// it. A need above what all can hold is asked for in equal parts, which full keepers grant in debt.
func (a *Account) choose(need float64, now time.Time) (v *keeperView, amount, minimum float64) {
	reachable := a.reachable(now)
	if len(reachable) == 0 {
		return nil, 0, 0
	}
	full := fullShare * a.part.capacity
	total, fullCount := 0.0, 0
	for _, k := range reachable {
		left := k.expected(a.part, now)
		total += max(0, left)
		if left >= full {
			fullCount++
		}
	}
	share := need / float64(max(1, fullCount))
	switch {
	case need <= a.part.capacity || (total < need && need <= a.part.usable/2):
		if v := a.fullest(reachable, need, now); v != nil && v.expected(a.part, now) >= min(need, full) {
			return v, need, need
		}
	case total < need:
		if v := a.fullest(reachable, share, now); v != nil && v.expected(a.part, now) >= full {
			return v, share, share
		}
	}
	if v := a.fullest(reachable, 0, now); v != nil && total >= need {
		return v, min(need, v.expected(a.part, now)), 0
	}
	return nil, 0, 0
}

// fullest returns the keeper with most left among those that have not lately refused as little as minimum; nil if all have. Among keepers with
// plenty left it is the one that has lately granted least: each has its own stored level, which is low if they are used alike.
func (a *Account) fullest(keepers []*keeperView, minimum float64, now time.Time) *keeperView {
	plenty := max(minimum, plentyShare*a.part.capacity)
	var most *keeperView
	for _, v := range keepers {
		if now.Before(v.refusedUntil) && minimum >= v.refusedMinimum {
			continue
		}
		if most == nil {
			most = v
			continue
		}
		left, highest := v.expected(a.part, now), most.expected(a.part, now)
		switch {
		case min(left, highest) >= plenty:
			if v.grantedLately(a.bounds, now) < most.grantedLately(a.bounds, now) {
				most = v
			}
		case left > highest:
			most = v
		}
	}
	return most
}

// grantedLately returns what a keeper has granted, fading over a window.
func (v *keeperView) grantedLately(bounds Bounds, now time.Time) float64 {
	return v.granted * math.Exp(-now.Sub(v.grantedAt).Seconds()/bounds.Window.Seconds())
}

// askAhead returns a call that no request waits for, if what is held is less than half of what the demand calls for.
func (a *Account) askAhead(now time.Time) (Ask, bool) {
	target, balance := a.aheadTarget(now), a.Balance(now)
	if target <= 0 || balance > target/2 || now.Sub(a.askedAt) < aheadInterval {
		return Ask{}, false
	}
	amount := target - balance
	most := a.fullest(a.reachable(now), amount/2, now)
	if most == nil || most.expected(a.part, now) < 2*amount {
		return Ask{}, false // what is left is for requests that wait
	}
	ask := a.ask(most, amount, amount/2, now)
	ask.Timeout = keeperTimeout
	a.inFlight, a.askedAt = true, now
	return ask, true
}

// aheadTarget returns what is to be held for requests that are yet to come.
func (a *Account) aheadTarget(now time.Time) float64 {
	fade := math.Exp(-now.Sub(a.demandAt).Seconds() / demandSpan.Seconds())
	perSecond, count := a.demandCost*fade/demandSpan.Seconds(), a.demandCount*fade/demandSpan.Seconds()
	if count*aheadSpan.Seconds() < minAheadRequests {
		return 0
	}
	target := perSecond*aheadSpan.Seconds() + perSecond/count
	return min(target, aheadPartShare*a.part.capacity*float64(len(a.keepers)))
}

// countDemand adds a request to the demand.
func (a *Account) countDemand(cost float64, now time.Time) {
	fade := math.Exp(-now.Sub(a.demandAt).Seconds() / demandSpan.Seconds())
	if a.demandAt.IsZero() {
		fade = 0
	}
	a.demandCost, a.demandCount, a.demandAt = a.demandCost*fade+cost, a.demandCount*fade+1, now
}

// ask returns a call to a keeper that takes along what is to be returned there.
func (a *Account) ask(v *keeperView, amount, minimum float64, now time.Time) Ask {
	in := Reservation{Customer: a.customer, Limit: a.limit, Amount: amount, Minimum: minimum, KeeperFor: now.Sub(v.since), Beside: v.beside}
	a.returns = slices.DeleteFunc(a.returns, func(p refund) bool {
		if p.keeper != v.address {
			return false
		}
		in.Returned += p.amount
		in.ReturnedAge = max(in.ReturnedAge, now.Sub(p.askedAt))
		return true
	})
	return Ask{Keeper: v.address, Reservation: in, Timeout: keeperTimeout, askedAt: now}
}

// reachable returns the keepers that are not known to be absent.
func (a *Account) reachable(now time.Time) []*keeperView {
	return slices.DeleteFunc(slices.Clone(a.keepers), func(v *keeperView) bool { return now.Before(v.absentUntil) })
}

func (a *Account) view(address string) *keeperView {
	for _, v := range a.keepers {
		if v.address == address {
			return v
		}
	}
	return nil
}

// expected returns what a keeper can grant by its last answer; one that has not answered yet may be full.
func (v *keeperView) expected(p part, now time.Time) float64 {
	if v.answeredAt.IsZero() {
		return p.capacity
	}
	return min(p.capacity, v.left+p.rate*now.Sub(v.answeredAt).Seconds())
}

// waitFor returns the time until the keepers have a need together, or one of them is full if it is above that.
func (a *Account) waitFor(need float64, keepers []*keeperView, now time.Time) time.Duration {
	total, capacity := 0.0, 0.0
	for _, v := range keepers {
		total += v.expected(a.part, now)
		capacity += a.part.capacity
	}
	rate := a.part.rate * float64(len(keepers))
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := (min(need, fullShare*capacity) - total) / rate
	return max(refusedPause, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
}

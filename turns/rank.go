package turns

import (
	"cmp"
	"time"

	"gypsumbank/fairshare"
)

// urgentSlack is the time that a request may still wait without missing its objective below which it counts as one of the most
// urgent: within it the next turn comes. With 300 ms and more, patient requests fare better than urgent ones in a lasting overload.
const urgentSlack = 150 * time.Millisecond

// Rank is what a wait costs the caller of a request.
type Rank struct {
	Priority  int           // 0 is the most urgent
	Objective time.Time     // by when the first token is due
	Prefill   time.Duration // expected time from the send to the first token
	Returned  bool          // the caller has come back after a refusal
	Customer  fairshare.Customer
	Weight    float64 // of the customer's share over an equal one; less than 1 counts as 1

	share share // set by Share; zero if all requests that wait are of one customer
}

// slack returns for how long the request may still wait without missing its objective; negative if it misses it already.
func (r Rank) slack(now time.Time) time.Duration { return r.Objective.Sub(now) - r.Prefill }

// Service returns the service that the customer receives with the request, for an equal share: its prefill time over the weight.
func (r Rank) Service() time.Duration { return time.Duration(float64(r.Prefill) / max(1, r.Weight)) }

// class returns the priority that the request counts with now: patient requests count like the most urgent ones once their slack
// is used up, unless their customer has received more than its share.
func (r Rank) class(now time.Time) int {
	if slack := r.slack(now); slack >= 0 && slack <= urgentSlack+r.share.lead && !r.share.exceeded {
		return -1
	}
	return r.Priority
}

// Compare returns a negative number if a request of rank r is served before one of the other rank: the more urgent ones come
// first, of equally urgent ones those of customers that have not received more than their share, of these the ones that can
// still meet their objective, then those of customers with less service, those that have come back, and those with the least slack. An urgent request that misses its objective still comes before patient ones with time to spare.
func (r Rank) Compare(other Rank, now time.Time) int {
	slack, otherSlack := r.slack(now), other.slack(now)
	return cmp.Or(
		cmp.Compare(r.class(now), other.class(now)),
		compareFlags(r.share.exceeded, other.share.exceeded),
		-compareFlags(slack >= 0, otherSlack >= 0),
		cmp.Compare(r.share.service, other.share.service),
		-compareFlags(r.Returned, other.Returned),
		cmp.Compare(slack, otherSlack),
	)
}

// compareFlags returns 1 if only a is set, and -1 if only b is.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

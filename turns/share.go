package turns

import (
	"slices"
	"time"

	"gypsumbank/fairshare"
)

// leadPrompts is the number of prompts of customers beyond their share that a request may have to wait for once it counts as one of
// the most urgent: one that is being prefilled, and one granted while another urgent request waited.
const leadPrompts = 2

// share is what the recent service of customers changes about the rank of a request.
type share struct {
	service  time.Duration // of the customer, with that of its requests before this one
	exceeded bool          // the customer has received more than its share; never set without a customer
	lead     time.Duration // by which its slack counts as used up earlier
}

// Share sets what the recent service of customers changes about the ranks of requests that wait for the same engine. They are in the
// order that they have without it. The service of each includes that of its customer's requests before it, so that customers
// alternate, and that a grant does not change the order of the others. Requests without a customer, also those of older gateways, have
// the service of one customer but keep their urgency: they may be of many. It returns whether there are several customers.
func Share(inOrder []*Rank, record *fairshare.Record, now time.Time) bool {
	if !slices.ContainsFunc(inOrder, func(r *Rank) bool { return r.Customer != inOrder[0].Customer }) {
		return false
	}
	recorded, service := map[fairshare.Customer]time.Duration{}, map[fairshare.Customer]time.Duration{}
	sum := time.Duration(0)
	for _, r := range inOrder {
		if _, ok := recorded[r.Customer]; !ok {
			recorded[r.Customer] = record.Service(r.Customer, now)
			service[r.Customer] = recorded[r.Customer]
			sum += recorded[r.Customer]
		}
	}
	limit := fairshare.Average{Mean: sum / time.Duration(len(recorded)), Customers: len(recorded)}.Limit()
	longest := time.Duration(0) // of the prompts of customers beyond their share
	for _, r := range inOrder {
		r.share = share{service: service[r.Customer], exceeded: r.Customer != 0 && recorded[r.Customer] > limit}
		service[r.Customer] += r.Service()
		if r.share.exceeded {
			longest = max(longest, r.Prefill)
		}
	}
	for _, r := range inOrder {
		r.share.lead = leadPrompts * longest
	}
	return true
}

// WithoutShare returns the rank that the request has without the service of customers.
func (r Rank) WithoutShare() Rank {
	r.share = share{}
	return r
}

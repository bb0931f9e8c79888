package route

import (
	"cmp"
	"crypto/sha256"
	"slices"
)

// Customer is a holder of keys, as the routes list it.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int // of its requests, in place of the route's; nil to keep that
	Quota    Quota
}

// Unit is what a quota counts.
type Unit int

// The units of quotas.
const (
	Requests Unit = iota // each request counts as one
	Tokens               // a request counts as its prompt tokens and the limit on its output tokens
)

// Quota bounds what a customer's requests may use at all gateways together.
type Quota struct {
	Unit        Unit
	PerSecond   float64 // 0 for no limit
	Burst       float64
	PlainTokens int // tokens that a request counts as which names none
}

// IsLimited reports whether there is a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Cost returns what a request with the given tokens counts as; namesTokens tells whether it names them.
func (q Quota) Cost(promptTokens, maxOutputTokens int, namesTokens bool) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case !namesTokens:
		return float64(q.PlainTokens)
	}
	return float64(promptTokens + maxOutputTokens)
}

// keyHash is the SHA-256 hash of a key. Lookups by hash take the same time whatever part of a key is right.
type keyHash [sha256.Size]byte

// WithCustomers returns a copy of the table with customers, whose keys requests need on routes that are not public.
func (t *Table) WithCustomers(customers []Customer) *Table {
	out := *t
	out.customers = make(map[string]*Customer, len(customers))
	out.customersByKey = map[keyHash]*Customer{}
	for i := range customers {
		c := &customers[i]
		out.customers[c.Name] = c
		for _, key := range c.Keys {
			out.customersByKey[sha256.Sum256([]byte(key))] = c
		}
	}
	out.meanQuotas = meanQuotas(out.customers)
	out.priorities = out.allPriorities()
	return &out
}

// Weight returns the weight of a customer's share where requests wait for the same targets: its quota over the mean of all quotas of the same unit,
// at least 1, so that a customer with a small quota or none has an equal share.
func (t *Table) Weight(c *Customer) float64 {
	mean := t.meanQuotas[c.Quota.Unit]
	if mean == 0 {
		return 1
	}
	return max(1, c.Quota.PerSecond/mean)
}

// meanQuotas returns the mean rates of the customers' quotas by unit, without the units that no quota has.
func meanQuotas(customers map[string]*Customer) map[Unit]float64 {
	sums, limited := map[Unit]float64{}, map[Unit]int{}
	for _, c := range customers {
		if c.Quota.IsLimited() {
			sums[c.Quota.Unit] += c.Quota.PerSecond
			limited[c.Quota.Unit]++
		}
	}
	for unit, count := range limited {
		sums[unit] /= float64(count)
	}
	return sums
}

// HasCustomers reports whether requests need a key on routes that are not public.
func (t *Table) HasCustomers() bool { return t.customers != nil }

// Authenticate returns the customer that holds a key.
func (t *Table) Authenticate(key string) (*Customer, bool) {
	c, ok := t.customersByKey[sha256.Sum256([]byte(key))]
	return c, ok
}

// Customer returns the customer with a name.
func (t *Table) Customer(name string) (*Customer, bool) {
	c, ok := t.customers[name]
	return c, ok
}

// Customers returns all customers by name; nil if there are none.
func (t *Table) Customers() map[string]*Customer { return t.customers }

// PriorityLevels is the number of priorities that engines tell apart, from 0 for the most urgent.
const PriorityLevels = 10

// priorityPair is what the priority of a request follows from: the customer's comes first, and the route's orders the requests of customers
// with the same priority.
type priorityPair struct{ customer, route int }

func (p priorityPair) compare(other priorityPair) int {
	return cmp.Or(cmp.Compare(p.customer, other.customer), cmp.Compare(p.route, other.route))
}

// pairOf returns the priorities of a customer's requests on a route; the customer may be nil.
func pairOf(c *Customer, r *Route) priorityPair {
	if c != nil && c.Priority != nil {
		return priorityPair{customer: *c.Priority, route: r.Priority}
	}
	return priorityPair{customer: r.Priority, route: r.Priority}
}

// Priority returns the priority of a customer's requests on a route, 0 for the most urgent; the customer may be nil. Without customers it
// is the route's, else the place of both priorities among all pairs that the table has, on PriorityLevels levels.
func (t *Table) Priority(c *Customer, r *Route) int {
	if !t.HasCustomers() {
		return r.Priority
	}
	place, found := slices.BinarySearchFunc(t.priorities, pairOf(c, r), priorityPair.compare)
	if !found || len(t.priorities) <= PriorityLevels {
		return min(place, PriorityLevels-1)
	}
	return place * PriorityLevels / len(t.priorities)
}

// allPriorities returns the priorities that requests may have, in order.
func (t *Table) allPriorities() []priorityPair {
	var pairs []priorityPair
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			pairs = append(pairs, pairOf(nil, r))
			for _, c := range t.customers {
				pairs = append(pairs, pairOf(c, r))
			}
		}
	}
	slices.SortFunc(pairs, priorityPair.compare)
	return slices.Compact(pairs)
}

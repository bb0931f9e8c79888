package route

import "crypto/sha256"

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
	return &out
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

// PriorityOf returns the priority of a customer's requests on a route, 0 for the most urgent; the customer may be nil.
func PriorityOf(c *Customer, r *Route) int {
	if c != nil && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}

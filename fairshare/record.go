package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// DecayTime is the time in which recorded service decays to 1/e of its amount. A customer that keeps an engine busy has at most
// that much recorded, so it bounds how long a customer that was idle comes first. It is longer than the time in which
// a request for a long prompt is usually served, and as long as a burst of some seconds.
const DecayTime = 5 * time.Second

const (
	// excess is the factor on the mean service from which a customer has received more than its share. In an even overload
	// customers exceed a lower one by turns.
	excess = 1.5
	// minExcess is the least service that is more than a share, some two long prompts: with many customers each prompt exceeds the
	// mean by far.
	minExcess = DecayTime / 10
	// MaxCustomers bounds the customers of a record.
	MaxCustomers = 1024
	// negligible is the service below which a customer counts as one without any.
	negligible = time.Millisecond
)

// Customer identifies a customer by a hash of its name; 0 stands for all requests without one.
type Customer uint64

type entry struct {
	service float64 // in ns, at the time of the latest change
	at      time.Time
}

// Record holds the decaying service of customers, each for an equal share. It is not safe for use by several goroutines.
type Record struct{ customers map[Customer]entry }

// New returns an empty record.
func New() *Record { return &Record{customers: map[Customer]entry{}} }

// Add records service that a customer is granted.
func (r *Record) Add(c Customer, service time.Duration, now time.Time) {
	if service <= 0 {
		return
	}
	r.customers[c] = entry{r.current(c, now) + float64(service), now}
	if len(r.customers) > MaxCustomers {
		r.forget(now)
	}
}

// Return takes back service that was recorded at grantedAt and not used. What has decayed of it since is not taken back again.
func (r *Record) Return(c Customer, service time.Duration, grantedAt, now time.Time) {
	if _, ok := r.customers[c]; !ok || service <= 0 {
		return
	}
	left := r.current(c, now) - float64(service)*decay(now.Sub(grantedAt))
	if left < float64(negligible) {
		delete(r.customers, c)
		return
	}
	r.customers[c] = entry{left, now}
}

// Service returns the recent service of a customer.
func (r *Record) Service(c Customer, now time.Time) time.Duration {
	return time.Duration(r.current(c, now))
}

// Average returns the mean recent service of the customers that have received any.
func (r *Record) Average(now time.Time) Average {
	total, customers := 0.0, 0
	for c := range r.customers {
		if service := r.current(c, now); service >= float64(negligible) {
			total += service
			customers++
		}
	}
	return Average{Mean: time.Duration(total / float64(max(1, customers))), Customers: customers}
}

// Len returns the number of customers in the record.
func (r *Record) Len() int { return len(r.customers) }

func (r *Record) current(c Customer, now time.Time) float64 {
	e, ok := r.customers[c]
	if !ok {
		return 0
	}
	return e.service * decay(now.Sub(e.at))
}

// forget removes the quarter of the customers that has the least service, so that a record at its bound is not searched for
// each new customer.
func (r *Record) forget(now time.Time) {
	byService := make([]Customer, 0, len(r.customers))
	for c := range r.customers {
		byService = append(byService, c)
	}
	slices.SortFunc(byService, func(a, b Customer) int { return cmp.Compare(r.current(a, now), r.current(b, now)) })
	for _, c := range byService[:len(byService)/4] {
		delete(r.customers, c)
	}
}

// decay returns the share of service that is left after a time. A clock that was set back does not increase service.
func decay(d time.Duration) float64 { return math.Exp(-max(0, d.Seconds()) / DecayTime.Seconds()) }

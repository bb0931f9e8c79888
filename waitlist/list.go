package waitlist

import (
	"slices"
	"sync"
	"time"

	"gypsumbank/fairshare"
	"gypsumbank/turns"
)

// Key identifies the targets that a request waits for: those of a service that hold a model.
type Key struct{ Service, Model string }

// Rank decides the order of the requests that wait for the same targets.
type Rank struct {
	Begun         bool      // the caller has a part of the answer already
	Priority      int       // of the request, 0 is the most urgent
	RoutePriority int       // orders requests of equal priority
	Objective     time.Time // by when the answer has to begin to have its full value
	// Cost is what a wait costs the caller; where all requests that wait have it, it decides between those of equal Begun, together with
	// the service that their customers have been granted.
	Cost *turns.Rank
}

// before reports whether a request of rank r is served before one of rank other: streams that have begun come first, then requests
// that can still meet their objective, of these the more urgent ones, and of equally urgent ones those of the more
// urgent route, and of these the one with the earlier objective.
func (r Rank) before(other Rank, now time.Time) bool {
	if r.Begun != other.Begun {
		return r.Begun
	}
	if r.Cost != nil && other.Cost != nil {
		return r.Cost.Compare(*other.Cost, now) < 0
	}
	missed, otherMissed := now.After(r.Objective), now.After(other.Objective)
	if missed != otherMissed {
		return otherMissed
	}
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	if r.RoutePriority != other.RoutePriority {
		return r.RoutePriority < other.RoutePriority
	}
	return r.Objective.Before(other.Objective)
}

// withoutShare returns the rank that the request has without the service of customers.
func (r Rank) withoutShare() Rank {
	if r.Cost != nil {
		cost := r.Cost.WithoutShare()
		r.Cost = &cost
	}
	return r
}

// withoutCost returns the rank as it is among requests that do not all have a Cost.
func (r Rank) withoutCost() Rank {
	r.Cost = nil
	return r
}

// shareInterval is the time for which the influence of customers' service on an order is kept while no request joins or leaves: the
// first one that waits checks for room as often.
const shareInterval = 8 * time.Millisecond

// group holds the requests that wait for the same targets.
type group struct {
	places   []*Place  // in order of arrival
	sharedAt time.Time // when the customers' service was taken into account; zero if that is to be done anew
}

// List holds the waiting requests. Its methods may be called by several goroutines.
type List struct {
	mu      sync.Mutex
	groups  map[Key]*group
	service *fairshare.Record // expected prefill time of the requests that were sent for customers
}

// Place is the place of one request in the list, from Join to Leave.
type Place struct {
	list *List
	key  Key
	rank Rank
}

// New returns an empty list.
func New() *List { return &List{groups: map[Key]*group{}, service: fairshare.New()} }

func (l *List) newPlace(key Key, rank Rank) *Place {
	if rank.Cost != nil {
		cost := *rank.Cost
		rank.Cost = &cost
	}
	return &Place{list: l, key: key, rank: rank}
}

// Join adds a request to those that wait for the same targets.
func (l *List) Join(key Key, rank Rank) *Place {
	p := l.newPlace(key, rank)
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[key]
	if g == nil {
		g = &group{}
		l.groups[key] = g
	}
	g.places, g.sharedAt = append(g.places, p), time.Time{}
	return p
}

// Len returns the number of requests that wait for the targets of key.
func (l *List) Len(key Key) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.placesLocked(key))
}

func (l *List) placesLocked(key Key) []*Place {
	if g := l.groups[key]; g != nil {
		return g.places
	}
	return nil
}

// Ahead returns the number of requests that wait for the same targets and are served before this one.
func (p *Place) Ahead(now time.Time) int {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	if g := p.list.groups[p.key]; g != nil && (g.sharedAt.IsZero() || now.Sub(g.sharedAt).Abs() >= shareInterval) {
		p.list.shareLocked(g.places, now)
		g.sharedAt = now
	}
	return p.aheadLocked(now, func(r Rank) Rank { return r })
}

// aheadLocked returns the number of requests ahead of this one by the ranks that view returns. Cost counts only if all that wait have it, or the order
// would be none: the rules with and without it may put three requests in a circle, in which none is the first.
func (p *Place) aheadLocked(now time.Time, view func(Rank) Rank) int {
	places := p.list.placesLocked(p.key)
	if p.rank.Cost == nil || slices.ContainsFunc(places, func(other *Place) bool { return other.rank.Cost == nil }) {
		view = Rank.withoutCost
	}
	rank := view(p.rank)
	ahead, arrivedBefore := 0, true
	for _, other := range places {
		if other == p {
			arrivedBefore = false
			continue
		}
		if otherRank := view(other.rank); otherRank.before(rank, now) || (arrivedBefore && !rank.before(otherRank, now)) {
			ahead++
		}
	}
	return ahead
}

// shareLocked sets what the service of customers changes about the ranks of requests that wait for the same targets.
func (l *List) shareLocked(places []*Place, now time.Time) {
	inOrder := make([]*Place, 0, len(places))
	for _, p := range places {
		if p.rank.Cost != nil {
			*p.rank.Cost = p.rank.Cost.WithoutShare()
			inOrder = append(inOrder, p)
		}
	}
	if !slices.ContainsFunc(inOrder, func(p *Place) bool { return p.rank.Cost.Customer != inOrder[0].rank.Cost.Customer }) {
		return
	}
	slices.SortStableFunc(inOrder, func(a, b *Place) int {
		switch {
		case a.rank.before(b.rank, now):
			return -1
		case b.rank.before(a.rank, now):
			return 1
		}
		return 0
	})
	ranks := make([]*turns.Rank, len(inOrder))
	for i, p := range inOrder {
		ranks[i] = p.rank.Cost
	}
	turns.Share(ranks, l.service, now)
}

// AheadOf returns the number of waiting requests that would be served before one that came now with the given rank.
func (l *List) AheadOf(key Key, rank Rank, now time.Time) int {
	p := l.newPlace(key, rank)
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.groups[key]; g != nil {
		l.shareLocked(append(slices.Clone(g.places), p), now)
		g.sharedAt = time.Time{} // without p the influence is another one
	}
	return p.aheadLocked(now, func(r Rank) Rank { return r })
}

// IsFirstByShare reports whether the request is the first only as its customer has been granted less service than others.
func (p *Place) IsFirstByShare(now time.Time) bool {
	if p.Ahead(now) > 0 {
		return false
	}
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	return p.aheadLocked(now, Rank.withoutShare) > 0
}

// Leave removes the request from the list; further calls have no effect.
func (p *Place) Leave() {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	g := p.list.groups[p.key]
	if g == nil {
		return
	}
	g.places, g.sharedAt = slices.DeleteFunc(g.places, func(other *Place) bool { return other == p }), time.Time{}
	if len(g.places) == 0 {
		delete(p.list.groups, p.key)
	}
}

// Grant is service that a customer was granted by sending one of its requests.
type Grant struct {
	list     *List
	customer fairshare.Customer
	service  time.Duration
	at       time.Time
}

// Grant records that a request is sent, whether it has waited or not. The grant is nil if the rank has no Cost.
func (l *List) Grant(rank Rank, now time.Time) *Grant {
	if rank.Cost == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	service := rank.Cost.Service()
	l.service.Add(rank.Cost.Customer, service, now)
	return &Grant{list: l, customer: rank.Cost.Customer, service: service, at: now}
}

// Return takes the service back from the customer, as the request has not run after all. A nil grant has none.
func (g *Grant) Return(now time.Time) {
	if g == nil {
		return
	}
	g.list.mu.Lock()
	defer g.list.mu.Unlock()
	g.list.service.Return(g.customer, g.service, g.at, now)
	g.service = 0
}

// Service returns the recent service of a customer.
func (l *List) Service(customer fairshare.Customer, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service.Service(customer, now)
}

// Position returns how the recent service of a customer compares with the mean.
func (l *List) Position(customer fairshare.Customer, now time.Time) fairshare.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service.Average(now).Position(l.service.Service(customer, now))
}

package waitlist

import (
	"slices"
	"sync"
	"time"

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
	// Cost is what a wait costs the caller; where both requests have it, it decides between those of equal Begun.
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

// List holds the waiting requests. Its methods may be called by several goroutines.
type List struct {
	mu      sync.Mutex
	waiting map[Key][]*Place // in order of arrival
}

// Place is the place of one request in the list, from Join to Leave.
type Place struct {
	list *List
	key  Key
	rank Rank
}

// New returns an empty list.
func New() *List { return &List{waiting: map[Key][]*Place{}} }

// Join adds a request to those that wait for the same targets.
func (l *List) Join(key Key, rank Rank) *Place {
	p := &Place{list: l, key: key, rank: rank}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[key] = append(l.waiting[key], p)
	return p
}

// Len returns the number of requests that wait for the targets of key.
func (l *List) Len(key Key) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting[key])
}

// Ahead returns the number of requests that wait for the same targets and are served before this one.
func (p *Place) Ahead(now time.Time) int {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	ahead, arrivedBefore := 0, true
	for _, other := range p.list.waiting[p.key] {
		switch {
		case other == p:
			arrivedBefore = false
		case other.rank.before(p.rank, now) || (arrivedBefore && !p.rank.before(other.rank, now)):
			ahead++
		}
	}
	return ahead
}

// AheadOf returns the number of waiting requests that would be served before one that came now with the given rank.
func (l *List) AheadOf(key Key, rank Rank, now time.Time) int {
	return (&Place{list: l, key: key, rank: rank}).Ahead(now)
}

// Leave removes the request from the list; further calls have no effect.
func (p *Place) Leave() {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	rest := slices.DeleteFunc(p.list.waiting[p.key], func(other *Place) bool { return other == p })
	if len(rest) == 0 {
		delete(p.list.waiting, p.key)
		return
	}
	p.list.waiting[p.key] = rest
}

package gateway

import (
	"sync"
	"time"

	"gypsumbank/registry"
	"gypsumbank/wire"
)

// relayFresh is the age up to which a gateway relies on what agents have read in the store; their reads are at most a
// second apart.
const relayFresh = 1500 * time.Millisecond

// relayed holds what agents have read in the platform's store for the gateways.
type relayed struct {
	mu      sync.Mutex
	reads   map[string]*read // by agent
	adopted adopted
	changed chan struct{} // holds a value after a change
}

// read is what one agent has read.
type read struct {
	at            time.Time
	routesVersion int64
	revision      uint64
	targets       []registry.Target
}

// adopted names the targets that were last handed on.
type adopted struct {
	agent    string
	revision uint64
}

func newRelayed() *relayed {
	return &relayed{reads: map[string]*read{}, changed: make(chan struct{}, 1)}
}

// take takes over what an agent has read in the store.
func (b *relayed) take(agent string, storeReads *wire.StoreReads, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reads[agent]
	if r == nil {
		r = &read{}
		b.reads[agent] = r
	}
	if storeReads.GetHasTargets() {
		r.targets, r.revision = targetsOf(storeReads), storeReads.GetRevision()
	}
	if r.revision != storeReads.GetRevision() {
		return // a message with targets was lost
	}
	news := r.routesVersion != storeReads.GetRoutesVersion() || storeReads.GetHasTargets()
	r.at, r.routesVersion = now.Add(-time.Duration(storeReads.GetAgeMs())*time.Millisecond), storeReads.GetRoutesVersion()
	if news {
		select {
		case b.changed <- struct{}{}:
		default:
		}
	}
}

// forget drops what an agent has read.
func (b *relayed) forget(agent string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reads, agent)
}

// fresh reports whether an agent has read the store so recently that the gateway need not.
func (b *relayed) fresh(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, newest := b.newest()
	return newest != nil && now.Sub(newest.at) < relayFresh
}

// targets returns the targets of the latest read, unless they were returned before.
func (b *relayed) targets() (targets []registry.Target, readAt time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	agent, newest := b.newest()
	if newest == nil || b.adopted == (adopted{agent, newest.revision}) {
		return nil, time.Time{}, false
	}
	b.adopted = adopted{agent, newest.revision}
	return newest.targets, newest.at, true
}

// routesVersion returns the highest version of routes that an agent has read.
func (b *relayed) routesVersion() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	version := int64(0)
	for _, r := range b.reads {
		version = max(version, r.routesVersion)
	}
	return version
}

func (b *relayed) newest() (string, *read) {
	var from string
	var newest *read
	for agent, r := range b.reads {
		if newest == nil || r.at.After(newest.at) {
			from, newest = agent, r
		}
	}
	return from, newest
}

func targetsOf(storeReads *wire.StoreReads) []registry.Target {
	targets := make([]registry.Target, 0, len(storeReads.GetTargets()))
	for _, t := range storeReads.GetTargets() {
		target := registry.Target{
			ID: t.GetId(), Born: t.GetBorn(), Service: t.GetService(), Address: t.GetAddress(),
			AvailabilityZone: t.GetAvailabilityZone(), Slots: int(t.GetSlots()), Draining: t.GetDraining(),
		}
		if t.GetCold() {
			target.ColdRemaining = coldUnknown
		}
		targets = append(targets, target)
	}
	return targets
}

// coldUnknown stands for the rest of a cold start whose length was not told.
const coldUnknown = time.Second

package gateway

import (
	"errors"
	"sync"
	"time"

	"gypsumbank/epoch"
	"gypsumbank/history"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// maxRoutesLag is how long this gateway is assumed to get the newer routes that an agent has read. After that a read of the store that does not find them
// shows that there are none: the store may have come back from an older copy.
const maxRoutesLag = 10 * time.Second

// relayMaxAge is the age up to which a gateway relies on reads of the targets by agents, which are at most a second apart.
const relayMaxAge = 1500 * time.Millisecond

// relayedReads holds what agents have read from the platform's store for the gateways, which then need not read it
// themselves.
type relayedReads struct {
	mu           sync.Mutex
	reads        map[string]*storeRead // by agent address
	lastReturned readKey
	returnedAt   time.Time     // time of the last read that was returned
	newestRoutes int64         // highest version of the routes that any agent has told, also one that is no longer connected
	routesRoseAt time.Time     // when that was first reported
	changed      chan struct{} // holds a value after a change of targets or of the version of the routes
	routesRose   chan struct{} // holds a value after an agent has read a higher version of the routes than all others
}

// targetsRead is one read of the registered targets.
type targetsRead struct {
	targets []registry.Target
	readAt  time.Time
	span    history.Span // of the store's history, in which they were read
	byAgent bool         // an agent has read them, which keeps the row of software versions
}

// storeRead is what one agent has read from the store.
type storeRead struct {
	targetsRead
	routesVersion int64
	routesReadAt  time.Time
	revision      uint64
}

// readKey identifies the targets that an agent has read.
type readKey struct {
	agent    string
	revision uint64
}

func newRelayedReads() *relayedReads {
	return &relayedReads{reads: map[string]*storeRead{}, changed: make(chan struct{}, 1), routesRose: make(chan struct{}, 1)}
}

// errTargetsMissing reports that an agent has sent changes to targets which this gateway does not have, so that it must connect to the
// agent again to get all of them.
var errTargetsMissing = errors.New("changes to targets that are not known")

// record stores what an agent has read from the store and sent no earlier than at a time. Reads of agents of an earlier release, which do not tell their place in
// the store's history, are ignored. The error is errTargetsMissing if the targets of the agent's revision can't be known from what it has sent.
func (r *relayedReads) record(agent string, storeReads *wire.StoreReads, sentAt time.Time) error {
	if storeReads.GetLastVersion() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.reads[agent]
	if read == nil {
		read = &storeRead{}
		r.reads[agent] = read
	}
	if base := storeReads.GetBaseRevision(); storeReads.GetHasTargets() && (base == 0 || base == read.revision) {
		read.targets, read.revision = applyTargets(read.targets, storeReads), storeReads.GetRevision()
	}
	if read.revision != storeReads.GetRevision() {
		return errTargetsMissing
	}
	readIn := epoch.Epoch(storeReads.GetStoreEpoch())
	if storeReads.GetRoutesVersion() > r.newestRoutes {
		r.newestRoutes, r.routesRoseAt = storeReads.GetRoutesVersion(), sentAt
	}
	if storeReads.GetRoutesVersion() > r.highestRoutes() {
		select {
		case r.routesRose <- struct{}{}:
		default:
		}
	}
	hasChanges := read.routesVersion != storeReads.GetRoutesVersion() || storeReads.GetHasTargets() || read.span.Epoch() != readIn
	read.span = history.New(readIn, storeReads.GetFirstVersion(), storeReads.GetLastVersion())
	routesAge, targetsAge := agesOf(storeReads)
	read.readAt, read.routesReadAt, read.routesVersion = sentAt.Add(-targetsAge), sentAt.Add(-routesAge), storeReads.GetRoutesVersion()
	if hasChanges {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
	return nil
}

// agesOf returns the ages of an agent's reads of the routes and of the targets. Agents of an earlier release tell that of the older one.
func agesOf(storeReads *wire.StoreReads) (routes, targets time.Duration) {
	if storeReads.GetEchoedMs() == 0 {
		age := time.Duration(storeReads.GetAgeMs()) * time.Millisecond
		return age, age
	}
	return time.Duration(storeReads.GetRoutesAgeMs()) * time.Millisecond, time.Duration(storeReads.GetTargetsAgeMs()) * time.Millisecond
}

// remove drops the reads of an agent. It may have restarted, and then counts its revisions anew.
func (r *relayedReads) remove(agent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reads, agent)
	if r.lastReturned.agent == agent {
		r.lastReturned = readKey{}
	}
}

// isFresh reports whether an agent has read the targets within relayMaxAge, so that the gateway need not.
func (r *relayedReads) isFresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, latest := r.latest()
	return latest != nil && now.Sub(latest.readAt) < relayMaxAge
}

// routesReadAt returns the latest time for which an agent's read shows which routes the store had; zero if there is none.
func (r *relayedReads) routesReadAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var latest time.Time
	for _, read := range r.reads {
		if read.routesReadAt.After(latest) {
			latest = read.routesReadAt
		}
	}
	return latest
}

// newTargets returns the latest read of the targets, also if they have not changed: a later read shows that they still hold. ok
// is false if there is no read or it was the last one returned. The gateway itself may have made a later one.
func (r *relayedReads) newTargets() (read targetsRead, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	agent, latest := r.latest()
	if latest == nil || (r.lastReturned == (readKey{agent, latest.revision}) && !latest.readAt.After(r.returnedAt)) {
		return targetsRead{}, false
	}
	r.lastReturned, r.returnedAt = readKey{agent, latest.revision}, latest.readAt
	read = latest.targetsRead
	read.byAgent = true
	return read, true
}

// routesVersion returns the highest version of the routes that any agent has read.
func (r *relayedReads) routesVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.highestRoutes()
}

// agentsAfter returns the addresses of the agents that have read a newer version of the routes than the given one.
func (r *relayedReads) agentsAfter(version int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var agents []string
	for agent, read := range r.reads {
		if read.routesVersion > version {
			agents = append(agents, agent)
		}
	}
	return agents
}

// expectsRoutesAfter reports whether an agent has read a newer version of the routes than the given one, which has been confirmed at a time.
func (r *relayedReads) expectsRoutesAfter(version int64, confirmedAt, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestRoutes > version && (now.Sub(r.routesRoseAt) < maxRoutesLag || !confirmedAt.After(r.routesRoseAt))
}

// highestRoutes is routesVersion for callers that hold the lock.
func (r *relayedReads) highestRoutes() int64 {
	version := int64(0)
	for _, read := range r.reads {
		version = max(version, read.routesVersion)
	}
	return version
}

// isLater reports whether a read was made after another: by the store's history, and by the agents' clocks where that does not tell.
func (r *storeRead) isLater(other *storeRead) bool {
	follows, precedes := r.span.Follows(other.span), other.span.Follows(r.span)
	if follows != precedes {
		return follows
	}
	return r.readAt.After(other.readAt)
}

// latest returns the latest read and the agent that made it; the caller holds the lock.
func (r *relayedReads) latest() (string, *storeRead) {
	var latestAgent string
	var latest *storeRead
	for agent, read := range r.reads {
		if latest == nil || read.isLater(latest) {
			latestAgent, latest = agent, read
		}
	}
	return latestAgent, latest
}

// applyTargets returns the targets that an agent has sent, or those known with its changes to them. It does not change the slice, which
// may have been returned.
func applyTargets(known []registry.Target, storeReads *wire.StoreReads) []registry.Target {
	sent := decodeTargets(storeReads)
	if storeReads.GetBaseRevision() == 0 {
		return sent
	}
	replaced := make(map[string]bool, len(sent)+len(storeReads.GetRemovedIds()))
	for _, t := range sent {
		replaced[t.ID] = true
	}
	for _, id := range storeReads.GetRemovedIds() {
		replaced[id] = true
	}
	for _, t := range known {
		if !replaced[t.ID] {
			sent = append(sent, t)
		}
	}
	return sent
}

func decodeTargets(storeReads *wire.StoreReads) []registry.Target {
	targets := make([]registry.Target, 0, len(storeReads.GetTargets()))
	for _, t := range storeReads.GetTargets() {
		target := registry.Target{
			ID: t.GetId(), Born: t.GetBorn(), Service: t.GetService(), Address: t.GetAddress(),
			AvailabilityZone: t.GetAvailabilityZone(), Slots: int(t.GetSlots()), Draining: t.GetDraining(), SoftwareVersion: registry.SoftwareVersion(t.GetSoftwareVersion()),
		}
		if t.GetCold() {
			target.ColdRemaining = assumedColdTime
		}
		targets = append(targets, target)
	}
	return targets
}

// assumedColdTime is the assumed rest of a cold start, since agents do not relay its length.
const assumedColdTime = time.Second

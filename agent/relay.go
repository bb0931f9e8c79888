package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbank/pause"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

const (
	// relayLifetime is the age at which the request of a gateway to read the store for it lapses.
	relayLifetime = 3 * time.Second
	// targetsInterval leaves half of the platform's drain time for requests on their way to a leaving target.
	targetsInterval = 700 * time.Millisecond
	// relayHeartbeat is the longest pause between two states of an agent that reads the store for gateways.
	relayHeartbeat = 300 * time.Millisecond
	// startPhase is the time after the start in which targets, which may have started together with this process, are
	// read each startInterval.
	startPhase    = 4 * time.Second
	startInterval = 250 * time.Millisecond
	// relayLook is the pause between looks whether a gateway asks this agent to read the store.
	relayLook = 200 * time.Millisecond
	// relayRoutesWait bounds a wait for changes of routes, so that a connection that went silent is noticed.
	relayRoutesWait = time.Second
)

// storeReads is what an agent has read in the store for the gateways.
type storeReads struct {
	routesVersion int64
	routesAt      time.Time
	targets       []*wire.RegisteredTarget
	targetsAt     time.Time
	revision      uint64
	asked         time.Time // when a gateway last asked for it
}

// followTargets reads the registry while gateways ask for it.
func (a *Agent) followTargets(ctx context.Context) error {
	started := time.Now()
	for ctx.Err() == nil {
		if !a.watchers.isRelay() {
			if err := pause.For(ctx, relayLook); err != nil {
				return err
			}
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		targets, _, err := a.store.Targets(call)
		cancel()
		if err != nil {
			a.log.WithError(err).Debug("targets not read")
		} else {
			a.watchers.setTargets(targets)
		}
		interval := targetsInterval
		if time.Since(started) < startPhase {
			interval = startInterval
		}
		if err := pause.For(ctx, interval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (w *watchers) isRelay() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.storeReads.asked) < relayLifetime
}

// ask records that a gateway wants the store to be read for it; the caller holds the lock.
func (w *watchers) ask() {
	if w.now().Sub(w.storeReads.asked) >= relayLifetime {
		select {
		case w.asked <- struct{}{}:
		default:
		}
	}
	w.storeReads.asked = w.now()
}

// setTargets takes over the registry as it was just read.
func (w *watchers) setTargets(targets []registry.Target) {
	list := make([]*wire.RegisteredTarget, 0, len(targets))
	for _, t := range targets {
		list = append(list, &wire.RegisteredTarget{
			Id: t.ID, Born: t.Born, Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone,
			Slots: uint32(t.Slots), Draining: t.Draining, Cold: t.ColdRemaining > 0,
		})
	}
	slices.SortFunc(list, func(a, b *wire.RegisteredTarget) int { return cmp.Compare(a.GetId(), b.GetId()) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeReads.targetsAt = w.now()
	if w.storeReads.revision > 0 && slices.EqualFunc(list, w.storeReads.targets, func(a, b *wire.RegisteredTarget) bool { return proto.Equal(a, b) }) {
		return
	}
	w.storeReads.targets = list
	w.storeReads.revision++
	w.pushLast()
}

// setRoutes takes over that the routes of a version were in force just now.
func (w *watchers) setRoutes(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeReads.routesAt = w.now()
	if version > w.storeReads.routesVersion {
		w.storeReads.routesVersion = version
		w.pushLast()
	}
}

// pushLast sends the last state again, with the reads of the store that have changed; the caller holds the lock.
func (w *watchers) pushLast() {
	if w.last == nil || w.now().Sub(w.storeReads.asked) >= relayLifetime {
		return
	}
	w.sendLast()
}

// storeReadsFor returns what to tell a gateway, or nil if it has not all been read; the caller holds the lock.
func (w *watchers) storeReadsFor(to *watcher) *wire.StoreReads {
	b := &w.storeReads
	if w.now().Sub(b.asked) >= relayLifetime || b.revision == 0 || b.routesVersion == 0 {
		return nil
	}
	oldest := b.routesAt.Add(relayRoutesWait - targetsInterval) // a change of routes is told at once, not by the next read
	if b.targetsAt.Before(oldest) {
		oldest = b.targetsAt
	}
	out := &wire.StoreReads{RoutesVersion: b.routesVersion, Revision: b.revision, AgeMs: uint32(max(0, w.now().Sub(oldest)).Milliseconds())}
	if to.revision != b.revision {
		out.HasTargets, out.Targets = true, b.targets
		to.revision = b.revision
	}
	return out
}

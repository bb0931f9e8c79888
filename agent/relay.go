package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"gypsumbank/history"
	"gypsumbank/pause"
	"gypsumbank/platform"
	"gypsumbank/registry"
	"gypsumbank/targetlist"
	"gypsumbank/wire"
)

const (
	// relayRequestTTL is how long a gateway's request to read the store for it stays valid.
	relayRequestTTL = 3 * time.Second
	// targetsReadInterval leaves half of the platform's drain time for requests already on their way to a draining target.
	targetsReadInterval = 700 * time.Millisecond
	// relayHeartbeatInterval is the longest pause between two states sent by an agent that reads the store for gateways.
	relayHeartbeatInterval = 300 * time.Millisecond
	// startupPeriod is the time after the start during which the targets are read every startupReadInterval, because they
	// may have started together with this process.
	startupPeriod       = 4 * time.Second
	startupReadInterval = 250 * time.Millisecond
	// relayCheckInterval is the interval at which an agent that does not read the targets checks whether a gateway needs it to.
	relayCheckInterval = 200 * time.Millisecond
	// keptRevisions is the number of latest revisions of the targets since which the changes are known. A gateway that was sent an older one gets all targets.
	keptRevisions = 64
)

// storeReads holds what an agent last read from the platform's store on behalf of the gateways.
type storeReads struct {
	routesVersion   int64
	routesReadAt    time.Time
	targets         []*wire.RegisteredTarget
	targetsReadAt   time.Time
	targetsRevision uint64            // number of changes of targets
	changedIn       map[string]uint64 // by id of a listed target: revision in which it last changed
	removedIn       map[string]uint64 // by id of a target that is no longer listed: revision in which it was removed; the last keptRevisions only
	targetsSpan     history.Span      // of the latest read of the targets
	requestedAt     time.Time         // when a gateway last requested the reads
}

// followTargets reads the registry of targets regularly while a gateway needs this agent to.
func (a *Agent) followTargets(ctx context.Context) error {
	started := time.Now()
	storeLost := false
	reads := targetlist.New(a.store)
	defer reads.Close()
	for ctx.Err() == nil {
		if !a.watchers.isRelay() {
			reads.Drop()
			if err := pause.For(ctx, relayCheckInterval); err != nil {
				return err
			}
			continue
		}
		answer, err := reads.Read(ctx, storeTimeout)
		switch {
		case err != nil && !storeLost:
			a.log.WithError(err).Warn("store lost while following targets")
		case err == nil && storeLost:
			a.log.WithFields(logrus.Fields{"targets": len(answer.Value.Targets), "read-ms": answer.Took.Milliseconds()}).Info("store regained while following targets")
		}
		storeLost = err != nil
		if err == nil {
			a.installTargets(ctx, answer.Value, answer.Began)
		}
		interval := targetsReadInterval
		if time.Since(started) < startupPeriod {
			interval = startupReadInterval
		}
		if err := reads.Wait(ctx, interval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// installTargets passes the targets of a read of the registry, which began at a time, to the gateways once the store's row of software
// versions has all of theirs.
func (a *Agent) installTargets(ctx context.Context, read platform.Registry, began time.Time) {
	targets, _, ok := a.departures.Correct(read.Targets, read.Span.Epoch())
	if !ok {
		a.log.WithField("epoch", read.Span.Epoch()).Info("targets read before the store came back from an older copy, not used")
		return
	}
	a.versions.Observe(targets, read.Span.Epoch(), began, false)
	if !a.versions.Covered() {
		a.storeVersions(ctx)
		if !a.versions.Covered() {
			return
		}
	}
	a.watchers.setTargets(targets, read.Span, began)
	if a.versions.Due() {
		a.storeVersions(ctx)
	}
}

// isRelay reports whether a gateway has requested reads of the store within relayRequestTTL.
func (w *watchers) isRelay() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.storeReads.requestedAt) < relayRequestTTL
}

// requestRelay records that a gateway needs the store to be read for it, and signals on relayRequested if none did before;
// the caller holds the lock.
func (w *watchers) requestRelay() {
	if w.now().Sub(w.storeReads.requestedAt) >= relayRequestTTL {
		select {
		case w.relayRequested <- struct{}{}:
		default:
		}
		w.requestBlocklist()
	}
	w.storeReads.requestedAt = w.now()
}

// setTargets records the targets of a read of the registry that began at a time, and sends them to the gateways if they have changed. Many gateways are told
// at once only that a target leaves, and the rest with their next state.
func (w *watchers) setTargets(targets []registry.Target, span history.Span, began time.Time) {
	registered := make([]*wire.RegisteredTarget, 0, len(targets))
	for _, t := range targets {
		registered = append(registered, &wire.RegisteredTarget{
			Id: t.ID, Born: t.Born, Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone,
			Slots: uint32(t.Slots), Draining: t.Draining, Cold: t.ColdRemaining > 0, SoftwareVersion: string(t.SoftwareVersion),
		})
	}
	slices.SortFunc(registered, func(a, b *wire.RegisteredTarget) int { return cmp.Compare(a.GetId(), b.GetId()) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeReads.targetsReadAt = began
	sameEpoch := w.storeReads.targetsSpan.Epoch() == span.Epoch()
	w.storeReads.targetsSpan = span
	if sameEpoch && w.storeReads.targetsRevision > 0 && slices.EqualFunc(registered, w.storeReads.targets, func(a, b *wire.RegisteredTarget) bool { return proto.Equal(a, b) }) {
		return
	}
	leaving := w.storeReads.replaceTargets(registered)
	if leaving || len(w.live()) <= maxFewWatchers {
		w.resendIfRelay()
	}
}

// replaceTargets begins a new revision of the targets, records what has changed in it and reports whether a target leaves or has left.
func (r *storeReads) replaceTargets(targets []*wire.RegisteredTarget) (leaving bool) {
	r.targetsRevision++
	before := make(map[string]*wire.RegisteredTarget, len(r.targets))
	for _, t := range r.targets {
		before[t.GetId()] = t
	}
	if r.changedIn == nil {
		r.changedIn, r.removedIn = map[string]uint64{}, map[string]uint64{}
	}
	for _, t := range targets {
		if known := before[t.GetId()]; known == nil || !proto.Equal(known, t) {
			r.changedIn[t.GetId()] = r.targetsRevision
			leaving = leaving || (t.GetDraining() && !known.GetDraining())
		}
		delete(before, t.GetId())
		delete(r.removedIn, t.GetId())
	}
	for id := range before {
		delete(r.changedIn, id)
		r.removedIn[id] = r.targetsRevision
		leaving = true
	}
	for id, revision := range r.removedIn {
		if revision+keptRevisions <= r.targetsRevision {
			delete(r.removedIn, id)
		}
	}
	r.targets = targets
	return leaving
}

// changesSince returns the targets that were added or changed after a revision, and the ids of those that were removed. ok is false if
// that is not known.
func (r *storeReads) changesSince(revision uint64) (changed []*wire.RegisteredTarget, removed []string, ok bool) {
	if revision == 0 || revision+keptRevisions <= r.targetsRevision {
		return nil, nil, false
	}
	for _, t := range r.targets {
		if r.changedIn[t.GetId()] > revision {
			changed = append(changed, t)
		}
	}
	for id, removedIn := range r.removedIn {
		if removedIn > revision {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return changed, removed, true
}

// setRoutesVersion records that the store had no newer version of the routes than the given one at a time, and sends the version to the gateways if it is
// new.
func (w *watchers) setRoutesVersion(version int64, asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeReads.routesReadAt = asOf
	if version > w.storeReads.routesVersion {
		w.storeReads.routesVersion = version
		w.resendIfRelay()
	}
}

// resendIfRelay sends the last state again, with the changed reads of the store, if a gateway needs them; the caller
// holds the lock.
func (w *watchers) resendIfRelay() {
	if (w.lastState == nil && w.down == nil) || w.now().Sub(w.storeReads.requestedAt) >= relayRequestTTL {
		return
	}
	w.useNewestState(len(w.live()))
	w.broadcastLast()
}

// storeReadsFor returns the reads of the store for one gateway, with the targets only if they differ from those last sent
// to it, and then, if the gateway understands that, with what has changed alone. Messages on a stream arrive in order or not at
// all, so that the gateway has what was last sent to it. Where there are many gateways, each is told of a read once. It returns nil if no gateway needs them or if the routes or the targets have not been read yet. The caller holds
// the lock.
func (w *watchers) storeReadsFor(recipient *watcher) *wire.StoreReads {
	reads, now := &w.storeReads, w.now()
	if now.Sub(reads.requestedAt) >= relayRequestTTL || reads.targetsRevision == 0 || reads.routesVersion == 0 {
		return nil
	}
	readAt := reads.targetsReadAt
	if reads.routesReadAt.After(readAt) {
		readAt = reads.routesReadAt
	}
	if len(w.members) > maxFewWatchers && recipient.readsSentAt.Equal(readAt) && recipient.targetsRevision == reads.targetsRevision && recipient.routesSent == reads.routesVersion {
		return nil
	}
	recipient.readsSentAt, recipient.routesSent = readAt, reads.routesVersion
	oldest := reads.routesReadAt
	if reads.targetsReadAt.Before(oldest) {
		oldest = reads.targetsReadAt
	}
	message := &wire.StoreReads{
		RoutesVersion: reads.routesVersion, Revision: reads.targetsRevision, AgeMs: ageMs(oldest, now),
		RoutesAgeMs: ageMs(reads.routesReadAt, now), TargetsAgeMs: ageMs(reads.targetsReadAt, now),
		StoreEpoch: uint64(reads.targetsSpan.Epoch()), FirstVersion: reads.targetsSpan.First(), LastVersion: reads.targetsSpan.Last(),
	}
	if recipient.sentMs > 0 {
		message.EchoedMs, message.EchoAgeMs = recipient.sentMs, ageMs(recipient.lastHeartbeatAt, now)
	}
	if recipient.targetsRevision != reads.targetsRevision {
		message.HasTargets, message.Targets = true, reads.targets
		if changed, removed, ok := reads.changesSince(recipient.targetsRevision); ok && recipient.keepsTargets {
			message.BaseRevision, message.Targets, message.RemovedIds = recipient.targetsRevision, changed, removed
		}
		recipient.targetsRevision = reads.targetsRevision
	}
	return message
}

// ageMs returns the age of a time in milliseconds, rounded up; 0 for a time to come.
func ageMs(at, now time.Time) uint32 {
	return uint32(max(0, (now.Sub(at) + time.Millisecond - 1).Milliseconds()))
}

package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
	"gypsumbank/hedge"
	"gypsumbank/pause"
	"gypsumbank/route"
	"gypsumbank/targetlist"
)

const (
	// storeTimeout bounds one read of the store, but for the routes; of the targets that of one page.
	storeTimeout = 600 * time.Millisecond
	// targetsPollInterval is the interval between reads of the targets. It leaves half of the platform's drain period for
	// requests on their way to a draining target.
	targetsPollInterval = 800 * time.Millisecond
	// minStoreInterval is the least time between reads of the routes.
	minStoreInterval = 200 * time.Millisecond
	// startupPollInterval is the first interval between reads of the targets after the start, until agents read the store for this gateway. It
	// grows with each read, as all gateways of a deployment may start at the same moment.
	startupPollInterval = 250 * time.Millisecond
	startupPollGrowth   = 1.5
	// relayPollInterval is the interval at which the gateway checks whether agents still read the store for it.
	relayPollInterval = 20 * time.Millisecond
	// minExpiryGap is the time without a read from which on entries may have expired as the store was away for all: they do so three intervals of some
	// 1.3 s after their last renewal, which was at most one before that time.
	minExpiryGap = 2600 * time.Millisecond
	// refreshInterval is the least time between two reads of the targets for requests.
	refreshInterval = 50 * time.Millisecond
)

// errOldRead reports targets that may be older than those in force and are not used.
var errOldRead = errors.New("targets may be older than those in force")

// logReader logs that the routes are now read by agents or by this gateway, and why.
func (g *Gateway) logReader(byAgents bool, now time.Time) {
	reader := "gateway"
	if byAgents {
		reader = "agents"
	}
	version := int64(0)
	if table := g.routeTable.Load(); table != nil {
		version = table.Version()
	}
	g.log.WithFields(logrus.Fields{
		"reader": reader, "version": version, "agents-version": g.relay.routesVersion(), "agents-read-age-ms": ageMs(g.relay.routesReadAt(), now),
		"agents-connected": g.agents.connectedRelays(),
	}).Info("reader of the routes changes")
}

// relayCoversRoutes reports whether agents have read the store recently and have seen no newer version of the routes than
// the one in force.
func (g *Gateway) relayCoversRoutes(now time.Time) bool {
	table := g.routeTable.Load()
	return table != nil && g.agentsReadRoutes(now) && g.relay.routesVersion() <= table.Version()
}

// agentsReadRoutes reports whether an agent has read the routes recently.
func (g *Gateway) agentsReadRoutes(now time.Time) bool {
	return now.Sub(g.relay.routesReadAt()) < g.changes.AgentReadAge()
}

// confirmRoutes records that a read that began at a time has found no newer routes than those in force.
func (g *Gateway) confirmRoutes(readAt time.Time) {
	if readAt.After(g.routesConfirmedAt()) {
		g.routesReadAt.Store(&readAt)
	}
}

// routesConfirmedAt returns when the last read began that found no newer routes than those in force.
func (g *Gateway) routesConfirmedAt() time.Time {
	if readAt := g.routesReadAt.Load(); readAt != nil {
		return *readAt
	}
	return time.Time{}
}

// countStoreRead counts a read of this gateway by its result, with the time that it took.
func countStoreRead(what, result string, took time.Duration) {
	labels := `{of="` + what + `",result="` + result + `"}`
	metrics.GetOrCreateCounter(`gypsumbank_gateway_store_reads_total` + labels).Inc()
	metrics.GetOrCreateHistogram(`gypsumbank_gateway_store_read_seconds` + labels).Update(took.Seconds())
}

// countFailedRead counts a read that was not answered in time. If it is late, it goes on.
func countFailedRead(what string, err error, took time.Duration) {
	result := "failed"
	if errors.Is(err, hedge.ErrLate) {
		result = "late"
	}
	countStoreRead(what, result, took)
}

// followRelay puts the targets that agents have read from the store in force, until ctx ends.
func (g *Gateway) followRelay(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.relay.changed:
		case <-time.After(targetsPollInterval):
		}
		if read, ok := g.relay.newTargets(); ok {
			g.observeEpoch(read.span.Epoch())
			_ = g.installTargets(read) // the next one follows
		}
	}
}

// installRoutes puts a routing table in force unless the one in force is as new or newer. The source is the address of the agent that it is from, or "store".
func (g *Gateway) installRoutes(table *route.Table, source string) {
	g.replacing.Lock()
	defer g.replacing.Unlock()
	current := g.routeTable.Load()
	if table == nil || (current != nil && table.Version() <= current.Version()) {
		return
	}
	g.routeTable.Store(table)
	g.fleet.SetServices(table.Services())
	g.usage.SetCustomers(table.Customers())
	g.log.WithFields(logrus.Fields{
		"version": table.Version(), "routes": table.Len(), "source": source, "replaced-age-ms": ageMs(g.routesConfirmedAt(), time.Now()),
		"agents-version": g.relay.routesVersion(), "agents-read-age-ms": ageMs(g.relay.routesReadAt(), time.Now()),
	}).Info("routes in force")
	g.watchAgents() // the first routes may come after the first targets
}

// followTargets reads the registered targets from the store and puts them in force, until ctx ends. It does not read the
// store while agents do so.
func (g *Gateway) followTargets(ctx context.Context) error {
	retry, poll := newStoreBackoff(g.changes), startupPollInterval
	reads := targetlist.New(g.store)
	defer reads.Close()
	for ctx.Err() == nil {
		if g.targetsKnown.Load() && g.relay.isFresh(time.Now()) && !reads.Answered() {
			_ = pause.For(ctx, minStoreInterval)
			continue
		}
		began := time.Now()
		answer, err := reads.Read(ctx, storeTimeout)
		if err == nil {
			err = g.installTargets(targetsRead{targets: answer.Value.Targets, readAt: answer.Began, span: answer.Value.Span})
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && !errors.Is(err, errOldRead):
			failedAt := time.Now()
			wait := g.targetsRetryWait(retry.NextBackOff())
			if g.storeLostAt.CompareAndSwap(nil, &failedAt) {
				wait.log(g).WithError(err).Warn("store lost while following targets")
			} else {
				wait.log(g).WithError(err).Debug("store still lost while following targets")
			}
			countFailedRead("targets", err, time.Since(began))
			_ = g.waitForRetry(ctx, wait, reads.Answered)
			continue
		}
		countStoreRead("targets", "answered", answer.Took)
		retry.Reset()
		_ = pause.For(ctx, poll)
		poll = nextPollInterval(poll)
	}
	return ctx.Err()
}

// nextPollInterval returns the interval that follows one between reads of the targets.
func nextPollInterval(interval time.Duration) time.Duration {
	return min(targetsPollInterval, time.Duration(float64(interval)*startupPollGrowth))
}

// readTargets reads the registered targets from the store and puts them in force, unless newer ones are. The error wraps errOldRead if it
// is not known which are newer.
func (g *Gateway) readTargets(ctx context.Context) error {
	began := time.Now()
	read, err := g.store.Targets(ctx, g.store.CallTime(storeTimeout))
	if err != nil {
		return err
	}
	return g.installTargets(targetsRead{targets: read.Targets, readAt: began, span: read.Span})
}

// observeEpoch records an epoch of the store that an agent has read from.
func (g *Gateway) observeEpoch(read epoch.Epoch) {
	if read != 0 && g.epochs.Observe(read) {
		g.log.WithFields(logrus.Fields{"epoch": read, "known-from": "agent"}).Warn("store has come back from an older copy")
	}
}

// installTargets updates the fleet with the targets of a read of the registry, unless they may be older than those in force, and
// watches the agents of its engines. The first read after others have failed for minExpiryGap, or after the store has come back from an older copy,
// shows what is missing at its return. The error is errOldRead if those in force may be older than the read, too.
func (g *Gateway) installTargets(read targetsRead) error {
	g.installing.Lock()
	defer g.installing.Unlock()
	if inForce := g.targetsInForce; !read.span.Follows(inForce) {
		g.log.WithFields(logrus.Fields{
			"epoch": read.span.Epoch(), "version": read.span.First(), "epoch-in-force": inForce.Epoch(), "version-in-force": inForce.Last(),
		}).Debug("targets read before those in force, not used")
		if inForce.Follows(read.span) {
			return nil
		}
		return errOldRead
	}
	g.targetsInForce = read.span
	targets, restored, ok := g.departures.Correct(read.targets, read.span.Epoch())
	if !ok {
		g.log.WithField("epoch", read.span.Epoch()).Info("targets read before the store came back from an older copy, not used")
		return errOldRead
	}
	g.crashes.checker.MarkRuns(targets, "registry")
	lostAt := g.storeLostAt.Load()
	regained := lostAt != nil && read.readAt.After(*lostAt)
	g.versions.observe(targets, read)
	g.fleet.RecordRegistryRead(read.readAt)
	mayHaveExpired := regained && read.readAt.Sub(g.targetsReadAt) >= minExpiryGap
	g.targetsReadAt = read.readAt
	change := g.fleet.UpdateTargets(targets, mayHaveExpired || restored, time.Now())
	if regained && g.storeLostAt.CompareAndSwap(lostAt, nil) {
		g.log.WithFields(logrus.Fields{"targets": len(targets), "may-have-expired": mayHaveExpired}).Info("store regained while following targets")
	}
	log := g.log.WithField("age-ms", time.Since(read.readAt).Milliseconds())
	for _, t := range change.Added {
		log.WithFields(logrus.Fields{"target": t.ID, "address": t.Address, "service": t.Service, "zone": t.AvailabilityZone}).Info("target added")
	}
	for _, t := range change.Draining {
		log.WithFields(logrus.Fields{"target": t.ID, "remaining-ms": t.Remaining.Milliseconds()}).Info("target leaves")
		g.pool.Retire(t.Address)
	}
	for _, t := range change.Removed {
		log.WithField("target", t.ID).Info("target removed")
		g.pool.Retire(t.Address)
	}
	g.targetsKnown.Store(true)
	g.watchAgents()
	return nil
}

// watchAgents watches the agents of all known engines and no others.
func (g *Gateway) watchAgents() {
	table := g.routeTable.Load()
	if table == nil {
		return
	}
	addresses := map[string]bool{}
	for _, t := range g.fleet.Targets() {
		if s, ok := table.Service(t.Service); ok && s.Engine != nil {
			addresses[g.agents.address(t.Address)] = true
		}
	}
	g.agents.setAddresses(addresses)
	g.quotas.setAgents(g.agents.addresses())
}

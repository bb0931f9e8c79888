package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"gypsumbank/pause"
	"gypsumbank/platform"
	"gypsumbank/registry"
	"gypsumbank/route"
)

const (
	storeTimeout = 600 * time.Millisecond
	// routesWait bounds a wait for changes, so that a connection that went silent delays a change by about a second.
	routesWait = time.Second
	// targetsInterval leaves half of the platform's drain time for requests on their way to a leaving target.
	targetsInterval = 800 * time.Millisecond
	storePause      = 200 * time.Millisecond
	// startInterval is the pause between reads in the startPhase after the start, until agents do them.
	startInterval = 250 * time.Millisecond
	startPhase    = 4 * time.Second
	// relayPause is the pause between looks whether the agents still read the store.
	relayPause = 20 * time.Millisecond
	// maxStorePause is the longest pause between tries to read a store that does not answer; with a read it stays below the
	// time in which a change must be in force.
	maxStorePause = 1600 * time.Millisecond
)

// newRetryInterval returns the pauses between tries to read a store that does not answer: with many gateways, tries at short
// intervals would be most of the store's load.
func newRetryInterval() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: storePause, MaxInterval: maxStorePause,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
}

// backOff waits for a time after a failed read, or until agents have read the store after none had lately.
func (g *Gateway) backOff(ctx context.Context, longest time.Duration) error {
	end := time.Now().Add(longest)
	if g.relayed.fresh(time.Now()) {
		return pause.For(ctx, longest)
	}
	for time.Now().Before(end) && !g.relayed.fresh(time.Now()) {
		if err := pause.For(ctx, relayPause); err != nil {
			return err
		}
	}
	return nil
}

// followRoutes keeps the newest routing table in force.
func (g *Gateway) followRoutes(ctx context.Context) error {
	version := int64(0)
	lost := false
	retry := newRetryInterval()
	for ctx.Err() == nil {
		begun := time.Now()
		if g.relayHasRoutes(begun) {
			_ = pause.For(ctx, relayPause)
			continue
		}
		table, next, err := g.nextRoutes(ctx, version)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, platform.ErrHistoryLost):
			g.log.Info("history of the store is lost, reading all routes")
			version = 0
			continue
		case err != nil:
			if !lost {
				g.log.WithError(err).Warn("store lost while following routes")
			}
			lost = true
			_ = g.backOff(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		if lost {
			g.log.Info("store regained while following routes")
			lost = false
		}
		g.adopt(table)
		version = next
		if time.Since(begun) < storePause {
			_ = pause.For(ctx, storePause)
		}
	}
	return ctx.Err()
}

// relayHasRoutes reports whether agents read the routes for this gateway and those in force are the newest.
func (g *Gateway) relayHasRoutes(now time.Time) bool {
	table := g.table.Load()
	return table != nil && g.relayed.fresh(now) && g.relayed.routesVersion() <= table.Version()
}

// followRelayed takes over what agents have read in the store.
func (g *Gateway) followRelayed(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.relayed.changed:
		case <-time.After(targetsInterval):
		}
		if targets, readAt, ok := g.relayed.targets(); ok {
			g.adoptTargets(targets, g.storeLost.Load(), readAt)
		}
	}
}

func (g *Gateway) nextRoutes(ctx context.Context, version int64) (*route.Table, int64, error) {
	if version == 0 {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return g.store.Routes(call)
	}
	call, cancel := context.WithTimeout(ctx, routesWait+storeTimeout/2)
	defer cancel()
	return g.store.RoutesAfter(call, version, routesWait)
}

// adopt puts a table in force unless a newer one is.
func (g *Gateway) adopt(table *route.Table) {
	current := g.table.Load()
	if table == nil || (current != nil && table.Version() <= current.Version()) {
		return
	}
	g.table.Store(table)
	g.fleet.SetServices(table.Services())
	g.log.WithFields(logrus.Fields{"version": table.Version(), "routes": table.Len()}).Info("routes in force")
}

// followTargets keeps the view of the registered targets fresh.
func (g *Gateway) followTargets(ctx context.Context) error {
	retry := newRetryInterval()
	for ctx.Err() == nil {
		if g.fleetKnown.Load() && g.relayed.fresh(time.Now()) {
			_ = pause.For(ctx, storePause)
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		targets, foreign, err := g.store.Targets(call)
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			if !g.storeLost.Swap(true) {
				g.log.WithError(err).Warn("store lost while following targets")
			}
			_ = g.backOff(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		if len(foreign) > 0 {
			g.log.WithField("entries", foreign).Debug("entries that describe no target")
		}
		g.adoptTargets(targets, g.storeLost.Load(), time.Now())
		if time.Since(g.started) < startPhase {
			_ = pause.For(ctx, startInterval)
			continue
		}
		_ = pause.For(ctx, targetsInterval)
	}
	return ctx.Err()
}

// adoptTargets puts registered targets in force as they were read at a time.
func (g *Gateway) adoptTargets(targets []registry.Target, storeWasAway bool, readAt time.Time) {
	change := g.fleet.UpdateTargets(targets, storeWasAway, time.Now())
	if g.storeLost.Swap(false) {
		g.log.WithField("targets", len(targets)).Info("store regained while following targets")
	}
	log := g.log.WithField("age-ms", time.Since(readAt).Milliseconds())
	for _, t := range change.Added {
		log.WithFields(logrus.Fields{"target": t.ID, "address": t.Address, "service": t.Service, "zone": t.AvailabilityZone}).Info("target added")
	}
	for _, t := range change.Draining {
		log.WithFields(logrus.Fields{"target": t.ID, "remaining-ms": t.Remaining.Milliseconds()}).Info("target leaves")
	}
	for _, t := range change.Removed {
		log.WithField("target", t.ID).Info("target removed")
	}
	g.fleetKnown.Store(true)
	g.followAgents()
}

// followAgents watches the agents beside the engines.
func (g *Gateway) followAgents() {
	table := g.table.Load()
	if table == nil {
		return
	}
	addresses := map[string]bool{}
	for _, t := range g.fleet.Targets() {
		if s, ok := table.Service(t.Service); ok && s.Engine != nil {
			addresses[g.agents.address(t.Address)] = true
		}
	}
	g.agents.follow(addresses)
}

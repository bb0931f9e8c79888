package gateway

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"gypsumbank/pause"
	"gypsumbank/propagation"
)

// probedRetryFactor lengthens the wait between reads of the targets while the follower of the routes asks the store and tells when it answers.
const probedRetryFactor = 4

// newStoreBackoff returns the backoff between attempts to read a store that does not respond, whose waits keep to the time of changes. With many
// gateways, attempts at short intervals would be most of the load of the store.
func newStoreBackoff(changes propagation.Budget) *backoff.ExponentialBackOff {
	withoutJitter := func(wait time.Duration) time.Duration {
		return time.Duration(float64(wait) / (1 + backoff.DefaultRandomizationFactor))
	}
	maxInterval := withoutJitter(changes.RetryWait())
	return &backoff.ExponentialBackOff{
		InitialInterval: min(withoutJitter(propagation.FirstRetryWait), maxInterval), MaxInterval: maxInterval,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
}

// retryReason is why a wait after a failed read has its length, and may end early.
type retryReason string

const (
	retryAgentsRead retryReason = "agents-read" // an agent has read the store recently
	retryOwnRead    retryReason = "own-read"    // this read finds out whether the store answers
	retryRoutesRead retryReason = "routes-read" // the read of the routes finds out, and is made more often
)

// retryWait is how long the store is not read after a failed read, and why.
type retryWait struct {
	duration   time.Duration
	reason     retryReason
	agentsRead func(now time.Time) bool // reports whether an agent has made such a read recently
	hastenFrom time.Time                // from which on the wait ends if a request needs the routes; zero for never
}

// routesRetryWait returns the wait after a failed read of the routes for which the backoff has chosen a duration. It depends on no agent: that one is connected
// does not show that it can read the store.
func (g *Gateway) routesRetryWait(chosen time.Duration) retryWait {
	now := time.Now()
	wait := retryWait{duration: chosen, reason: retryOwnRead, agentsRead: g.agentsReadRoutes, hastenFrom: now.Add(propagation.FirstRetryWait)}
	if g.agentsReadRoutes(now) {
		wait.reason = retryAgentsRead
	}
	return wait
}

// targetsRetryWait returns the wait after a failed read of the targets for which the backoff has chosen a duration.
func (g *Gateway) targetsRetryWait(chosen time.Duration) retryWait {
	switch {
	case g.relay.isFresh(time.Now()):
		return retryWait{duration: chosen, reason: retryAgentsRead, agentsRead: g.relay.isFresh}
	case g.asksStore.Load():
		return retryWait{duration: chosen * probedRetryFactor, reason: retryRoutesRead, agentsRead: g.relay.isFresh}
	default:
		return retryWait{duration: chosen, reason: retryOwnRead, agentsRead: g.relay.isFresh}
	}
}

// waitForRetry waits after a failed read. It returns early once a read that was late has been answered, once an agent has read the store, if none had, if it waits
// for a read of the routes, once that has been answered, and if a request needs the routes, after the shortest wait.
func (g *Gateway) waitForRetry(ctx context.Context, wait retryWait, answered func() bool) error {
	end := time.Now().Add(wait.duration)
	for time.Now().Before(end) && !answered() && !g.isRetryDue(wait) {
		if err := pause.For(ctx, relayPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// isRetryDue reports whether a wait ends before its time.
func (g *Gateway) isRetryDue(wait retryWait) bool {
	if !wait.hastenFrom.IsZero() && g.routesWanted.Load() && !time.Now().Before(wait.hastenFrom) {
		return true
	}
	if wait.reason == retryAgentsRead {
		return false
	}
	return wait.agentsRead(time.Now()) || (wait.reason == retryRoutesRead && !g.asksStore.Load())
}

// log returns an entry with the wait and what it was decided from.
func (w retryWait) log(g *Gateway) *logrus.Entry {
	now := time.Now()
	return g.log.WithFields(logrus.Fields{
		"wait-ms": w.duration.Milliseconds(), "wait-for": string(w.reason), "gateways": g.fleet.GatewayCount(),
		"agents-connected": g.agents.connectedRelays(), "agents-read-age-ms": ageMs(g.relay.routesReadAt(), now), "routes-age-ms": ageMs(g.routesConfirmedAt(), now),
	})
}

// ageMs returns the age of a time in milliseconds, -1 if it is zero.
func ageMs(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

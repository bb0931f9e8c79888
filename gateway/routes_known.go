package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/dispatch"
	"gypsumbank/route"
)

// doubt is why a request must not be refused for good for what the routes in force lack.
type doubt struct {
	reason     dispatch.Reason
	retryAfter time.Duration
}

// doubtRoutes returns why what the routes in force lack may exist all the same for a request that arrived at a time. ok is false if it does not: a read of the store
// shows it that is as new as the time for changes demands.
func (g *Gateway) doubtRoutes(table *route.Table, arrived time.Time) (d doubt, ok bool) {
	confirmedAt := g.routesConfirmedAt()
	switch {
	case g.relay.expectsRoutesAfter(table.Version(), confirmedAt, arrived):
		d = doubt{dispatch.NoRoutes, newRoutesRetryAfter}
	case !g.changes.Covers(confirmedAt, arrived):
		d = doubt{dispatch.OldRoutes, outdatedRoutesRetryAfter}
	default:
		return doubt{}, false
	}
	return d, true
}

// refusalWithoutRoute returns how a request is refused that arrived at a time and has no route.
func (g *Gateway) refusalWithoutRoute(table *route.Table, arrived time.Time) (reason dispatch.Reason, status int, retryAfter time.Duration) {
	if d, ok := g.doubtRoutes(table, arrived); ok {
		return d.reason, http.StatusServiceUnavailable, d.retryAfter
	}
	return dispatch.NoRoute, http.StatusNotFound, 0
}

// hastenRoutes has the routes read soon where the next read waits after one that failed, as a request needs to know whether there are newer ones.
func (g *Gateway) hastenRoutes() { g.routesWanted.Store(true) }

// routesKnown returns, for the log, the version and the age of the routes by which this gateway decides, and those of what agents have read. An age of -1
// stands for never.
func (g *Gateway) routesKnown(now time.Time) logrus.Fields {
	version := int64(0)
	if table := g.routeTable.Load(); table != nil {
		version = table.Version()
	}
	return logrus.Fields{
		"routes-version": version, "routes-age-ms": ageMs(g.routesConfirmedAt(), now),
		"agents-version": g.relay.routesVersion(), "agents-read-age-ms": ageMs(g.relay.routesReadAt(), now),
	}
}

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/customer"
	"gypsumbank/dispatch"
	"gypsumbank/platform"
	"gypsumbank/request"
	"gypsumbank/route"
)

// outdatedRoutesRetryAfter is the Retry-After while keys are refused as the routes can't be read. Another gateway may have read them.
const outdatedRoutesRetryAfter = 500 * time.Millisecond

// authenticate sets the customer and the priority of a request on a route. If it is not served for want of a known key, authenticate
// refuses it and returns false. The returned request has the customer in its context, for what is logged and counted of it.
func (g *Gateway) authenticate(w http.ResponseWriter, r *http.Request, req *request.Request, table *route.Table, matched *route.Route) (*http.Request, bool) {
	req.Priority = matched.Priority
	if !table.HasCustomers() {
		return r, true
	}
	holder, result, d := g.findHolder(table, matched, platform.Key(r), req.Arrived)
	if result != customer.Accepted {
		g.refuseKey(w, r, req.ID, result, d, table.Limits().BodyBytes)
		return r, false
	}
	req.Priority = table.Priority(holder, matched)
	if holder == nil {
		platform.SetCustomer(req, "")
		return r, true
	}
	platform.SetCustomer(req, holder.Name)
	req.CustomerWeight = table.Weight(holder)
	return r.WithContext(context.WithValue(r.Context(), customerContextKey{}, holder.Name)), true
}

// findHolder returns the customer that holds the key of a request on a route, nil if there is none, whether the request is served, and the doubt for which it may
// be uncertain.
func (g *Gateway) findHolder(table *route.Table, matched *route.Route, key string, arrived time.Time) (*route.Customer, customer.Result, doubt) {
	d, inDoubt := g.doubtRoutes(table, arrived)
	holder, result := customer.Authenticate(table, matched, key, customer.View{InDoubt: inDoubt, TooOld: g.keysTooOld(time.Now())})
	return holder, result, d
}

// keyRefusal returns how a request is refused that is not served for want of a known key.
func keyRefusal(result customer.Result, d doubt) (reason dispatch.Reason, status int, retryAfter time.Duration) {
	switch result {
	case customer.Missing:
		return dispatch.NoKey, http.StatusUnauthorized, 0
	case customer.Uncertain:
		return d.reason, http.StatusServiceUnavailable, d.retryAfter
	case customer.Outdated:
		return dispatch.OldRoutes, http.StatusServiceUnavailable, outdatedRoutesRetryAfter
	default:
		return dispatch.UnknownKey, http.StatusUnauthorized, 0
	}
}

// refuseKey refuses a request that is not served for want of a known key. Its body has not been read.
func (g *Gateway) refuseKey(w http.ResponseWriter, r *http.Request, requestID string, result customer.Result, d doubt, bodyLimit int64) {
	reason, status, retryAfter := keyRefusal(result, d)
	if result == customer.Uncertain || result == customer.Outdated {
		g.hastenRoutes()
	}
	if status == http.StatusUnauthorized {
		platform.SetChallenge(w.Header())
	}
	refuse := func() { g.refuseByRoutes(w, r, requestID, reason, status, retryAfter) }
	if r.ContentLength == 0 {
		refuse()
		return
	}
	if bodyLimit <= 0 {
		bodyLimit = defaultMaxBodyBytes
	}
	g.refuseUnread(w, r, bodyLimit, refuse)
}

// keysTooOld reports whether keys are to be refused, as the routes that list them could not be read for too long.
func (g *Gateway) keysTooOld(now time.Time) bool {
	return g.config.Bounds.KeysFailClosed && now.Sub(g.routesConfirmedAt()) > g.config.Bounds.KeyMaxAge
}

// customerContextKey is the context key of the name of a request's customer.
type customerContextKey struct{}

// customerFromContext returns the name of the customer of a request; empty if it has none.
func customerFromContext(ctx context.Context) string {
	name, _ := ctx.Value(customerContextKey{}).(string)
	return name
}

// withCustomer returns a log entry with the name of a request's customer, if it has one.
func withCustomer(log *logrus.Entry, name string) *logrus.Entry {
	if name == "" {
		return log
	}
	return log.WithField("customer", name)
}

// memoryTeam names those that share the memory for requests with a request: its customer's, or without one those of its route.
func memoryTeam(req *request.Request, matched *route.Route) string {
	if req.Customer != "" {
		return "customer " + req.Customer
	}
	return matched.Name
}

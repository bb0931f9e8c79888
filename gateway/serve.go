package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"gypsumbank/bytebudget"
	"gypsumbank/delivery"
	"gypsumbank/dispatch"
	"gypsumbank/platform"
	"gypsumbank/request"
	"gypsumbank/route"
)

const (
	defaultMaxBodyBytes = 4 << 20
	// newRoutesRetryAfter is short, as newer routes are usually in force within 100 ms.
	newRoutesRetryAfter = 200 * time.Millisecond
)

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := platform.RequestID(r)
	if g.lastAnswers.Err() != nil {
		g.refuse(w, r, id, dispatch.Stopping, http.StatusServiceUnavailable, dispatch.StoppingRetryAfter)
		return
	}
	table := g.routeTable.Load()
	if table == nil {
		g.refuseByRoutes(w, r, id, dispatch.NoRoutes, http.StatusServiceUnavailable, time.Second)
		return
	}
	req := platform.DecodeRequest(r, arrived)
	matchedRoute := table.Match(req.Host, req.Path)
	if matchedRoute == nil {
		reason, status, retryAfter := g.refusalWithoutRoute(table, arrived)
		if reason != dispatch.NoRoute {
			g.hastenRoutes()
		}
		g.refuseByRoutes(w, r, id, reason, status, retryAfter)
		return
	}
	r, ok := g.authenticate(w, r, req, table, matchedRoute)
	if !ok {
		return
	}
	hold := g.memory.Begin(memoryTeam(req, matchedRoute))
	defer hold.Release()
	if !g.readBody(w, r, req, hold, table, dispatch.Deadline(req, matchedRoute)) {
		return
	}
	charge, ok := g.chargeQuota(w, r, req, table)
	if !ok {
		return
	}
	service := matchedRoute.PickService(xxhash.Sum64String(req.ID))
	callerCtx, leave := context.WithCancel(r.Context())
	defer leave()
	d := g.dispatcher.Begin(callerCtx, req, matchedRoute, service)
	defer d.Close()
	answer := newCallerAnswer(w, r, g.conns.Announce)
	answer.holdEvents(delivery.HoldTime(g.config.Bounds.EventDelivery), leave)
	defer answer.close()
	ex := &exchange{gateway: g, answer: answer, request: req, route: matchedRoute, dispatch: d, callerCtx: callerCtx, hold: hold, charge: charge}
	ex.run()
}

// refuse logs, counts and refuses a request that is not dispatched.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, requestID string, reason dispatch.Reason, status int, retryAfter time.Duration) {
	g.refuseWith(w, r, requestID, reason, status, retryAfter, nil)
}

// refuseByRoutes is refuse for a request that is refused for what the routes in force say or lack.
func (g *Gateway) refuseByRoutes(w http.ResponseWriter, r *http.Request, requestID string, reason dispatch.Reason, status int, retryAfter time.Duration) {
	g.refuseWith(w, r, requestID, reason, status, retryAfter, g.routesKnown(time.Now()))
}

// refuseWith is refuse with fields for the log that tell what decided it.
func (g *Gateway) refuseWith(w http.ResponseWriter, r *http.Request, requestID string, reason dispatch.Reason, status int, retryAfter time.Duration, decidedBy logrus.Fields) {
	metrics.GetOrCreateCounter(`gypsumbank_gateway_requests_total{kind="none",outcome="` + string(reason) + `"}`).Inc()
	customerName := customerFromContext(r.Context())
	g.usage.CountRequest(customerName, string(reason))
	withCustomer(g.log, customerName).WithFields(decidedBy).WithFields(logrus.Fields{"request": requestID, "host": r.Host, "uri": r.RequestURI, "reason": reason, "status": status}).Info("refused")
	g.conns.Announce(connFromContext(r.Context()), w.Header())
	writeRefusal(w, reason, status, retryAfter)
}

// writeRefusal writes an error response with the reason as its body.
func writeRefusal(w http.ResponseWriter, reason dispatch.Reason, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body := string(reason) + "\n"
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // a caller that has disconnected needs no response
}

// exchange is one dispatched request with the response to its caller.
type exchange struct {
	gateway   *Gateway
	answer    *callerAnswer
	request   *request.Request
	route     *route.Route
	dispatch  *dispatch.Dispatch
	callerCtx context.Context  // ends when the caller disconnects, or held events can't be written to it
	hold      *bytebudget.Hold // memory that the request takes
	charge    *quotaCharge     // to the quota of its customer

	longestGap  time.Duration // longest wait for a chunk of the response body, that between two targets of a stream included
	lastChunkAt time.Time     // when the last chunk arrived, or the first response body began; zero before
	bodyBytes   int           // bytes received of the body of the current response
	firstByteAt time.Time     // when the first of these arrived; zero before
	// originRecorded is set once events of the current response have been passed on.
	originRecorded bool
}

// run dispatches the request and writes its response. It panics with http.ErrAbortHandler, which closes the connection, if
// the response is incomplete or the caller has disconnected.
func (e *exchange) run() {
	outcome := e.dispatch.Run()
	for {
		switch o := outcome.(type) {
		case dispatch.Answered:
			resumed, ok := e.forward(o)
			if !ok {
				return
			}
			outcome = resumed
			continue
		case dispatch.Refused:
			if !e.answer.begun {
				e.charge.refund()
			}
			e.refuseOrAbort(http.StatusServiceUnavailable, o.Reason, o.RetryAfter)
		case dispatch.Failed:
			status := http.StatusBadGateway
			if o.TimedOut {
				status = http.StatusGatewayTimeout
			}
			e.refuseOrAbort(status, o.Reason, 0)
		case dispatch.Abandoned:
			e.log().Info("caller left")
			e.countOutcome("caller-left")
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// countOutcome updates the metrics for an ended request by the kind of its route and its outcome.
func (e *exchange) countOutcome(outcome string) {
	kind := e.route.Kind.String()
	metrics.GetOrCreateCounter(`gypsumbank_gateway_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
	metrics.GetOrCreateHistogram(`gypsumbank_gateway_request_seconds{kind="` + kind + `"}`).UpdateDuration(e.request.Arrived)
	e.gateway.usage.CountRequest(e.request.Customer, outcome)
}

// refuseOrAbort writes an error response, or aborts the connection if a response has begun.
func (e *exchange) refuseOrAbort(status int, reason dispatch.Reason, retryAfter time.Duration) {
	e.log().WithFields(logrus.Fields{
		"status": status, "reason": reason, "retry-after-ms": retryAfter.Milliseconds(), "begun": e.answer.begun,
	}).Info("not served")
	e.countOutcome(string(reason))
	if e.answer.begun {
		panic(http.ErrAbortHandler)
	}
	e.gateway.conns.Announce(e.answer.conn, e.answer.writer.Header())
	writeRefusal(e.answer.writer, reason, status, retryAfter)
}

// log returns a log entry with the fields that all messages about the request share.
func (e *exchange) log() *logrus.Entry {
	return withCustomer(e.gateway.log, e.request.Customer).WithFields(logrus.Fields{
		"request": e.request.ID, "route": e.route.Name, "took-ms": time.Since(e.request.Arrived).Milliseconds(),
		"model": e.request.Model, "adapter": e.request.Adapter,
	})
}

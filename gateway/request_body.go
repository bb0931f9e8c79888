package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/bytebudget"
	"gypsumbank/dispatch"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/sender"
	"gypsumbank/settings"
)

const (
	// exchangeBytes is what a request takes beside its body: its header, buffers and stacks.
	exchangeBytes = 64 << 10
	// requestMemoryDivisor is the part of the memory that may hold requests by default: one in so many bytes.
	requestMemoryDivisor = 2
	// noMemoryRetryAfter is the Retry-After of a request that doesn't fit into the memory.
	noMemoryRetryAfter = 500 * time.Millisecond
	// maxDiscardTime is how long the body of a refused request may take to arrive before it is answered.
	maxDiscardTime = 500 * time.Millisecond
	// lingerTime is how long a caller that sends on after its answer is listened to, as a close would destroy the answer.
	lingerTime  = 2 * time.Second
	bytesPerMiB = 1 << 20
)

// errReadStopped reports a body that was still coming in at the time of the last answers.
var errReadStopped = errors.New("body is not complete as the gateway stops")

// newRequestMemory returns the account of the bytes that may be held for requests.
func newRequestMemory(config *settings.Config) *bytebudget.Budget {
	limit := int64(config.Gateway.RequestMemoryMiB) * bytesPerMiB
	if limit == 0 {
		limit = bytebudget.AvailableMemory(config.Limits.MemoryMiB) / requestMemoryDivisor
	}
	memory := bytebudget.New(limit)
	metrics.GetOrCreateGauge("gypsumbank_gateway_request_bytes", func() float64 { return float64(memory.Held()) })
	return memory
}

// readBody reads the body of a request, up to the limit of the routes, into req, once hold has room for it. If that fails, it refuses the request
// and returns false.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request.Request, hold *bytebudget.Hold, table *route.Table, deadline time.Time) bool {
	limit := table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := readWithin(g.lastAnswers, w, deadline, r.ContentLength, hold, func() ([]byte, error) {
		if err := hold.Reserve(exchangeBytes); err != nil {
			return nil, err
		}
		return bytebudget.ReadBody(r.Body, r.ContentLength, limit, hold)
	})
	switch {
	case errors.Is(err, errReadStopped):
		g.conns.AnsweredEarly(connFromContext(r.Context()))
		g.refuse(w, r, req.ID, dispatch.Stopping, http.StatusServiceUnavailable, dispatch.StoppingRetryAfter)
		return false
	case errors.Is(err, bytebudget.ErrFull):
		hold.Release()
		g.refuseUnread(w, r, limit, func() { g.refuseForMemory(w, r, req, err) })
		return false
	case errors.Is(err, bytebudget.ErrTooLong):
		g.refuseUnread(w, r, limit, func() { g.refuseTooLong(w, r, req, table) })
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		g.refuse(w, r, req.ID, dispatch.BodyStalled, http.StatusRequestTimeout, 0)
		return false
	case err != nil:
		g.refuse(w, r, req.ID, dispatch.UnreadableBody, http.StatusBadRequest, 0)
		return false
	}
	req.Body = body
	return true
}

// refuseTooLong refuses a request whose body is longer than the routes allow: newer ones may allow more.
func (g *Gateway) refuseTooLong(w http.ResponseWriter, r *http.Request, req *request.Request, table *route.Table) {
	if d, ok := g.doubtRoutes(table, req.Arrived); ok {
		g.hastenRoutes()
		g.refuseByRoutes(w, r, req.ID, d.reason, http.StatusServiceUnavailable, d.retryAfter)
		return
	}
	g.refuseByRoutes(w, r, req.ID, dispatch.BodyTooLarge, http.StatusRequestEntityTooLarge, 0)
}

// readWithin has read read a body of a length, -1 if it is unknown, until the deadline at the latest, until it gives way because it comes in slowly, or until ctx
// ends: then with errReadStopped.
func readWithin(ctx context.Context, w http.ResponseWriter, deadline time.Time, length int64, hold *bytebudget.Hold, read func() ([]byte, error)) ([]byte, error) {
	if length == 0 {
		return read()
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	hold.Receive(func() { _ = controller.SetReadDeadline(time.Now()) }, time.Now()) // fails only if the connection is closed
	stopRead := context.AfterFunc(ctx, func() {
		_ = controller.SetReadDeadline(time.Now()) // fails only if the connection is closed
	})
	body, err := read()
	hold.EndReceive()
	if !stopRead() {
		return nil, errReadStopped
	}
	if err != nil {
		return nil, err
	}
	return body, controller.SetReadDeadline(time.Time{})
}

// dropBody gives the memory of the request's body back once it can't be needed again: the answer has begun, and no other target may go on with it.
func (e *exchange) dropBody(answered dispatch.Answered) {
	if e.route.Resumable || e.dispatch.HasCopy() || len(e.request.Body) == 0 || answered.Response.WriteState() != sender.Written {
		return
	}
	e.hold.Return(int64(cap(e.request.Body)))
	e.request.Body = nil
}

// refuseForMemory logs, counts and refuses a request whose bytes don't fit into the memory.
func (g *Gateway) refuseForMemory(w http.ResponseWriter, r *http.Request, req *request.Request, full error) {
	metrics.GetOrCreateCounter(`gypsumbank_gateway_requests_total{kind="none",outcome="` + string(dispatch.NoMemory) + `"}`).Inc()
	g.usage.CountRequest(req.Customer, string(dispatch.NoMemory))
	withCustomer(g.log, req.Customer).WithError(full).WithFields(logrus.Fields{
		"request": req.ID, "host": r.Host, "uri": r.RequestURI, "reason": dispatch.NoMemory, "status": http.StatusServiceUnavailable,
		"body-bytes": r.ContentLength, "retry-after-ms": noMemoryRetryAfter.Milliseconds(),
	}).Info("refused")
	g.conns.Announce(connFromContext(r.Context()), w.Header())
	writeRefusal(w, dispatch.NoMemory, http.StatusServiceUnavailable, noMemoryRetryAfter)
}

// refuseUnread has refuse answer a request whose body of up to limit bytes has not been read, so that the answer reaches the caller. The connection
// stays if the rest of the body arrives soon; it is read and dropped. Else the answer announces the close, which waits for the caller.
func (g *Gateway) refuseUnread(w http.ResponseWriter, r *http.Request, limit int64, refuse func()) {
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		refuse() // the caller has not sent the body, and net/http closes the connection
		return
	}
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(maxDiscardTime+lingerTime)) != nil {
		refuse()
		return
	}
	discarded := make(chan bool, 1)
	go func() { discarded <- discardBody(r.Body, limit) }()
	select {
	case ended := <-discarded:
		if !ended || controller.SetReadDeadline(time.Time{}) != nil {
			w.Header().Set("Connection", "close")
		}
		refuse()
	case <-time.After(maxDiscardTime):
		w.Header().Set("Connection", "close")
		refuse()
		_ = controller.Flush() // a caller that has disconnected needs no response
		<-discarded
	}
}

// discardBody reads and drops up to limit bytes of a body and reports whether it has ended.
func discardBody(body io.Reader, limit int64) bool {
	dropped, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return err == nil && dropped <= limit
}

package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"gypsumbank/dispatch"
	"gypsumbank/fleet"
	"gypsumbank/platform"
	"gypsumbank/request"
	"gypsumbank/route"
)

const (
	defaultMaxBodyBytes = 4 << 20
	copyBufferBytes     = 16 << 10
	// crashOnset is how long after the first byte of an answer its request may be the cause of a crash of the target.
	crashOnset = 500 * time.Millisecond
)

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := platform.RequestID(r)
	if g.conns.closedWhileIdle(r.Context()) {
		g.log.WithField("request", id).Info("request arrived as its idle connection was closed, not forwarded")
		panic(http.ErrAbortHandler)
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if g.refusingRequests.Load() {
		g.refuse(w, r, id, dispatch.Stopping, http.StatusServiceUnavailable, dispatch.StoppingRetryAfter)
		return
	}
	table := g.routeTable.Load()
	if table == nil {
		g.refuse(w, r, id, dispatch.NoRoutes, http.StatusServiceUnavailable, time.Second)
		return
	}
	req := platform.DecodeRequest(r, arrived)
	matchedRoute := table.Match(req.Host, req.Path)
	if matchedRoute == nil {
		g.refuse(w, r, id, dispatch.NoRoute, http.StatusNotFound, 0)
		return
	}
	if !g.readBody(w, r, req, table.Limits().BodyBytes) {
		return
	}
	g.capDeadlineWhileDraining(req)
	service := matchedRoute.PickService(xxhash.Sum64String(req.ID))
	d := g.dispatcher.Begin(r.Context(), req, matchedRoute, service)
	defer d.Close()
	ex := &exchange{gateway: g, writer: w, request: req, route: matchedRoute, dispatch: d, callerCtx: r.Context()}
	ex.run()
}

// capDeadlineWhileDraining shortens the deadline of a request that arrives while the gateway drains, so that the caller gets
// a final response before connections are closed at the end of the grace.
func (g *Gateway) capDeadlineWhileDraining(req *request.Request) {
	deadlineNanos := g.drainDeadlineNanos.Load()
	if deadlineNanos == 0 {
		return
	}
	remaining := max(time.Millisecond, time.Unix(0, deadlineNanos).Sub(req.Arrived))
	if req.Timeout == 0 || remaining < req.Timeout {
		req.Timeout = remaining
	}
}

// readBody reads the body of a request of up to limit bytes into req. If that fails, it refuses the request and returns
// false.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request.Request, limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		g.refuse(w, r, req.ID, dispatch.BodyTooLarge, http.StatusRequestEntityTooLarge, 0)
		return false
	case err != nil:
		g.refuse(w, r, req.ID, dispatch.UnreadableBody, http.StatusBadRequest, 0)
		return false
	}
	req.Body = body
	return true
}

// refuse logs, counts and refuses a request that is not dispatched.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, requestID string, reason dispatch.Reason, status int, retryAfter time.Duration) {
	metrics.GetOrCreateCounter(`gypsumbank_gateway_requests_total{kind="none",outcome="` + string(reason) + `"}`).Inc()
	g.log.WithFields(logrus.Fields{"request": requestID, "host": r.Host, "uri": r.RequestURI, "reason": reason, "status": status}).Info("refused")
	writeRefusal(w, reason, status, retryAfter)
}

// writeRefusal writes an error response with the reason as its body.
func writeRefusal(w http.ResponseWriter, reason dispatch.Reason, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(reason)+"\n") // a caller that has disconnected needs no response
}

// exchange is one dispatched request with the response to its caller.
type exchange struct {
	gateway     *Gateway
	writer      http.ResponseWriter
	request     *request.Request
	route       *route.Route
	dispatch    *dispatch.Dispatch
	callerCtx   context.Context // ends when the caller disconnects
	headWritten bool            // the status and header of the response have been written

	longestGap  time.Duration // longest wait for a chunk of the response body
	bodyBytes   int           // bytes received of the body of the current response
	firstByteAt time.Time     // when the first of these arrived; zero before
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
}

// refuseOrAbort writes an error response, or aborts the connection if a response has begun.
func (e *exchange) refuseOrAbort(status int, reason dispatch.Reason, retryAfter time.Duration) {
	e.log().WithFields(logrus.Fields{
		"status": status, "reason": reason, "retry-after-ms": retryAfter.Milliseconds(), "begun": e.headWritten,
	}).Info("not served")
	e.countOutcome(string(reason))
	if e.headWritten {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(e.writer, reason, status, retryAfter)
}

// log returns a log entry with the fields that all messages about the request share.
func (e *exchange) log() *logrus.Entry {
	return e.gateway.log.WithFields(logrus.Fields{
		"request": e.request.ID, "route": e.route.Name, "took-ms": time.Since(e.request.Arrived).Milliseconds(),
		"model": e.request.Model, "adapter": e.request.Adapter,
	})
}

// forward copies a response to the caller. An error of the target that was to resume a stream is not part of the stream:
// forward then aborts the connection, so that the stream does not look complete. If a resumable stream breaks, it resumes it on another target and returns the
// outcome of that and true.
func (e *exchange) forward(answered dispatch.Answered) (dispatch.Outcome, bool) {
	defer answered.Response.Body.Close()
	if e.headWritten && answered.Response.Status >= http.StatusMultipleChoices {
		answered.Assignment.End(fleet.Failed, time.Now())
		e.refuseOrAbort(answered.Response.Status, dispatch.StreamBroken, 0)
	}
	e.writeHead(answered)
	e.bodyBytes, e.firstByteAt = 0, time.Time{}
	events := &eventBuffer{lastID: e.request.LastEventID}
	err := e.copyBody(answered, events)
	e.log().WithFields(logrus.Fields{
		"target": answered.Assignment.Target().ID, "status": answered.Response.Status, "longest-gap-ms": e.longestGap.Milliseconds(),
		"priority": e.route.Priority, "whole": err == nil,
	}).Info("answer ends")
	switch {
	case err == nil:
		answered.Assignment.End(fleet.Served, time.Now())
		e.judgeContents(answered, true)
		e.countOutcome("served")
		return nil, false
	case e.dispatch.TimedOut():
		answered.Assignment.End(fleet.Abandoned, time.Now())
		e.log().Info("answer cut at the timeout")
		e.countOutcome("cut-at-timeout")
		panic(http.ErrAbortHandler)
	case e.callerCtx.Err() != nil:
		answered.Assignment.End(fleet.Abandoned, time.Now())
		e.log().WithError(err).Info("caller left")
		e.countOutcome("caller-left")
		panic(http.ErrAbortHandler)
	}
	answered.Assignment.End(fleet.Failed, time.Now())
	e.judgeContents(answered, false)
	e.logBrokenAnswer(answered.Assignment.Target().ID, events.lastID, err)
	if e.route.Kind != route.Streaming || !e.route.Resumable {
		e.countOutcome(string(dispatch.StreamBroken))
		panic(http.ErrAbortHandler)
	}
	e.dispatch.Exclude(answered.Assignment.Target().ID)
	return e.dispatch.Resume(events.lastID), true
}

// judgeContents tells the quarantine what an answer shows of the contents of its request: one that ended soon after its begin
// may have crashed the target, unless its length or its chunks show that it is whole.
func (e *exchange) judgeContents(answered dispatch.Answered, whole bool) {
	endedSoon := e.firstByteAt.IsZero() || time.Since(e.firstByteAt) < crashOnset
	switch {
	case whole && (!answered.Response.EndsWithConnection || !endedSoon):
		if answered.Response.Status < http.StatusInternalServerError {
			e.dispatch.MarkAnswered()
		}
	case endedSoon:
		e.dispatch.MarkBroken(answered.Assignment.Target())
	}
}

// writeHead writes status and header of the response, once for an exchange: a resumed stream continues the first response.
func (e *exchange) writeHead(answered dispatch.Answered) {
	if e.headWritten {
		return
	}
	e.headWritten = true
	metrics.GetOrCreateHistogram(`gypsumbank_gateway_first_byte_seconds{kind="` + e.route.Kind.String() + `"}`).UpdateDuration(e.request.Arrived)
	header := e.writer.Header()
	for name, values := range platform.AnswerHeader(answered.Response) {
		header[name] = values
	}
	if answered.Response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answered.Response.Length, 10))
	}
	e.writer.WriteHeader(answered.Response.Status)
}

// copyBody copies the body to the caller as it arrives. Of a resumable stream it copies complete events only, since another
// target resumes after the last one.
func (e *exchange) copyBody(answered dispatch.Answered, events *eventBuffer) error {
	flusher := http.NewResponseController(e.writer)
	isStream := e.route.Kind == route.Streaming && answered.Response.Status < http.StatusMultipleChoices
	wholeEventsOnly := isStream && e.route.Resumable
	buffer := make([]byte, copyBufferBytes)
	lastRead := time.Now()
	for {
		n, err := answered.Response.Body.Read(buffer)
		now := time.Now()
		e.longestGap = max(e.longestGap, now.Sub(lastRead))
		lastRead = now
		e.recordBodyBytes(n, now)
		chunk := buffer[:n]
		if wholeEventsOnly {
			complete, tooLong := events.addChunk(chunk)
			if tooLong != nil {
				return tooLong
			}
			chunk = complete
		} else if isStream {
			events.track(chunk)
		}
		if len(chunk) > 0 {
			if _, err := e.writer.Write(chunk); err != nil {
				return err
			}
			if answered.Response.Length < 0 {
				if err := flusher.Flush(); err != nil {
					return err
				}
			}
		}
		if errors.Is(err, io.EOF) {
			if isStream && (events.hasIncomplete() || (answered.Response.EndsWithConnection && !events.began)) {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// recordBodyBytes records that n bytes of a response body have arrived.
func (e *exchange) recordBodyBytes(n int, now time.Time) {
	if n > 0 && e.firstByteAt.IsZero() {
		e.firstByteAt = now
	}
	e.bodyBytes += n
}

// logBrokenAnswer logs and counts a response that its target has not completed: how much of it had arrived, since when, and
// the prompt parts of the request, which tell whether the requests that targets crash under have one in common.
func (e *exchange) logBrokenAnswer(targetID, lastEventID string, err error) {
	sinceFirstByteMs := int64(-1)
	if !e.firstByteAt.IsZero() {
		sinceFirstByteMs = time.Since(e.firstByteAt).Milliseconds()
	}
	metrics.GetOrCreateCounter(`gypsumbank_gateway_answers_broken_total{begun="` + strconv.FormatBool(e.bodyBytes > 0) + `"}`).Inc()
	e.log().WithError(err).WithFields(logrus.Fields{
		"target": targetID, "last-event": lastEventID, "body-bytes": e.bodyBytes, "since-first-byte-ms": sinceFirstByteMs, "parts": e.request.SharedPartIDs(),
	}).Info("answer broken off")
}

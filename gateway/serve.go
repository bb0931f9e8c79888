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
	defaultBodyBytes = 4 << 20
	copyBuffer       = 16 << 10
	// stoppingRetryAfter is short, as another gateway can serve the request at once.
	stoppingRetryAfter = 20 * time.Millisecond
)

// serve answers one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := platform.RequestID(r)
	if g.conns.crossed(r.Context()) {
		g.log.WithField("request", id).Info("request crossed the close of its connection")
		panic(http.ErrAbortHandler)
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if g.refusing.Load() {
		g.refuse(w, r, id, dispatch.Stopping, http.StatusServiceUnavailable, stoppingRetryAfter)
		return
	}
	table := g.table.Load()
	if table == nil {
		g.refuse(w, r, id, dispatch.NoRoutes, http.StatusServiceUnavailable, time.Second)
		return
	}
	req := platform.DecodeRequest(r, arrived)
	matched := table.Match(req.Host, req.Path)
	if matched == nil {
		g.refuse(w, r, id, dispatch.NoRoute, http.StatusNotFound, 0)
		return
	}
	if !g.readBody(w, r, req, table.Limits().BodyBytes) {
		return
	}
	g.limitToDrain(req)
	service := matched.PickService(xxhash.Sum64String(req.ID))
	d := g.dispatcher.Begin(r.Context(), req, matched, service)
	defer d.Close()
	exchange := &exchange{gateway: g, writer: w, request: req, route: matched, dispatch: d, caller: r.Context()}
	exchange.run()
}

// limitToDrain has a request that arrives while the gateway drains get its final answer before the end of the grace, when
// connections are closed.
func (g *Gateway) limitToDrain(req *request.Request) {
	end := g.answerBy.Load()
	if end == 0 {
		return
	}
	left := max(time.Millisecond, time.Unix(0, end).Sub(req.Arrived))
	if req.Timeout == 0 || left < req.Timeout {
		req.Timeout = left
	}
}

// readBody reads the body of a request and reports whether to go on.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request.Request, limit int64) bool {
	if limit <= 0 {
		limit = defaultBodyBytes
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

func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, request string, reason dispatch.Reason, status int, retryAfter time.Duration) {
	metrics.GetOrCreateCounter(`gypsumbank_gateway_requests_total{kind="none",outcome="` + string(reason) + `"}`).Inc()
	g.log.WithFields(logrus.Fields{"request": request, "host": r.Host, "uri": r.RequestURI, "reason": reason, "status": status}).Info("refused")
	writeRefusal(w, reason, status, retryAfter)
}

func writeRefusal(w http.ResponseWriter, reason dispatch.Reason, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(reason)+"\n") // a caller that has left needs no answer
}

// exchange is the answer to one request.
type exchange struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *request.Request
	route    *route.Route
	dispatch *dispatch.Dispatch
	caller   context.Context // ends when the caller leaves
	begun    bool            // the head of the answer has been written

	longestGap time.Duration // between two pieces of the answer
}

func (e *exchange) run() {
	outcome := e.dispatch.Run()
	for {
		switch o := outcome.(type) {
		case dispatch.Answered:
			next, again := e.pass(o)
			if !again {
				return
			}
			outcome = next
			continue
		case dispatch.Refused:
			e.end(http.StatusServiceUnavailable, o.Reason, o.RetryAfter)
		case dispatch.Failed:
			status := http.StatusBadGateway
			if o.TimedOut {
				status = http.StatusGatewayTimeout
			}
			e.end(status, o.Reason, 0)
		case dispatch.Abandoned:
			e.log().Info("caller left")
			e.count("caller-left")
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// count counts an ended request by its route's kind and outcome.
func (e *exchange) count(outcome string) {
	kind := e.route.Kind.String()
	metrics.GetOrCreateCounter(`gypsumbank_gateway_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
	metrics.GetOrCreateHistogram(`gypsumbank_gateway_request_seconds{kind="` + kind + `"}`).UpdateDuration(e.request.Arrived)
}

// end gives the final answer, or cuts off one that has begun.
func (e *exchange) end(status int, reason dispatch.Reason, retryAfter time.Duration) {
	e.log().WithFields(logrus.Fields{
		"status": status, "reason": reason, "retry-after-ms": retryAfter.Milliseconds(), "begun": e.begun,
	}).Info("not served")
	e.count(string(reason))
	if e.begun {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(e.writer, reason, status, retryAfter)
}

func (e *exchange) log() *logrus.Entry {
	return e.gateway.log.WithFields(logrus.Fields{
		"request": e.request.ID, "route": e.route.Name, "took-ms": time.Since(e.request.Arrived).Milliseconds(),
		"model": e.request.Model, "adapter": e.request.Adapter,
	})
}

// pass copies an answer to the caller; it returns the outcome of a resumed stream and whether there is one.
func (e *exchange) pass(o dispatch.Answered) (dispatch.Outcome, bool) {
	defer o.Answer.Body.Close()
	e.writeHead(o)
	stream := &events{lastID: e.request.LastEventID}
	err := e.copy(o, stream)
	e.log().WithFields(logrus.Fields{
		"target": o.Assignment.Target().ID, "status": o.Answer.Status, "longest-gap-ms": e.longestGap.Milliseconds(),
		"priority": e.route.Priority, "whole": err == nil,
	}).Info("answer ends")
	switch {
	case err == nil:
		o.Assignment.End(fleet.Served, time.Now())
		e.count("served")
		return nil, false
	case e.dispatch.TimedOut():
		o.Assignment.End(fleet.Abandoned, time.Now())
		e.log().Info("answer cut at the timeout")
		e.count("cut-at-timeout")
		panic(http.ErrAbortHandler)
	case e.caller.Err() != nil:
		o.Assignment.End(fleet.Abandoned, time.Now())
		e.log().WithError(err).Info("caller left")
		e.count("caller-left")
		panic(http.ErrAbortHandler)
	}
	o.Assignment.End(fleet.Failed, time.Now())
	e.log().WithError(err).WithFields(logrus.Fields{"target": o.Assignment.Target().ID, "last-event": stream.lastID}).Info("answer broken off")
	if e.route.Kind != route.Streaming || !e.route.Resumable {
		e.count(string(dispatch.StreamBroken))
		panic(http.ErrAbortHandler)
	}
	e.dispatch.Exclude(o.Assignment.Target().ID)
	return e.dispatch.Resume(stream.lastID), true
}

// writeHead passes on the status and headers of the first target.
func (e *exchange) writeHead(o dispatch.Answered) {
	if e.begun {
		return
	}
	e.begun = true
	metrics.GetOrCreateHistogram(`gypsumbank_gateway_first_byte_seconds{kind="` + e.route.Kind.String() + `"}`).UpdateDuration(e.request.Arrived)
	header := e.writer.Header()
	for name, values := range platform.AnswerHeader(o.Answer) {
		header[name] = values
	}
	if o.Answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(o.Answer.Length, 10))
	}
	e.writer.WriteHeader(o.Answer.Status)
}

// copy passes the body on as it arrives; of a resumable stream, whole events only.
func (e *exchange) copy(o dispatch.Answered, stream *events) error {
	flusher := http.NewResponseController(e.writer)
	whole := e.route.Kind == route.Streaming && e.route.Resumable && o.Answer.Status < 300
	buffer := make([]byte, copyBuffer)
	last := time.Now()
	for {
		n, err := o.Answer.Body.Read(buffer)
		now := time.Now()
		e.longestGap = max(e.longestGap, now.Sub(last))
		last = now
		piece := buffer[:n]
		if whole {
			piece = stream.take(piece)
		}
		if len(piece) > 0 {
			if _, err := e.writer.Write(piece); err != nil {
				return err
			}
			if o.Answer.Length < 0 {
				if err := flusher.Flush(); err != nil {
					return err
				}
			}
		}
		if errors.Is(err, io.EOF) {
			if whole && stream.partial() {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/completeness"
	"gypsumbank/dispatch"
	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/route"
)

const (
	copyBufferBytes = 16 << 10
	// crashOnset is how long after the first byte of an answer its request may be the cause of a crash of the target.
	crashOnset = 500 * time.Millisecond
)

// forward copies a response to the caller. An error of the target that was to resume a stream is not part of the stream:
// forward then aborts the connection, so that the stream does not look complete. If a resumable stream breaks, forward resumes it
// on another target and returns the outcome of that and true.
func (e *exchange) forward(answered dispatch.Answered) (dispatch.Outcome, bool) {
	defer answered.Response.Body.Close()
	defer func() { answered.Assignment.End(fleet.Failed, time.Now()) }() // of an answer that ended in no other way
	if e.answer.begun && !e.continuesStream(answered) {
		answered.Assignment.End(fleet.Failed, time.Now())
		e.refuseOrAbort(answered.Response.Status, dispatch.StreamBroken, 0)
	}
	e.begin(answered)
	e.bodyBytes, e.firstByteAt, e.originRecorded = 0, time.Time{}, false
	isStream := e.route.Kind == route.Streaming && answered.Response.Status < http.StatusMultipleChoices
	events := e.newEvents(answered, isStream)
	defer events.release()
	err := e.copyBody(answered, events, isStream)
	known := completeness.Of(answered.Response.Framing, err)
	if isStream {
		known = known.OfStream(events.began, events.hasIncomplete())
	}
	if err == nil {
		err = e.end(known)
	}
	e.logEnd(answered, known, events)
	switch {
	case err == nil:
		answered.Assignment.EndComplete(answered.Response.Status, time.Now())
		e.judgeContents(answered, known)
		e.countOutcome(servedOutcome(known))
		return nil, false
	case e.dispatch.TimedOut():
		e.cut(answered, "answer cut at the timeout", "cut-at-timeout", http.StatusGatewayTimeout, dispatch.TimeoutMayRun)
		return nil, false
	case e.dispatch.GraceOver():
		e.cut(answered, "answer cut at the end of the grace", "cut-at-stop", http.StatusBadGateway, dispatch.Stopping)
		return nil, false
	case e.callerCtx.Err() != nil, errors.Is(err, errCallerWrite):
		answered.Assignment.End(fleet.Abandoned, time.Now())
		e.log().WithError(err).Info("caller left")
		e.countOutcome("caller-left")
		panic(http.ErrAbortHandler)
	}
	answered.Assignment.End(targetResult(known), time.Now())
	e.judgeContents(answered, known)
	e.logBrokenAnswer(answered.Assignment.Target().ID, events.lastID, err)
	if outcome, ok := e.goOn(answered, events, err); ok {
		return outcome, true
	}
	if e.route.Kind != route.Streaming || !e.route.Resumable {
		e.countOutcome(string(dispatch.StreamBroken))
		panic(http.ErrAbortHandler)
	}
	e.dispatch.Exclude(answered.Assignment.Target().ID)
	return e.dispatch.Resume(answered.Assignment.Target(), events.lastID), true
}

// newEvents returns the buffer for the events of an answer. Of a stream that can go on at a copy only whole events are passed on, and it can
// do so only if their ids are numbers without gaps; those of the second engine must follow the last one.
func (e *exchange) newEvents(answered dispatch.Answered, isStream bool) *eventBuffer {
	events := &eventBuffer{hold: e.hold, lastID: e.request.LastEventID}
	switch {
	case e.dispatch.WentOn():
		events.numbering = nextOnly
	case e.dispatch.HasCopy() && isStream && mediaType(answered.Response.Header) == eventStreamType:
		events.numbering = numbered
	default:
		e.dispatch.DropCopy()
	}
	return events
}

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// goOn has a stream that an engine has broken off go on at the copy of its run. It returns false if there is none to go on at.
func (e *exchange) goOn(answered dispatch.Answered, events *eventBuffer, err error) (dispatch.Outcome, bool) {
	if !e.dispatch.HasCopy() || errors.Is(err, errCallerWrite) {
		return nil, false
	}
	answered.Response.Abort()
	return e.dispatch.GoOn(answered.Assignment.Target(), events.lastID, err)
}

// logEnd logs how an answer ended, and what tells how far it is known to be whole.
func (e *exchange) logEnd(answered dispatch.Answered, known completeness.Completeness, events *eventBuffer) {
	e.log().WithFields(logrus.Fields{
		"target": answered.Assignment.Target().ID, "status": answered.Response.Status, "priority": e.request.Priority,
		"longest-gap-ms": e.longestGap.Milliseconds(), "body-bytes": e.bodyBytes, "within-event": events.hasIncomplete(), "event-writes": e.answer.eventWrites(),
		"whole": known == completeness.Whole, "completeness": known.String(),
		"framing": answered.Response.Framing.String(), "to-caller": e.answer.framing.String(), "request-written": answered.Response.WriteState().String(),
	}).Info("answer ends")
}

// cut logs and counts an answer that does not go on, though not for its target's doing. The caller gets a failure in its place if nothing of it has
// been written, else its connection is closed.
func (e *exchange) cut(answered dispatch.Answered, message, outcome string, status int, reason dispatch.Reason) {
	answered.Assignment.End(fleet.Abandoned, time.Now())
	e.log().Info(message)
	if e.answer.begun {
		e.countOutcome(outcome)
		panic(http.ErrAbortHandler)
	}
	e.refuseOrAbort(status, reason, 0)
}

// targetResult returns the result of an assignment whose answer was not passed on to its end: a target may have given all of it.
func targetResult(known completeness.Completeness) fleet.Result {
	if known == completeness.Broken {
		return fleet.Failed
	}
	return fleet.Served
}

// continuesStream reports whether an answer may be joined to the one that has begun: a success of the same run and of the same kind.
func (e *exchange) continuesStream(answered dispatch.Answered) bool {
	return answered.Response.Status < http.StatusMultipleChoices && mediaType(answered.Response.Header) == e.answer.mediaType &&
		e.dispatch.ContinuesStream(answered.Assignment.Target())
}

// mediaType returns the media type of an answer without its parameters; empty if it names none.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// servedOutcome names the outcome of a request whose answer was passed on to its end.
func servedOutcome(known completeness.Completeness) string {
	if known == completeness.Unproven {
		return "served-unproven"
	}
	return "served"
}

// judgeContents tells the quarantine what an answer shows of the contents of its request: one that ended soon after its begin
// may have crashed the target, unless it is known to be whole.
func (e *exchange) judgeContents(answered dispatch.Answered, known completeness.Completeness) {
	endedSoon := e.firstByteAt.IsZero() || time.Since(e.firstByteAt) < crashOnset
	switch {
	case known == completeness.Whole, known == completeness.Unproven && !endedSoon:
		if answered.Response.Status < http.StatusInternalServerError {
			e.dispatch.MarkAnswered()
		}
	case endedSoon:
		e.dispatch.MarkBroken(answered.Assignment.Target())
	}
}

// begin writes status and header of the response, once for an exchange: a resumed stream continues the first response.
func (e *exchange) begin(answered dispatch.Answered) {
	if e.answer.begun || e.answer.held != nil {
		return
	}
	metrics.GetOrCreateHistogram(`gypsumbank_gateway_first_byte_seconds{kind="` + e.route.Kind.String() + `"}`).UpdateDuration(e.request.Arrived)
	e.gateway.usage.CountTokens(e.request.Customer, e.request.PromptTokens, e.request.MaxOutputTokens)
	e.answer.begin(answered.Response, e.route.Kind == route.Streaming)
}

// copyBody copies the body to the caller up to its end or a break, and has written all of it then, also events that were held. It returns nil
// once the body has ended.
func (e *exchange) copyBody(answered dispatch.Answered, events *eventBuffer, isStream bool) error {
	err := e.copyParts(answered, events, isStream)
	if writeErr := e.answer.writeHeldEvents(); writeErr != nil {
		return writeErr
	}
	return err
}

// copyParts copies the body to the caller as it arrives. Of a resumable stream it copies complete events only, since another
// target resumes after the last one. It returns nil once the body has ended.
func (e *exchange) copyParts(answered dispatch.Answered, events *eventBuffer, isStream bool) error {
	buffer := make([]byte, copyBufferBytes)
	pace := newEventPace(answered.Assignment)
	defer pace.record()
	if e.lastChunkAt.IsZero() {
		e.lastChunkAt = time.Now()
	}
	for {
		e.dropBody(answered)
		e.dispatch.RecordRead(time.Now())
		n, err := answered.Response.Body.Read(buffer)
		now := time.Now()
		e.longestGap = max(e.longestGap, now.Sub(e.lastChunkAt))
		e.recordBodyBytes(n, now)
		chunk := buffer[:n]
		var invalid error
		if isStream {
			pace.add(chunk, now)
			chunk, invalid = e.passableEvents(chunk, events)
			e.recordOrigin(chunk, answered.Assignment.Target())
		}
		if err := e.answer.write(chunk); err != nil {
			return err
		}
		if invalid != nil {
			return invalid
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// errNotKnownWhole reports an answer that can't be passed on to its end without saying more than is known of it.
var errNotKnownWhole = errors.New("answer is not known to be whole")

// end has the caller's answer end in order if that claims no more than is known of the target's, whose body has ended.
func (e *exchange) end(known completeness.Completeness) error {
	switch {
	case known == completeness.Broken:
		return io.ErrUnexpectedEOF
	case !known.MayEnd(e.answer.framing):
		return errNotKnownWhole
	}
	return e.answer.finish()
}

// passableEvents returns the bytes of a stream to pass on now that a chunk has arrived: of a stream that may go on elsewhere the events that
// are complete, else the chunk. The error reports what follows these and must not be passed on.
func (e *exchange) passableEvents(chunk []byte, events *eventBuffer) ([]byte, error) {
	if events.numbering == numbered {
		whole := events.addNumbered(chunk)
		if events.unnumbered {
			e.dispatch.DropCopy()
		}
		return whole, nil
	}
	if events.numbering == rising && !e.route.Resumable {
		events.track(chunk)
		return chunk, nil
	}
	return events.addChunk(chunk)
}

// recordBodyBytes records that n bytes of a response body have arrived.
func (e *exchange) recordBodyBytes(n int, now time.Time) {
	if n > 0 && e.firstByteAt.IsZero() {
		e.firstByteAt = now
	}
	if n > 0 {
		e.lastChunkAt = now
		e.dispatch.RecordBytes(now)
	}
	e.bodyBytes += n
}

// recordOrigin records, before the first events of an answer are passed on, which target began the stream or goes on with it. A target that
// breaks off before its first whole event has not: another may begin the stream anew.
func (e *exchange) recordOrigin(passed []byte, target registry.Target) {
	if len(passed) > 0 && !e.originRecorded {
		e.originRecorded = true
		e.dispatch.RecordOrigin(target)
	}
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

package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"gypsumbank/framing"
	"gypsumbank/platform"
	"gypsumbank/resetguard"
	"gypsumbank/sender"
)

// connContextKey is the context key under which requests find their connection.
type connContextKey struct{}

// contextWithConn returns the context for the requests on a connection.
func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connFromContext returns the connection of a request; nil if the context names none.
func connFromContext(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connContextKey{}).(net.Conn)
	return conn
}

// errCallerWrite reports that an answer could not be written to its caller, who has gone or does not read it. The target has no part in it.
var errCallerWrite = errors.New("caller does not take the answer")

// maxHeldBytes is how much of an answer with a length is held back, with its status and header, so that it can still be replaced by a failure.
const maxHeldBytes = 2 << 10

// callerAnswer is the answer to a caller, as far as it has been written.
type callerAnswer struct {
	writer    http.ResponseWriter
	announce  func(net.Conn, http.Header) // sets the fields that tell for how long the connection is kept
	conn      net.Conn                    // of the caller; nil if it is not known
	hasChunks bool                        // the caller's protocol knows chunks
	begun     bool                        // the status and header have been written
	framing   framing.Framing
	mediaType string
	guard     resetguard.Guard // of an answer that ends with its connection
	held      *sender.Response // whose status and header are held back; nil if none are
	heldBody  []byte

	holdTime time.Duration // longest time for which events of a stream are held; 0 to write them as they arrive
	leave    func()        // ends the exchange; called if held events can't be written
	events   *eventWriter  // of a stream whose events may be held; nil of other answers
}

func newCallerAnswer(w http.ResponseWriter, r *http.Request, announce func(net.Conn, http.Header)) *callerAnswer {
	return &callerAnswer{writer: w, announce: announce, conn: connFromContext(r.Context()), hasChunks: r.ProtoAtLeast(1, 1)}
}

// holdEvents has events of a stream held for the hold time at most. If they can't be written then, leave is called. It is called before begin; close must
// be called before the handler ends.
func (a *callerAnswer) holdEvents(holdTime time.Duration, leave func()) {
	a.holdTime, a.leave = holdTime, leave
}

// close ends the writes of held events.
func (a *callerAnswer) close() {
	if a.events != nil {
		a.events.close()
	}
}

// begin writes the status and header of a target's answer. Those of an answer with a length that is no stream are held back at first.
func (a *callerAnswer) begin(response *sender.Response, isStream bool) {
	a.mediaType, a.framing = mediaType(response.Header), framing.Chunks
	switch {
	case response.Length >= 0:
		a.framing = framing.Length
	case response.Framing == framing.Connection || !a.hasChunks:
		a.framing = framing.Connection
	}
	if a.framing == framing.Length && !isStream {
		a.held = response
		return
	}
	a.writeHead(response)
	isSuccess := response.Status < http.StatusMultipleChoices
	if a.holdTime > 0 && isStream && isSuccess && a.framing != framing.Length && a.mediaType == eventStreamType {
		a.events = newEventWriter(a.writer, a.holdTime, a.leave)
	}
}

// writeHead writes the status and header of an answer.
func (a *callerAnswer) writeHead(response *sender.Response) {
	a.begun = true
	header := a.writer.Header()
	a.announce(a.conn, header)
	for name, values := range platform.AnswerHeader(response) {
		header[name] = values
	}
	switch a.framing {
	case framing.Length:
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	case framing.Connection:
		header.Set("Transfer-Encoding", "identity") // has net/http send the body without chunks, and not this field
		a.guard = resetguard.New(a.conn)
	case framing.Chunks:
	}
	a.writer.WriteHeader(response.Status)
}

// writeHeld writes what is held back.
func (a *callerAnswer) writeHeld() error {
	if a.held == nil {
		return nil
	}
	response, body := a.held, a.heldBody
	a.held, a.heldBody = nil, nil
	a.writeHead(response)
	if len(body) == 0 {
		return nil
	}
	if _, err := a.writer.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// write writes a part of the body, at once unless the answer has a length or events that may be held.
func (a *callerAnswer) write(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	if a.events != nil {
		return a.events.write(chunk)
	}
	if a.held != nil && len(a.heldBody)+len(chunk) <= maxHeldBytes {
		a.heldBody = append(a.heldBody, chunk...)
		return nil
	}
	if err := a.writeHeld(); err != nil {
		return err
	}
	if _, err := a.writer.Write(chunk); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	if a.framing == framing.Length {
		return nil
	}
	return a.flush()
}

// writeHeldEvents writes the events that are held, and returns the error of an earlier write of these.
func (a *callerAnswer) writeHeldEvents() error {
	if a.events == nil {
		return nil
	}
	return a.events.flush()
}

// eventWrites returns in how many writes a stream whose events may be held has been passed on; 0 of other answers.
func (a *callerAnswer) eventWrites() int {
	if a.events == nil {
		return 0
	}
	return a.events.countWrites()
}

// finish has the answer end in order. No events are held any more.
func (a *callerAnswer) finish() error {
	if err := a.writeHeld(); err != nil || a.framing != framing.Connection {
		return err
	}
	err := a.flush()
	a.guard.Lift()
	return err
}

func (a *callerAnswer) flush() error {
	if err := http.NewResponseController(a.writer).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"

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

// callerAnswer is the answer to a caller, as far as it has been written.
type callerAnswer struct {
	writer    http.ResponseWriter
	conn      net.Conn // of the caller; nil if it is not known
	hasChunks bool     // the caller's protocol knows chunks
	begun     bool     // the status and header have been written
	framing   framing.Framing
	mediaType string
	guard     resetguard.Guard // of an answer that ends with its connection
}

func newCallerAnswer(w http.ResponseWriter, r *http.Request) *callerAnswer {
	return &callerAnswer{writer: w, conn: connFromContext(r.Context()), hasChunks: r.ProtoAtLeast(1, 1)}
}

// begin writes the status and header of a target's answer.
func (a *callerAnswer) begin(response *sender.Response) {
	a.begun, a.mediaType, a.framing = true, mediaType(response.Header), framing.Chunks
	header := a.writer.Header()
	for name, values := range platform.AnswerHeader(response) {
		header[name] = values
	}
	switch {
	case response.Length >= 0:
		a.framing = framing.Length
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	case response.Framing == framing.Connection || !a.hasChunks:
		a.framing = framing.Connection
		header.Set("Transfer-Encoding", "identity") // has net/http send the body without chunks, and not this field
		a.guard = resetguard.New(a.conn)
	}
	a.writer.WriteHeader(response.Status)
}

// write writes a part of the body, at once unless the answer has a length.
func (a *callerAnswer) write(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	if _, err := a.writer.Write(chunk); err != nil || a.framing == framing.Length {
		return err
	}
	return a.flush()
}

// finish has the answer end in order.
func (a *callerAnswer) finish() error {
	if a.framing != framing.Connection {
		return nil
	}
	err := a.flush()
	a.guard.Lift()
	return err
}

func (a *callerAnswer) flush() error { return http.NewResponseController(a.writer).Flush() }

package entry

import (
	"errors"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"gypsumbank/bytebudget"
	"gypsumbank/settings"
	"gypsumbank/webserver"
)

const (
	// requestMemoryDivisor is the part of the memory that may hold requests and connections: one in so many bytes.
	requestMemoryDivisor = 2
	// connsDivisor is the part of that which connections may take: one in so many bytes.
	connsDivisor = 2
	// connBaseBytes is what a connection takes beside the buffer for its heads: other buffers and stacks.
	connBaseBytes = 48 << 10
	// exchangeBytes is what a request takes beside its body.
	exchangeBytes = 32 << 10
	// bodyCopies is how often a body is held while it is sent on: as it came, encoded for the sidecar, and in the buffer of that connection.
	bodyCopies = 3
	// minBodies is how many bodies of the largest size fit at least, whatever the memory.
	minBodies = 2
	// spareConcurrency is added to the connections that fasthttp may serve, as it counts one for a moment longer than its place is taken.
	spareConcurrency = 64
	// oversizedHeader is the field by which markOversized tells the handler of its finding. Callers can't set it.
	oversizedHeader = "Gypsumbank-Oversized"
	// silentWait is how long a connection on which nothing has come is kept while others wait for places. Callers send a request as soon as they are connected.
	silentWait = 200 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After of a request that doesn't fit into the memory.
	noMemoryRetryAfter = time.Second
)

// newRequestMemory returns the account of the bytes that may be held for callers, including the connections of server.
func newRequestMemory(config *settings.Config, server *webserver.Server) *bytebudget.Budget {
	limit := max(bytebudget.AvailableMemory(config.Limits.MemoryMiB)/requestMemoryDivisor, minBodies*bodyCopies*int64(config.Entry.MaxBodyBytes))
	memory := bytebudget.New(limit)
	memory.SetPace(int64(config.Limits.BodyPace))
	memory.CountBeside(func() int64 { return int64(server.Open()) * connBytes(config) })
	metrics.GetOrCreateGauge("gypsumbank_entry_request_bytes", func() float64 { return float64(memory.Held()) })
	return memory
}

// connBytes returns what a connection of a caller takes beside its requests.
func connBytes(config *settings.Config) int64 {
	return connBaseBytes + int64(config.Entry.MaxHeaderBytes)
}

// maxCallers returns the number of connections of callers that may be open, by the settings and by the memory for requests.
func maxCallers(config *settings.Config, memoryBytes int64) int {
	return max(1, min(config.Entry.MaxConnections, int(memoryBytes/connsDivisor/connBytes(config))))
}

// markOversized marks a request whose body is announced as longer than allowed, and has fasthttp read none of it: it would wait for the first bytes before the
// handler can refuse the request.
func (e *Entry) markOversized(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(oversizedHeader)
	if header.ContentLength() > e.config.Entry.MaxBodyBytes {
		header.SetContentLength(0)
		header.Set(oversizedHeader, "1")
	}
	return fasthttp.RequestConfig{}
}

func isOversized(ctx *fasthttp.RequestCtx) bool {
	return len(ctx.Request.Header.Peek(oversizedHeader)) > 0
}

// refuseUnread answers a request whose body, if it has one, has not been read to its end. The connection then ends with the answer.
func (e *Entry) refuseUnread(ctx *fasthttp.RequestCtx, failed *errorResponse) {
	if isOversized(ctx) || ctx.RequestBodyStream() != nil && ctx.Request.Header.ContentLength() != 0 {
		ctx.SetConnectionClose()
		e.httpServer.AnsweredEarly(ctx.Conn())
	}
	failed.write(ctx)
}

// readBody reads the body of a request, once hold has room for it and its copies.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx, hold *bytebudget.Hold) *errorResponse {
	if err := hold.Reserve(exchangeBytes); err != nil {
		return noMemoryError(err)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	length, limit := max(-1, int64(ctx.Request.Header.ContentLength())), int64(e.config.Entry.MaxBodyBytes)
	copies := max(0, length) * (bodyCopies - 1)
	if err := hold.Reserve(copies); err != nil {
		return noMemoryError(err)
	}
	conn := ctx.Conn()
	hold.Receive(func() { _ = conn.SetReadDeadline(time.Now()) }, time.Now()) // fails only if the connection is closed
	body, err := bytebudget.ReadBody(stream, length, limit, hold)
	hold.EndReceive()
	if err == nil && length < 0 {
		err = hold.Reserve(int64(len(body)) * (bodyCopies - 1))
	}
	switch {
	case errors.Is(err, bytebudget.ErrFull):
		return noMemoryError(err)
	case errors.Is(err, bytebudget.ErrTooLong):
		return bodyTooLargeError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return clientError(fasthttp.StatusRequestTimeout, "request_timeout", "the request did not arrive in time")
	case err != nil:
		return clientError(fasthttp.StatusBadRequest, "malformed_request", "the request could not be read")
	}
	ctx.Request.SetBodyRaw(body)
	return nil
}

// noMemoryError is the answer to a request whose bytes don't fit into the memory.
func noMemoryError(full error) *errorResponse {
	return serverError("no_memory", full.Error(), noMemoryRetryAfter)
}

func bodyTooLargeError() *errorResponse {
	return clientError(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than allowed")
}

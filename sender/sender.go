package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gypsumbank/connpool"
	"gypsumbank/framing"
	"gypsumbank/statusline"
)

var (
	// ErrNotSent reports that the request has not run: at most the first bytes of its head have left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoUsableResponse reports that the request was sent, at least in part, but no usable response was received.
	ErrNoUsableResponse = errors.New("no usable response")
)

const (
	// maxKeepAlive bounds the timeout that a target announces, so that its idle connections do not take descriptors for hours.
	maxKeepAlive = time.Minute
	// keepAliveMargin is subtracted from the timeout that the target announces, so that this side closes first.
	keepAliveMargin = time.Second
	// maxResponsesRead bounds the responses that are read to find the one to a request.
	maxResponsesRead = 4
	// headBytes is the space for the head of a request, which grows if it is longer.
	headBytes = 512
	// maxHeadBytes bounds the head of a response, which takes about three times its length while it is read: a faulty target may hold one for each of its
	// requests. maxSkippedBytes and skipTime bound the body of a response to another request.
	maxHeadBytes    = 32 << 10
	maxSkippedBytes = 4 << 20
	skipTime        = time.Second
	// maxDiscardedBytes and discardTime bound what is read of a body that nobody needs, only to keep the connection. A packet that is lost takes longer to be
	// sent again than a new connection takes.
	maxDiscardedBytes = 64 << 10
	discardTime       = 100 * time.Millisecond
)

// Request is an HTTP request to a target.
type Request struct {
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	IDHeader string // name of the header in which the target echoes ID
	ID       string // id of the request; not checked if empty
	Reuse    connpool.Reuse
	Reset    bool // reset the connection if there is no usable response, so that the target learns of it at once
}

// Response is the HTTP response of a target. Its body must be closed.
type Response struct {
	Status  int
	Header  http.Header
	Length  int64 // length of the body in bytes; -1 if unknown
	Framing framing.Framing
	Body    io.ReadCloser
	Use     ConnectionUse // of the connection that the request was sent on

	write *requestWrite
}

// WriteState returns how far the request of the response has been written.
func (r *Response) WriteState() WriteState { return r.write.state() }

// Abort resets the connection unless the body has been read to the end, so that the target stops its work on the request.
func (r *Response) Abort() {
	if body, ok := r.Body.(*responseBody); ok && !body.done {
		body.done = true
		body.stopAbort()
		body.conn.Abort()
	}
}

// Discard reads the rest of a body that nobody needs, so that the connection can be reused, and closes it. A body without an end, or one that comes slowly,
// costs the connection and no time of the request.
func (r *Response) Discard() {
	if body, ok := r.Body.(*responseBody); ok && !body.done {
		_ = body.conn.SetReadDeadline(time.Now().Add(discardTime)) // fails only if the connection is closed; the pool lifts it
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes)) // on failure the connection is just not reused
	_ = r.Body.Close()
}

// Sender sends requests over pooled connections.
type Sender struct {
	pool *connpool.Pool
}

// New returns a sender that gets its connections from pool.
func New(pool *connpool.Pool) *Sender { return &Sender{pool: pool} }

// CanReuse reports whether a request to address would be sent on an idle connection.
func (s *Sender) CanReuse(address string, reuse connpool.Reuse) bool {
	return s.pool.CanReuse(address, reuse)
}

// Send sends request once and returns the response after its header was read. If ctx ends before the body has been read to
// the end, the connection is reset. The error wraps ErrNotSent or ErrNoUsableResponse.
func (s *Sender) Send(ctx context.Context, address string, request *Request) (*Response, error) {
	head := encodeHead(request)
	conn, sent, err := s.connect(ctx, address, request, head)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	stopAbort := context.AfterFunc(ctx, conn.Abort)
	write := startWrite(conn.Conn, net.Buffers{head[sent:], request.Body})
	response, err := readResponse(conn, request) //nolint:bodyclose // closed by the body of the returned response
	if err != nil {
		stopAbort()
		if request.Reset {
			conn.Abort()
		}
		_ = conn.Close()
		return nil, fmt.Errorf("%w on a connection that was %s: %w", ErrNoUsableResponse, useOf(conn), err)
	}
	bodyFraming := framing.Of(response)
	body := &responseBody{sender: s, conn: conn, response: response, framing: bodyFraming, write: write, stopAbort: stopAbort, keepConn: request.Reuse.MaxIdle > 0}
	return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Framing: bodyFraming, Body: body, Use: useOf(conn), write: write}, nil
}

// connect returns a connection and the number of bytes of the head that have been sent on it. On a connection that may be stale these are
// the method, on which no target can act; if it is stale, the request is sent on a new connection.
func (s *Sender) connect(ctx context.Context, address string, request *Request, head []byte) (*connpool.Conn, int, error) {
	conn, err := s.pool.Get(ctx, address, request.Reuse, request.ID)
	if err != nil || !conn.MayBeStale {
		return conn, 0, err
	}
	first := len(request.Method)
	err = conn.Validate(ctx, head[:first])
	if errors.Is(err, connpool.ErrStale) {
		conn, err = s.pool.Get(ctx, address, connpool.Reuse{}, request.ID)
		return conn, 0, err
	}
	return conn, first, err
}

// encodeHead returns the bytes of a request before its body. The response does not depend on how they are split into packets.
func encodeHead(request *Request) []byte {
	var buffer bytes.Buffer
	buffer.Grow(headBytes)
	buffer.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead && request.Method != http.MethodDelete) {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// readResponse returns the response to request. It skips interim (1xx) responses and late responses to earlier requests.
func readResponse(conn *connpool.Conn, request *Request) (*http.Response, error) {
	defer conn.UnlimitReads()
	for range maxResponsesRead {
		conn.LimitReads(maxHeadBytes)
		response, err := http.ReadResponse(conn.Reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		switch {
		case statusline.IsInterim(response.StatusCode):
			continue
		case !statusline.IsFinal(response.StatusCode):
			return nil, fmt.Errorf("%w: %d", statusline.ErrInvalid, response.StatusCode)
		}
		if request.ID == "" || response.Header.Get(request.IDHeader) == request.ID {
			return response, nil
		}
		if framing.Of(response) == framing.Connection {
			return nil, errors.New("response to another request, with no known end")
		}
		if err := skipBody(conn, response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("no response with the id of the request")
}

// skipBody reads the body of a response to another request, behind which the one to this request comes.
func skipBody(conn *connpool.Conn, response *http.Response) error {
	conn.LimitReads(maxSkippedBytes)
	if err := conn.SetReadDeadline(time.Now().Add(skipTime)); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("body of a response to another request: %w", err)
	}
	return conn.SetReadDeadline(time.Time{})
}

// responseBody is the body of a response. It returns the connection to the pool once it has been read to the end.
type responseBody struct {
	sender    *Sender
	conn      *connpool.Conn
	response  *http.Response
	framing   framing.Framing
	write     *requestWrite
	stopAbort func() bool
	keepConn  bool
	done      bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.response.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.framing == framing.Connection && b.write.stoppedByReset() {
		return n, errReset
	}
	b.release()
	return n, io.EOF
}

// errReset reports a body whose end only the end of its connection marks, and whose connection was reset.
var errReset = fmt.Errorf("%w: connection was reset", io.ErrUnexpectedEOF)

// Close closes the connection unless the body has been read to the end.
func (b *responseBody) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	b.stopAbort()
	return b.conn.Close()
}

// release returns the connection to the pool, or closes it if it is not fit for reuse, as one whose request has not been written to its end.
func (b *responseBody) release() {
	b.done = true
	written := b.write.stop() == Written
	if !b.stopAbort() || !b.keepConn || b.response.Close || !written {
		_ = b.conn.Close()
		return
	}
	b.sender.pool.Put(b.conn, keepAliveTime(b.response.Header))
}

// keepAliveTime returns how long to keep an idle connection, based on the Keep-Alive header of the last response.
func keepAliveTime(header http.Header) time.Duration {
	_, after, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return connpool.BriefIdle
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return connpool.BriefIdle
	}
	announced := time.Duration(min(seconds, int(maxKeepAlive/time.Second))) * time.Second
	return announced - keepAliveMargin
}

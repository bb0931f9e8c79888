package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gypsumbank/connpool"
)

var (
	// ErrNotSent reports that nothing of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoUsableResponse reports that the request was sent, at least in part, and has no usable answer.
	ErrNoUsableResponse = errors.New("no usable answer")
)

const (
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the target's own timeout, so that this side closes first.
	idleMargin = time.Second
	maxForeign = 4
)

// Request is a request to a target.
type Request struct {
	Method      string
	URI         string
	Host        string
	Header      http.Header
	Body        []byte
	IDHeader    string        // header in which the target echoes the request's id
	ID          string        // expected in IDHeader; not checked if empty
	MaxConnIdle time.Duration // how long the connection that is used may have been idle
}

// Response is the answer of a target; its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Length int64 // -1 if not known
	Body   io.ReadCloser
}

// Sender sends messages over pooled connections.
type Sender struct {
	pool *connpool.Pool
}

// New returns a sender that takes its connections from pool.
func New(pool *connpool.Pool) *Sender { return &Sender{pool: pool} }

// Send sends message once and returns the head of the answer; ending ctx closes the connection. The error wraps
// ErrNotSent or ErrBroken.
func (s *Sender) Send(ctx context.Context, address string, message *Request) (*Response, error) {
	conn, err := s.pool.Get(ctx, address, message.MaxConnIdle)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(encode(message))
		written <- err
	}()
	response, err := read(conn, message) //nolint:bodyclose // the answer's body closes it
	if err != nil {
		stop()
		conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrNoUsableResponse, err)
	}
	body := &body{sender: s, conn: conn, response: response, written: written, stop: stop}
	return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body}, nil
}

// encode returns the bytes of a request; the target's answer does not depend on how they are split into packets.
func encode(m *Request) []byte {
	var b bytes.Buffer
	b.Grow(len(m.Body) + 512)
	b.WriteString(m.Method + " " + m.URI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	for name, values := range m.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(m.Body) > 0 || (m.Method != http.MethodGet && m.Method != http.MethodHead && m.Method != http.MethodDelete) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

// read returns the answer to message and skips interim answers and late ones to earlier requests.
func read(conn *connpool.Conn, message *Request) (*http.Response, error) {
	for range maxForeign {
		response, err := http.ReadResponse(conn.Reader, &http.Request{Method: message.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if message.ID == "" || response.Header.Get(message.IDHeader) == message.ID {
			return response, nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errors.New("answer to another request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers to other requests")
}

// body hands the connection back once it has been read to its end.
type body struct {
	sender   *Sender
	conn     *connpool.Conn
	response *http.Response
	written  chan error
	stop     func() bool
	ended    bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.response.Body.Read(p)
	if err == io.EOF {
		b.finish()
	}
	return n, err
}

// Close closes the connection unless the answer was read to its end.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.stop()
	return b.conn.Close()
}

func (b *body) finish() {
	b.ended = true
	if !b.stop() || b.response.Close || !b.sent() {
		b.conn.Close()
		return
	}
	b.sender.pool.Put(b.conn, idleTime(b.response.Header))
}

// sent reports whether the whole request has been written; a target may answer before it has read all of it.
func (b *body) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// idleTime returns how long a connection may be kept after an answer with the given header.
func idleTime(header http.Header) time.Duration {
	_, after, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return defaultIdle
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return defaultIdle
	}
	return min(defaultIdle, time.Duration(seconds)*time.Second-idleMargin)
}

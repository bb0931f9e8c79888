package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"gypsumbank/bytebudget"
	"gypsumbank/completeness"
	"gypsumbank/connpool"
	"gypsumbank/sender"
)

var (
	// ErrNotSent is returned if no connection to the service could be opened, so the call was not run.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoAnswer is returned if the call was sent but no complete answer arrived, so it may have been run.
	ErrNoAnswer = errors.New("no answer to a call that was sent")
)

const (
	maxResponseBytes = 16 << 20
	// freeBytes of an answer are not charged to the memory for answers: usual answers are shorter.
	freeBytes = 4 << 10
)

// Header is a header of a call or an answer.
type Header struct {
	Name  string
	Value string
}

// Call is a request to the service.
type Call struct {
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// Answer is an answer to a call. Of the service's headers it keeps only the content type. The zero value of Completeness claims nothing, as it
// stands in records of versions that did not keep it.
type Answer struct {
	Status       int
	Headers      []Header
	Body         []byte
	Completeness completeness.Completeness
}

// Client calls a plain service. It opens a new connection for each call, because a call that is sent on a stale idle
// connection has an unknown outcome.
type Client struct {
	address string
	sender  *sender.Sender
}

// New returns a client for the service at address, an IP address with a port.
func New(address string) *Client {
	return &Client{address: address, sender: sender.New(connpool.New(connpool.Unlimited))}
}

// Do sends a call once, without retries, and returns the answer or an error that wraps ErrNotSent or ErrNoAnswer. What it keeps of the answer is charged to memory, which
// the caller releases.
func (c *Client) Do(ctx context.Context, call Call, memory *bytebudget.Hold) (Answer, error) {
	header := http.Header{"Connection": {"close"}}
	for _, h := range call.Headers {
		header.Set(h.Name, h.Value)
	}
	response, err := c.sender.Send(ctx, c.address, &sender.Request{Method: call.Method, URI: call.Path, Host: c.address, Header: header, Body: call.Body})
	if errors.Is(err, sender.ErrNotSent) {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer response.Body.Close()
	answer, err := readAnswer(response, memory)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return answer, nil
}

// errAnswerTooLarge reports an answer of more than maxResponseBytes.
var errAnswerTooLarge = errors.New("answer is too large")

// readAnswer reads an answer to its end.
func readAnswer(response *sender.Response, memory *bytebudget.Hold) (Answer, error) {
	body, err := readBody(response.Body, memory)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{Status: response.Status, Body: body, Completeness: completeness.Of(response.Framing, nil)}
	if contentType := response.Header.Get("Content-Type"); contentType != "" {
		answer.Headers = append(answer.Headers, Header{Name: "Content-Type", Value: contentType})
	}
	return answer, nil
}

// readBody reads a body to its end. A service may send without one for many calls at once, so each charges what it has kept so far.
func readBody(reader io.Reader, memory *bytebudget.Hold) ([]byte, error) {
	body := make([]byte, 0, freeBytes)
	for {
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBytes:
			return nil, errAnswerTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		if body, err = grow(body, memory); err != nil {
			return nil, err
		}
	}
}

// grow returns the body with twice the room, up to what shows that it is too long. What is charged for it is the larger one alone.
func grow(body []byte, memory *bytebudget.Hold) ([]byte, error) {
	capacity := min(2*cap(body), maxResponseBytes+1)
	if err := memory.Reserve(int64(capacity - freeBytes)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), capacity)
	copy(grown, body)
	memory.Return(int64(cap(body) - freeBytes))
	return grown, nil
}

// Dial opens a connection to the service and closes it; it returns why that failed.
func (c *Client) Dial(ctx context.Context) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	return conn.Close()
}

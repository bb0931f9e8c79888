package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

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

const maxResponseBytes = 16 << 20

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

// Do sends a call once, without retries, and returns the answer or an error that wraps ErrNotSent or ErrNoAnswer.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
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
	answer, err := readAnswer(response)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return answer, nil
}

// errAnswerTooLarge reports an answer of more than maxResponseBytes.
var errAnswerTooLarge = errors.New("answer is too large")

// readAnswer reads an answer to its end.
func readAnswer(response *sender.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return Answer{}, err
	}
	if len(body) > maxResponseBytes {
		return Answer{}, errAnswerTooLarge
	}
	answer := Answer{Status: response.Status, Body: body, Completeness: completeness.Of(response.Framing, nil)}
	if contentType := response.Header.Get("Content-Type"); contentType != "" {
		answer.Headers = append(answer.Headers, Header{Name: "Content-Type", Value: contentType})
	}
	return answer, nil
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

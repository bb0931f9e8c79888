package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent is returned if no connection to the service could be opened, so the call was not run.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoAnswer is returned if the call was sent but no complete answer arrived, so it may have been run.
	ErrNoAnswer = errors.New("no answer to a call that was sent")
)

const (
	dialTimeout      = time.Second
	maxResponseBytes = 16 << 20
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

// Answer is the complete answer to a call. Of the service's headers it keeps only the content type.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client calls a plain service. It opens a new connection for each call, because a call that is sent on a stale idle
// connection has an unknown outcome.
type Client struct {
	address string
}

// New returns a client for the service at address, an IP address with a port.
func New(address string) *Client { return &Client{address: address} }

// Do sends a call once, without retries, and returns the answer or an error that wraps ErrNotSent or ErrNoAnswer.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	answer, err := c.roundTrip(conn, call)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
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

// roundTrip sends call on conn with automatic retries disabled.
func (c *Client) roundTrip(conn net.Conn, call Call) (Answer, error) {
	client := fasthttp.HostClient{
		Addr:                      c.address,
		Dial:                      func(string) (net.Conn, error) { return conn, nil },
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + call.Path)
	request.Header.SetMethod(call.Method)
	for _, header := range call.Headers {
		request.Header.Set(header.Name, header.Value)
	}
	request.SetConnectionClose()
	request.SetBodyRaw(call.Body)
	if err := client.Do(request, response); err != nil {
		return Answer{}, err
	}
	return newAnswer(response), nil
}

// newAnswer copies the parts of response that an Answer keeps, because fasthttp reuses the response.
func newAnswer(response *fasthttp.Response) Answer {
	answer := Answer{
		Status: response.StatusCode(),
		Body:   append([]byte(nil), response.Body()...),
	}
	if contentType := response.Header.ContentType(); len(contentType) > 0 {
		answer.Headers = append(answer.Headers, Header{Name: "Content-Type", Value: string(contentType)})
	}
	return answer
}

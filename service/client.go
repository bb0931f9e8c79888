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
	// ErrNotSent reports that the call did not reach the service, so it was not run.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoAnswer reports that the call was sent and no whole answer came, so it may have been run.
	ErrNoAnswer = errors.New("no answer to a call that was sent")
)

const (
	dialTimeout      = time.Second
	maxResponseBytes = 16 << 20
)

// Header is one header of a call or an answer.
type Header struct {
	Name  string
	Value string
}

// Call is one call of the service.
type Call struct {
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// Answer is the whole answer to a call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client calls one plain service over a new connection for each call, so that a stale connection never leaves an outcome in doubt.
type Client struct {
	address string
}

// New returns a client of the service at address.
func New(address string) *Client { return &Client{address: address} }

// Do sends a call once and returns the answer, or an error that wraps ErrNotSent or ErrNoAnswer.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	answer, err := c.exchange(conn, call)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return answer, nil
}

func (c *Client) exchange(conn net.Conn, call Call) (Answer, error) {
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
	return answerOf(response), nil
}

func answerOf(response *fasthttp.Response) Answer {
	answer := Answer{
		Status: response.StatusCode(),
		Body:   append([]byte(nil), response.Body()...),
	}
	if contentType := response.Header.ContentType(); len(contentType) > 0 {
		answer.Headers = append(answer.Headers, Header{Name: "Content-Type", Value: string(contentType)})
	}
	return answer
}

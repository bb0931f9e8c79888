package jsonclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultTimeout   = 30 * time.Second
	maxResponseBytes = 64 << 20
	maxErrorText     = 200
)

// ErrStatus is wrapped by errors for answers with a status of 400 or above.
var ErrStatus = errors.New("refused by the server")

// StatusError carries the status and the text of a refusal and wraps ErrStatus.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the text.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// Unwrap returns ErrStatus.
func (e *StatusError) Unwrap() error { return ErrStatus }

// Client sends JSON requests to one server.
type Client struct {
	base string
	http *fasthttp.Client
}

// New returns a client for the server at address, an IP address with a port.
func New(address string) *Client {
	return &Client{base: "http://" + address, http: newTransport()}
}

// Do sends in as JSON and decodes the answer into out, either of which may be nil; it sends once.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.base + path)
	request.Header.SetMethod(method)
	if err := setBody(request, in); err != nil {
		return err
	}
	if err := c.http.DoDeadline(request, response, deadline(ctx)); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return fmt.Errorf("%s %s: %w", method, path, statusError(response))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), out); err != nil {
		return fmt.Errorf("%s %s: decode answer: %w", method, path, err)
	}
	return nil
}

// GetIfChanged decodes the answer to a GET into out unless its tag is still tag; it returns the tag of the answer and
// whether it was decoded.
func (c *Client) GetIfChanged(ctx context.Context, path, tag string, out any) (string, bool, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.base + path)
	request.Header.Set("If-None-Match", tag)
	if err := c.http.DoDeadline(request, response, deadline(ctx)); err != nil {
		return tag, false, fmt.Errorf("GET %s: %w", path, err)
	}
	if response.StatusCode() == fasthttp.StatusNotModified {
		return tag, false, nil
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return tag, false, fmt.Errorf("GET %s: %w", path, statusError(response))
	}
	if err := json.Unmarshal(response.Body(), out); err != nil {
		return tag, false, fmt.Errorf("GET %s: decode answer: %w", path, err)
	}
	return string(response.Header.Peek("ETag")), true, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func newTransport() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
	}
}

func setBody(request *fasthttp.Request, in any) error {
	if in == nil {
		return nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	return nil
}

func deadline(ctx context.Context) time.Time {
	at, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(defaultTimeout)
	}
	return at
}

func statusError(response *fasthttp.Response) error {
	text := string(response.Body())
	if len(text) > maxErrorText {
		text = text[:maxErrorText]
	}
	return &StatusError{Status: response.StatusCode(), Text: text}
}

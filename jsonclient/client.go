package jsonclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"gypsumbank/quietconn"
	"gypsumbank/statusline"
)

const (
	defaultTimeout = 30 * time.Second
	dialTimeout    = 3 * time.Second
	// keepAliveInterval and keepAliveProbes have a connection that is dead without notice closed within three seconds, also an idle one: the next call does not wait for
	// its answer.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	maxErrorTextBytes = 200
)

// ErrStatus is wrapped by the errors for answers whose HTTP status is no success.
var ErrStatus = errors.New("refused by the server")

// StatusError holds the HTTP status and the start of the body of an answer that is no success.
type StatusError struct {
	Status int
	Text   string
}

// Error implements the error interface.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// Unwrap makes errors.Is match ErrStatus.
func (e *StatusError) Unwrap() error { return ErrStatus }

// Client sends JSON requests to a server.
type Client struct {
	baseURL string
	http    *fasthttp.Client
}

// New returns a client for the server at address, an IP address with a port. An answer with a body of more than maxBytes is an error: a faulty server may
// send without end.
func New(address string, maxBytes int) *Client {
	return &Client{baseURL: "http://" + address, http: newHTTPClient(maxBytes)}
}

// Do sends in as JSON once, without retries, and decodes the answer into out; both may be nil. The call fails at the deadline
// of ctx, or after defaultTimeout if ctx has none; cancelling ctx does not end it earlier.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	_, err := c.DoWithHeader(ctx, method, path, "", in, out)
	return err
}

// DoWithHeader is Do and returns a header field of the answer, also if that is a refusal; it is empty if there is none.
func (c *Client) DoWithHeader(ctx context.Context, method, path, header string, in, out any) (string, error) {
	body, field, err := c.Fetch(ctx, method, path, header, in)
	if err != nil || out == nil {
		return field, err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return field, fmt.Errorf("%s %s: decode answer: %w", method, path, err)
	}
	return field, nil
}

// Fetch is DoWithHeader without the decoding of the answer, whose body it returns.
func (c *Client) Fetch(ctx context.Context, method, path, header string, in any) (body []byte, field string, err error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.baseURL + path)
	request.Header.SetMethod(method)
	if err := setBody(request, in); err != nil {
		return nil, "", err
	}
	if err := c.http.DoDeadline(request, response, deadlineOrDefault(ctx)); err != nil {
		return nil, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	field = string(response.Header.Peek(header))
	if !isSuccess(response) {
		return nil, field, fmt.Errorf("%s %s: %w", method, path, statusError(response))
	}
	return bytes.Clone(response.Body()), field, nil
}

// GetIfChanged sends a conditional GET and decodes the answer into out unless the ETag of the resource is still etag. It
// returns the current ETag and whether out was decoded.
func (c *Client) GetIfChanged(ctx context.Context, path, etag string, out any) (string, bool, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.baseURL + path)
	request.Header.Set("If-None-Match", etag)
	if err := c.http.DoDeadline(request, response, deadlineOrDefault(ctx)); err != nil {
		return etag, false, fmt.Errorf("GET %s: %w", path, err)
	}
	if response.StatusCode() == fasthttp.StatusNotModified {
		return etag, false, nil
	}
	if !isSuccess(response) {
		return etag, false, fmt.Errorf("GET %s: %w", path, statusError(response))
	}
	if err := json.Unmarshal(response.Body(), out); err != nil {
		return etag, false, fmt.Errorf("GET %s: decode answer: %w", path, err)
	}
	return string(response.Header.Peek("ETag")), true, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// maxAttempts allows for a new connection after all idle ones: on one that is not fit for use nothing has been sent.
const maxAttempts = fasthttp.DefaultMaxConnsPerHost + 1

// newHTTPClient returns an HTTP client that sends a request once and accepts answers of at most maxBytes.
func newHTTPClient(maxBytes int) *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      dialQuiet,
		MaxIdemponentCallAttempts: maxAttempts,
		RetryIfErr: func(_ *fasthttp.Request, _ int, err error) (bool, bool) {
			return false, errors.Is(err, quietconn.ErrUnsolicited)
		},
		MaxResponseBodySize:      maxBytes,
		NoDefaultUserAgentHeader: true,
	}
}

// dialQuiet opens a connection that is not reused once bytes have arrived on it that belong to no answer: answers have no
// id, so a late second copy of one would count as the answer to the next request. An answer without a valid status is an error: fasthttp takes the
// status 000 for 200.
func dialQuiet(address string) (net.Conn, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	return statusline.New(quietconn.New(conn)), nil
}

// dial opens a connection that is probed while nothing is sent on it.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return dialer.Dial("tcp4", address)
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

// deadlineOrDefault returns the deadline of ctx, or the time after defaultTimeout if it has none.
func deadlineOrDefault(ctx context.Context) time.Time {
	at, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(defaultTimeout)
	}
	return at
}

// isSuccess reports whether an answer has a status from 200 to 299.
func isSuccess(response *fasthttp.Response) bool {
	status := response.StatusCode()
	return status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices
}

func statusError(response *fasthttp.Response) error {
	text := string(response.Body())
	if len(text) > maxErrorTextBytes {
		text = text[:maxErrorTextBytes]
	}
	return &StatusError{Status: response.StatusCode(), Text: text}
}

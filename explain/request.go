package explain

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"unicode"
)

const (
	// MaxRequestBytes bounds a question as JSON. It is above the head of a request that gateways accept in practice, 16 KiB.
	MaxRequestBytes = 64 << 10
	maxMethodBytes  = 64
	maxHostBytes    = 512
	maxPathBytes    = 16 << 10
	maxHeaders      = 256
	maxExcluded     = 256
)

// ErrInvalid is wrapped by the errors for requests that cannot be explained. Their texts hold no values of headers, which may be keys.
var ErrInvalid = errors.New("invalid request")

// ErrTooLarge reports a question of more than MaxRequestBytes.
var ErrTooLarge = fmt.Errorf("%w: with its headers it has more than %d bytes", ErrInvalid, MaxRequestBytes)

// Request describes the request to be explained.
type Request struct {
	Method  string   `json:"method"`
	Host    string   `json:"host"`
	Path    string   `json:"path"` // with the query, if there is one
	Headers []Header `json:"headers,omitempty"`
	// Customer is the name of the customer that the request is of, in place of a key among the headers.
	Customer string `json:"customer,omitempty"`
	// Exclude holds ids of targets that must not be chosen, as after failed attempts.
	Exclude []string `json:"exclude,omitempty"`
}

// Header is a header field of a request.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ParseHeader parses a header field as "Name: value".
func ParseHeader(line string) (Header, error) {
	name, value, found := strings.Cut(line, ":")
	h := Header{Name: name, Value: strings.TrimSpace(value)}
	if !found {
		return Header{}, fmt.Errorf("%w: a header has no colon", ErrInvalid)
	}
	return h, h.check()
}

// check returns an error unless the field could be sent.
func (h Header) check() error {
	switch {
	case h.Name == "" || strings.ContainsFunc(h.Name, isNoTokenRune):
		return fmt.Errorf("%w: the name of a header is empty or has characters that names have not", ErrInvalid)
	case strings.EqualFold(h.Name, "Host"):
		return fmt.Errorf("%w: the host is not given as a header", ErrInvalid)
	case strings.ContainsFunc(h.Value, isControl):
		return fmt.Errorf("%w: the value of header %s has control characters", ErrInvalid, h.Name)
	}
	return nil
}

// Check returns an error that wraps ErrInvalid unless the request could be sent to a gateway.
func (r *Request) Check() error {
	switch {
	case r.Method == "" || len(r.Method) > maxMethodBytes || strings.ContainsFunc(r.Method, isNoTokenRune):
		return fmt.Errorf("%w: the method is missing or no word", ErrInvalid)
	case r.Host == "" || len(r.Host) > maxHostBytes || strings.ContainsFunc(r.Host, isSpaceOrControl):
		return fmt.Errorf("%w: the host is missing, too long or has blanks", ErrInvalid)
	case !strings.HasPrefix(r.Path, "/") || len(r.Path) > maxPathBytes || strings.ContainsFunc(r.Path, isSpaceOrControl):
		return fmt.Errorf("%w: the path does not begin with a slash, is too long or has blanks", ErrInvalid)
	case len(r.Headers) > maxHeaders:
		return fmt.Errorf("%w: more than %d headers", ErrInvalid, maxHeaders)
	case len(r.Exclude) > maxExcluded:
		return fmt.Errorf("%w: more than %d targets to exclude", ErrInvalid, maxExcluded)
	}
	for _, h := range r.Headers {
		if err := h.check(); err != nil {
			return err
		}
	}
	return nil
}

// Header returns the headers as a server has them after it has read a request.
func (r *Request) Header() http.Header {
	header := http.Header{}
	for _, h := range r.Headers {
		header.Add(h.Name, h.Value)
	}
	return header
}

// isNoTokenRune reports whether a character may not be in a method or the name of a header.
func isNoTokenRune(c rune) bool {
	if c > unicode.MaxASCII {
		return true
	}
	return !unicode.IsLetter(c) && !unicode.IsDigit(c) && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

func isControl(c rune) bool { return (c < ' ' && c != '\t') || c == 0x7f }

func isSpaceOrControl(c rune) bool { return c <= ' ' || c == 0x7f }

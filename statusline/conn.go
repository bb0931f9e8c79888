package statusline

import (
	"errors"
	"net"
)

// ErrInvalid reports an answer whose first line does not have a final status from 200 to 599.
var ErrInvalid = errors.New("answer has no valid status")

// The status follows the protocol and a space, as in "HTTP/1.1 200 OK".
const (
	statusStart = len("HTTP/1.1 ")
	statusEnd   = statusStart + len("200")
)

// Conn is a connection on which requests and answers take turns. Only one goroutine may use it at a time.
type Conn struct {
	net.Conn
	head    []byte // of the answer that is due, up to the end of its status
	checked bool   // the status of that answer is valid
}

// New wraps a connection.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn. An answer is due after it.
func (c *Conn) Write(p []byte) (int, error) {
	c.head, c.checked = c.head[:0], false
	return c.Conn.Write(p)
}

// Read implements net.Conn. It fails with ErrInvalid, and returns nothing, once the status of an answer is known not to be valid.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.checked || n == 0 {
		return n, err
	}
	c.head = append(c.head, p[:min(n, statusEnd-len(c.head))]...)
	switch {
	case !isStatusPrefix(c.head):
		return 0, ErrInvalid
	case len(c.head) == statusEnd:
		c.checked = true
	}
	return n, err
}

// isStatusPrefix reports whether the begin of an answer may be that of one with a valid status.
func isStatusPrefix(head []byte) bool {
	for i, b := range head[min(statusStart, len(head)):] {
		low, high := byte('0'), byte('9')
		if i == 0 {
			low, high = '2', '5'
		}
		if b < low || b > high {
			return false
		}
	}
	return true
}

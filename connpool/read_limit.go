package connpool

import (
	"errors"
	"net"
)

// ErrReadLimit reports that a target has sent more bytes than are allowed where they are due.
var ErrReadLimit = errors.New("target sends too many bytes")

// readLimit reads from a connection up to a limit.
type readLimit struct {
	conn net.Conn
	left int64 // bytes that may still be read
}

// Read implements io.Reader; it returns ErrReadLimit at the limit.
func (r *readLimit) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrReadLimit
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.conn.Read(p)
	r.left -= int64(n)
	return n, err
}

package quietconn

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnsolicited reports that the peer has sent bytes after its last answer, so that the next answer could not be told from
// them, or has closed the connection.
var ErrUnsolicited = errors.New("connection has bytes of an earlier answer or is closed")

// Conn is a connection on which requests and answers take turns. Only one goroutine may use it at a time.
type Conn struct {
	net.Conn
	answered bool // bytes have been read since the last write
}

// New wraps a connection.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.answered = true
	}
	return n, err
}

// Write implements net.Conn. The first write after an answer fails with ErrUnsolicited, and sends nothing, if further bytes
// have arrived.
func (c *Conn) Write(p []byte) (int, error) {
	if c.answered && !IsQuiet(c.Conn) {
		return 0, ErrUnsolicited
	}
	c.answered = false
	return c.Conn.Write(p)
}

// IsQuiet reports whether a connection is open and has no bytes to read.
func IsQuiet(conn net.Conn) bool {
	quiet := false
	err := peek(conn, func(nothing bool) bool {
		quiet = nothing
		return true
	})
	return err == nil && quiet
}

// StaysQuiet reports whether a connection is open and has no bytes to read for a time; it returns as soon as this ends. The connection has
// no read deadline afterwards.
func StaysQuiet(conn net.Conn, wait time.Duration) bool {
	if conn.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	_ = peek(conn, func(nothing bool) bool { return !nothing }) // what has arrived by a late timer is seen below
	return conn.SetReadDeadline(time.Time{}) == nil && IsQuiet(conn)
}

// peek tells done whether there is nothing to read and the connection is open, again whenever it may have changed until done returns true
// or the read deadline has passed.
func peek(conn net.Conn, done func(nothing bool) bool) error {
	withRaw, ok := conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return done(recvErr == unix.EAGAIN)
	})
}

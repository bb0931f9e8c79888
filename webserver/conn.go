package webserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// minStopIdle is how long a connection must have been idle to be closed by a shutdown: a caller may not know of it yet.
	minStopIdle = 300 * time.Millisecond
	// firstRequestTime is the time that a new connection has during a shutdown until the first byte of a request.
	firstRequestTime = 5 * time.Second
)

// passed is a deadline that ends a read at once.
var passed = time.Unix(1, 0)

// trackedConn is an accepted connection. Between two requests only the goroutine that reads the connection may close it: others end its
// wait for the next request, upon which it takes what has arrived, or else sees the end of the connection.
type trackedConn struct {
	*net.TCPConn
	server *Server

	mu          sync.Mutex
	waiting     bool      // no byte of the next request has been read
	waitUntil   time.Time // when the wait ends if the server stops
	stopping    bool
	interrupted bool // the read deadline is not the one that the reader has set
	expired     bool // no more of any request is read
}

func newTrackedConn(conn *net.TCPConn, server *Server) *trackedConn {
	return &trackedConn{TCPConn: conn, server: server, waiting: true, waitUntil: time.Now().Add(firstRequestTime)}
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isWaiting() {
		n, err = c.lastRead(p, err)
	}
	if n > 0 {
		c.beginRequest()
	}
	return n, err
}

// SetReadDeadline implements net.Conn; during a shutdown, the deadline is not after the end of the wait for a request.
func (c *trackedConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	c.interrupted = c.stopping && c.waiting && (deadline.IsZero() || deadline.After(c.waitUntil))
	if c.interrupted {
		deadline = c.waitUntil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.removeConn(c)
	return c.TCPConn.Close()
}

// lastRead reads what has arrived, without blocking, once the wait for a request has ended with waitErr.
func (c *trackedConn) lastRead(p []byte, waitErr error) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var readErr error
	if err := raw.Control(func(fd uintptr) { n, _, readErr = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) }); err != nil {
		return 0, err
	}
	switch {
	case n > 0:
		c.interrupt()
		return n, nil
	case readErr == nil || c.isStopping():
		return 0, io.EOF
	}
	return 0, waitErr
}

// awaitRequest records that a request has been answered.
func (c *trackedConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.waitUntil = true, time.Now().Add(minStopIdle)
	c.limitWaitLocked()
}

// beginRequest records that a byte of a request has been read, and gives the rest the usual time if the deadline is another's.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if !c.interrupted || c.expired {
		return
	}
	c.interrupted = false
	deadline := time.Time{}
	if timeout := c.server.http.ReadTimeout; timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.TCPConn.SetReadDeadline(deadline)
}

// stop has the connection end once it has waited for a request for long enough.
func (c *trackedConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.limitWaitLocked()
}

// expire ends the reads of requests: those that have begun to come in are refused.
func (c *trackedConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	_ = c.TCPConn.SetReadDeadline(passed)
}

// interrupt records that the read deadline has passed and is not that of the request that has begun.
func (c *trackedConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
}

// limitWaitLocked sets the end of the wait for a request during a shutdown; the caller holds mu.
func (c *trackedConn) limitWaitLocked() {
	if c.stopping && c.waiting && !c.expired {
		c.interrupted = true
		_ = c.TCPConn.SetReadDeadline(c.waitUntil)
	}
}

func (c *trackedConn) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

func (c *trackedConn) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping || c.expired
}

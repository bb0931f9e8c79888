package keepalive

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"gypsumbank/quietconn"
)

// lingerTime bounds how long a connection is read on after its last answer, so that bytes of its caller that are still on the way do not reset it
// and destroy the answer.
const lingerTime = 500 * time.Millisecond

// headStartTime bounds the read of a head between its first byte and its fourth. Only from that on does an http.Server bound the read of a head on a
// kept connection.
const headStartTime = 10 * time.Second

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// tcpConn is what a *net.TCPConn offers and servers use.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// conn is a connection of a caller. Between two requests it is idle; its first read then waits for a byte of the next request.
type conn struct {
	tcpConn
	conns *Conns

	mu        sync.Mutex
	isIdle    bool // no request is in progress, as far as the server has said
	isFirst   bool // no request has been answered on it
	idleSince time.Time
	promised  time.Duration // idle timeout at the last answer
	waiting   bool          // a read waits for the first byte
	readBytes int64         // since it became idle
	lastRead  time.Time     // when bytes were last read
	headBegun bool          // the server holds a part of the next request, which it may have read with the one before
	deadlines int           // read deadlines that the server has set since it became idle
	bufferLen int           // size of the server's buffer: the length of its first read
	closing   string        // cause for which the read that waits is to close it; empty if none
	deadline  time.Time     // of reads, as the server has set it
	reset     bool          // its close is to reset it
	cutShort  bool          // answered before its request had been read to the end
	refused   bool          // a head of which a part was read has been refused; nothing more is read or answered
	ended     bool          // no more is read
	used      bool          // a request has been in progress on it
	slow      bool          // its caller has not taken an answer in time

	writeDeadline time.Time // as the server has set it
}

// setBusy records that a request is in progress.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle, c.used = false, true
}

// setIdle records that the last request has been answered.
func (c *conn) setIdle(now time.Time, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle, c.isFirst, c.idleSince, c.readBytes = true, false, now, 0
	c.headBegun, c.deadlines = false, 0
	c.promised = max(c.promised, idleTimeout)
}

// promise records the idle timeout that holds as an answer is given.
func (c *conn) promise(idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promised = idleTimeout
}

// closeIfIdle has the read that waits for a request close the connection, if nothing of one has been read and mayClose agrees.
func (c *conn) closeIfIdle(cause string, mayClose func(since time.Time, promised time.Duration, first bool) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasPart() && mayClose(c.idleSince, c.promised, c.isFirst) {
		c.endReadForClose(cause)
	}
}

// closeIfQuiet has the read that waits for a request close the connection, if it has been idle and nothing has been read since a time. What was read
// before that belongs to the last request.
func (c *conn) closeIfQuiet(cause string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle && c.idleSince.Before(since) && c.lastRead.Before(since) {
		c.readBytes = 0
		c.endReadForClose(cause)
	}
}

// closeInDrain has the read that waits for a request close the connection once it has been idle for long enough, or at the last call.
func (c *conn) closeInDrain(now, lastCall time.Time) {
	if !now.Before(lastCall) {
		c.closeUnlessBusy(causeDrain)
		return
	}
	c.closeIfIdle(causeDrain, func(since time.Time, _ time.Duration, first bool) bool {
		idle := now.Sub(since)
		return idle > maxFirstWait || !first && idle > minDrainIdle
	})
}

// closeUnlessBusy has the read that waits for a request, or for the rest of its head, close the connection.
func (c *conn) closeUnlessBusy(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endReadForClose(cause)
}

// endReadForClose ends the read of a connection without a request in progress; the caller holds the lock.
func (c *conn) endReadForClose(cause string) {
	if !c.isIdle || !c.waiting || c.closing != "" {
		return
	}
	c.closing = cause
	_ = c.tcpConn.SetReadDeadline(longAgo) // fails only if the connection is closed already
}

// endReads has all reads fail as if their time had passed.
func (c *conn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	_ = c.tcpConn.SetReadDeadline(longAgo) // fails only if the connection is closed already
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if !c.beginRead(len(p)) {
			return 0, io.EOF
		}
		n, err := c.tcpConn.Read(p)
		bytesReceived.Add(n)
		again, closed := c.endRead(n, err)
		if closed {
			return 0, io.EOF
		}
		if !again {
			return n, err
		}
	}
}

// beginRead records that a read of so many bytes waits; it returns false if nothing more is to be read.
func (c *conn) beginRead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = !c.refused
	if c.bufferLen == 0 {
		c.bufferLen = size
	}
	if c.waiting && c.awaitsHead() && size < c.bufferLen {
		c.headBegun = true
		c.limitHeadStart()
	}
	return c.waiting
}

// hasPart reports whether a part of the next request has been read; the caller holds the lock.
func (c *conn) hasPart() bool { return c.readBytes > 0 || c.headBegun }

// awaitsHead reports whether the server waits for the first four bytes of the next request: an http.Server sets a read deadline before that and
// another one after it. While it waits, it reads as much as its buffer has room for, so a shorter read shows that bytes are there. The caller
// holds the lock.
func (c *conn) awaitsHead() bool {
	return c.isIdle && !c.isFirst && c.deadlines == 1 && !c.conns.limits.NoHeads
}

// limitHeadStart bounds the read of the first bytes of a head unless the server has; the caller holds the lock.
func (c *conn) limitHeadStart() {
	if c.ended || !c.deadline.IsZero() {
		return
	}
	c.deadline = time.Now().Add(c.conns.headerTimeout(headStartTime))
	_ = c.tcpConn.SetReadDeadline(c.deadline) // fails only if the connection is closed already
}

// Write implements net.Conn. What the server writes about a head that has been refused is dropped, as that has its answer.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	n, err := c.writeWithin(p)
	bytesSent.Add(n)
	return n, err
}

// endRead records what a read has brought. If the read was ended for the connection to be closed, it closes the connection, or has it read again
// if bytes are there after all.
func (c *conn) endRead(n int, err error) (again, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	c.readBytes += int64(n)
	if n > 0 {
		c.lastRead = time.Now()
	}
	if c.closing == "" {
		return false, c.checkHead(n, err)
	}
	cause := c.closing
	c.closing = ""
	if !c.ended {
		_ = c.tcpConn.SetReadDeadline(c.deadline) // fails only if the connection is closed already
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, false
	}
	if !quietconn.IsQuiet(c.tcpConn) {
		return true, false
	}
	if c.hasPart() {
		c.refusePart(cause)
		return false, true
	}
	_ = c.tcpConn.Close() // the peer learns of it, or has left
	c.conns.logClose(c, cause, time.Since(c.idleSince), c.readBytes, false)
	return false, true
}

// checkHead refuses a request whose head takes too long or is too long, and reports whether it has. The caller holds the lock.
func (c *conn) checkHead(n int, err error) (refused bool) {
	if c.conns.limits.NoHeads || !c.isIdle {
		return false
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.hasPart():
		c.refusePart(causeSlowHead)
		return true
	case c.conns.isHeadTooLong(c.readBytes):
		c.refusePart(causeLongHead)
		return true
	case n > 0:
		c.limitHeadStart()
	}
	return false
}

// refusals are the answers to a request whose head is not read to the end, by the cause.
var refusals = map[string]string{
	causeSlowHead: "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	causeLongHead: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	causeDrain:    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// refusePart refuses a request of which a part has been read; the caller holds the lock.
func (c *conn) refusePart(cause string) {
	_ = c.tcpConn.SetWriteDeadline(time.Now().Add(lingerTime)) // a failure ends the write
	_, _ = io.WriteString(c.tcpConn, refusals[cause])          // a caller that has left needs no answer
	c.cutShort, c.refused = true, true
	c.conns.logClose(c, cause, time.Since(c.idleSince), c.readBytes, false)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsHead() {
		c.headBegun = true
	}
	c.deadlines++
	if c.isIdle && !deadline.IsZero() {
		deadline = c.capHeadDeadline(deadline)
	}
	c.deadline = deadline
	if c.closing != "" || c.ended {
		return nil
	}
	return c.tcpConn.SetReadDeadline(deadline)
}

// capHeadDeadline returns the deadline for the read of a head that its server has set, no later than the limits allow; the caller holds the lock.
func (c *conn) capHeadDeadline(deadline time.Time) time.Time {
	timeout := c.conns.headerTimeout(0)
	if timeout <= 0 {
		return deadline
	}
	if capped := time.Now().Add(timeout); capped.Before(deadline) {
		return capped
	}
	return deadline
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return c.tcpConn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// SetLinger records whether the close is to reset the connection.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = seconds == 0
	return c.tcpConn.SetLinger(seconds)
}

// Close implements net.Conn. If the last answer was given before its request had been read, the rest of that is read first.
func (c *conn) Close() error {
	defer c.conns.remove(c)
	c.mu.Lock()
	lingers := c.cutShort && !c.reset && !c.conns.ended.Load()
	c.cutShort = false
	c.mu.Unlock()
	if lingers && c.CloseWrite() == nil {
		_ = c.tcpConn.SetReadDeadline(time.Now().Add(c.conns.linger())) // a failure ends the copy
		_, _ = io.Copy(io.Discard, c.tcpConn)
	}
	return c.tcpConn.Close()
}

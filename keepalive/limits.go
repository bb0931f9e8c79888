package keepalive

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// roomCheckInterval is the interval at which a listener without a free place looks for connections that have to give theirs up.
	roomCheckInterval = 20 * time.Millisecond
	// writePartBytes is the most that is written under one deadline, so that the deadline bounds the pace of a caller and not the length of an answer.
	writePartBytes = 64 << 10
	// readAheadBytes is the most that a server reads beyond a head in one read: the buffers of net/http and fasthttp are shorter.
	readAheadBytes = 4 << 10
	// Answers announce the close of their connections once more than keepNumerator / keepDenominator of the places are taken, so that idle connections,
	// which may not be closed before their time, leave places for others.
	keepNumerator   = 3
	keepDenominator = 4
)

// Limits bound what the callers of a server may take. The zero value bounds nothing.
type Limits struct {
	// MaxOpen is the number of connections that may be open; further ones wait in the system's queue. Connections on which nothing has come are closed to make room for them.
	MaxOpen int
	// MaxKept is the number of open connections above which answers announce the close of theirs; 0 for a share of MaxOpen.
	MaxKept int
	// HeaderBytes returns the length up to which heads are read, HeaderTimeout the time for one, from the connection's begin or the head's first byte on; 0 for
	// no limit. They may change at any time.
	HeaderBytes   func() int
	HeaderTimeout func() time.Duration
	// WriteTimeout is the time for a caller to take each writePartBytes of an answer.
	WriteTimeout time.Duration
	// SocketBufferBytes bounds the buffers that the system keeps for a connection, in each direction.
	SocketBufferBytes int
	// SilentWait is how long a connection on which nothing has come is kept while others wait for places; 0 for the time in which a first packet that was lost
	// is sent again.
	SilentWait time.Duration
	// LingerTime bounds how long a connection is read on after a refusal, so that it reaches its caller; 0 for the time that callers far away need.
	LingerTime time.Duration
	// NoHeads is set where connections don't carry HTTP: the server bounds what comes on them by itself.
	NoHeads bool
	// MakeRoom, if it is set, is called while a connection waits for a place, for requests in progress that have to give theirs up.
	MakeRoom func()
}

// SetLimits sets the limits of the connections that are accepted from now on. It is called before Listener.
func (c *Conns) SetLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	if limits.MaxOpen > 0 {
		c.places = make(chan struct{}, limits.MaxOpen)
	}
}

// Open returns the number of open connections.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// IsCrowded reports whether so many places are taken that idle connections are not kept: answers then announce the close of theirs.
func (c *Conns) IsCrowded() bool {
	if c.limits.MaxKept > 0 && c.Open() > c.limits.MaxKept {
		return true
	}
	return c.limits.MaxOpen > 0 && c.Open()*keepDenominator > c.limits.MaxOpen*keepNumerator
}

// takePlace waits for a place for another connection. Connections that have no claim to theirs are closed meanwhile. It returns false once closed is.
func (c *Conns) takePlace(closed <-chan struct{}) bool {
	if c.places == nil {
		return true
	}
	select {
	case c.places <- struct{}{}:
		return true
	case <-closed:
		return false
	default:
	}
	metrics.GetOrCreateCounter(`gypsumbank_caller_connections_waited_total`).Inc()
	ticker := time.NewTicker(roomCheckInterval)
	defer ticker.Stop()
	for {
		c.closeSilent()
		if c.limits.MakeRoom != nil {
			c.limits.MakeRoom()
		}
		select {
		case c.places <- struct{}{}:
			return true
		case <-closed:
			return false
		case <-ticker.C:
		}
	}
}

// freePlace gives the place of a connection back.
func (c *Conns) freePlace() {
	if c.places != nil {
		<-c.places
	}
}

// closeSilent closes the connections on which no byte has come within the time for that.
func (c *Conns) closeSilent() {
	now, wait := time.Now(), c.limits.SilentWait
	if wait == 0 {
		wait = maxFirstWait
	}
	for _, own := range c.all() {
		own.closeIfIdle(causeNoRoom, func(since time.Time, _ time.Duration, _ bool) bool {
			return !own.used && now.Sub(since) > wait
		})
	}
}

// linger returns how long a connection is read on after its last answer.
func (c *Conns) linger() time.Duration {
	if c.limits.LingerTime > 0 {
		return c.limits.LingerTime
	}
	return lingerTime
}

// headerTimeout returns the time for a head, fallback if it has no limit of its own.
func (c *Conns) headerTimeout(fallback time.Duration) time.Duration {
	if c.limits.HeaderTimeout == nil {
		return fallback
	}
	if timeout := c.limits.HeaderTimeout(); timeout > 0 {
		return timeout
	}
	return fallback
}

// isHeadTooLong reports whether so many bytes, read since a connection became idle, can't be a head within the limit.
func (c *Conns) isHeadTooLong(readBytes int64) bool {
	if c.limits.HeaderBytes == nil {
		return false
	}
	limit := c.limits.HeaderBytes()
	return limit > 0 && readBytes > int64(limit+readAheadBytes)
}

// limitSocket bounds the system's buffers of a connection.
func (c *Conns) limitSocket(accepted net.Conn) {
	buffers, ok := accepted.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if !ok || c.limits.SocketBufferBytes <= 0 {
		return
	}
	_ = buffers.SetReadBuffer(c.limits.SocketBufferBytes) // the system's own bounds hold if it fails
	_ = buffers.SetWriteBuffer(c.limits.SocketBufferBytes)
}

// writeWithin writes p in parts, each within the time that a caller has to take it. Where the server has set a deadline of its own, that holds.
func (c *conn) writeWithin(p []byte) (int, error) {
	timeout := c.conns.limits.WriteTimeout
	c.mu.Lock()
	own := c.writeDeadline
	c.mu.Unlock()
	if timeout <= 0 || !own.IsZero() {
		return c.tcpConn.Write(p)
	}
	written := 0
	for {
		part := p[written:min(len(p), written+writePartBytes)]
		if err := c.tcpConn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.tcpConn.Write(part)
		written += n
		if err != nil {
			c.recordSlowReader(err)
			return written, err
		}
		if written >= len(p) {
			return written, c.tcpConn.SetWriteDeadline(time.Time{})
		}
	}
}

// recordSlowReader logs and counts, once, that a caller has not taken its answer in time.
func (c *conn) recordSlowReader(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	recorded := c.slow
	c.slow = true
	c.mu.Unlock()
	if !recorded {
		c.conns.logClose(c, causeSlowReader, 0, 0, true)
	}
}

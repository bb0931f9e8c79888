package connpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"gypsumbank/descriptor"
	"gypsumbank/quietconn"
)

const (
	// dialTimeout leaves time to try another target within latency objectives of a few hundred ms.
	dialTimeout = 350 * time.Millisecond
	// tcpUserTimeout bounds how long sent data may stay unacknowledged. It allows for a retransmission after packet loss.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the interval of TCP keep-alive probes, which detect a dead connection while a response is awaited.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxIdlePerTarget bounds the idle connections to a target.
	maxIdlePerTarget = 16
	// sweepInterval is the interval at which connections whose idle time is over are closed, while there are idle ones.
	sweepInterval = time.Second
	// rememberedIDs is the number of requests on a connection whose ids are remembered. A late copy of an answer comes within fewer.
	rememberedIDs   = 16
	readBufferBytes = 4 << 10
)

// Unlimited is the limit of a pool that may open any number of connections.
const Unlimited = math.MaxInt

// ErrExhausted is returned if no further connection may be opened, whatever the target.
var ErrExhausted = errors.New("no descriptor left for a connection")

// BriefIdle is how long an idle connection is kept if its target announces no timeout, or beyond the number set with SetLongIdle.
const BriefIdle = 4 * time.Second

// Pool holds idle connections by target address and closes them when their time is over. Its methods are safe for concurrent use.
type Pool struct {
	maxConns int
	longIdle func() int // idle connections to a target that are kept for longer than BriefIdle
	mu       sync.Mutex
	dialing  int                // connections that are being opened
	open     map[*Conn]struct{} // idle and in use
	idle     map[string][]*Conn // no entry is empty
	sweeping bool               // closeExpired will be called
}

// Conn is a connection to a target with its read buffer.
type Conn struct {
	net.Conn
	Reader     *bufio.Reader
	limit      *readLimit
	pool       *Pool
	Reused     bool
	MayBeStale bool // reused after a long idle time: Validate must begin the request
	retired    bool // closed once it is not in use
	address    string
	roundTrip  time.Duration // that the dial took
	idleSince  time.Time     // when the connection was returned to the pool
	reuseUntil time.Time     // when to stop reusing it, since the target may close it
	carried    []uint64      // hashes of the ids of the latest requests on it
}

// New returns an empty pool that has at most maxConns connections open, idle ones included.
func New(maxConns int) *Pool {
	return &Pool{
		maxConns: maxConns, longIdle: func() int { return maxIdlePerTarget }, open: map[*Conn]struct{}{}, idle: map[string][]*Conn{},
	}
}

// SetLongIdle sets the function that tells how many idle connections to a target are kept for longer than BriefIdle. It must be set before
// the pool is used.
func (p *Pool) SetLongIdle(longIdle func() int) { p.longIdle = longIdle }

// Reuse tells which idle connections a request may be sent on.
type Reuse struct {
	MaxIdle       time.Duration // how long a connection may have been idle; 0 for a new connection
	ValidateAfter time.Duration // idle time from which the request must begin with Validate
}

// Get returns a pooled connection to address, or dials a new one. The error is ErrExhausted if none may be opened. Pooled connections that
// their target has closed are closed. One that has carried a request with the same id is not used, unless the id is empty: a second copy of
// the answer to that one could not be told from the answer to this one.
func (p *Pool) Get(ctx context.Context, address string, reuse Reuse, requestID string) (*Conn, error) {
	conn, err := p.get(ctx, address, reuse, hashID(requestID))
	if err == nil && requestID != "" {
		conn.carry(hashID(requestID))
	}
	return conn, err
}

// CanReuse reports whether an idle connection to address could be reused by Get now.
func (p *Pool) CanReuse(address string, reuse Reuse) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(p.idle[address], func(conn *Conn) bool { return conn.fits(reuse, now) })
}

// fits reports whether a request may be sent on the idle connection.
func (c *Conn) fits(reuse Reuse, now time.Time) bool {
	idle := now.Sub(c.idleSince)
	return idle <= reuse.MaxIdle && now.Before(c.reuseUntil) && (idle <= reuse.ValidateAfter || c.canValidate())
}

// hashID returns the hash by which the id of a request is remembered.
func hashID(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// carry remembers that the connection carries a request.
func (c *Conn) carry(id uint64) {
	if len(c.carried) >= rememberedIDs {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, id)
}

// get does the work of Get.
func (p *Pool) get(ctx context.Context, address string, reuse Reuse, id uint64) (*Conn, error) {
	for {
		conn := p.popIdle(address, reuse, id)
		if conn == nil {
			return p.dial(ctx, address)
		}
		if quietconn.IsQuiet(conn.Conn) {
			conn.Reused, conn.MayBeStale = true, time.Since(conn.idleSince) > reuse.ValidateAfter
			metrics.GetOrCreateCounter(`gypsumbank_target_connections_total{use="reused"}`).Inc()
			return conn, nil
		}
		metrics.GetOrCreateCounter(`gypsumbank_target_connections_total{use="stale"}`).Inc()
		_ = conn.Close()
	}
}

// dial opens a connection, for which it closes the one that has been idle longest if there are maxConns.
func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	if !p.beginDial() {
		return nil, ErrExhausted
	}
	conn, err := p.connect(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if descriptor.IsExhausted(err) {
		return nil, fmt.Errorf("%w: %w", ErrExhausted, err)
	}
	if err != nil {
		return nil, err
	}
	p.open[conn] = struct{}{}
	metrics.GetOrCreateCounter(`gypsumbank_target_connections_total{use="opened"}`).Inc()
	return conn, nil
}

// beginDial counts a connection that is about to be opened and reports whether it may be.
func (p *Pool) beginDial() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open)+p.dialing >= p.maxConns && !p.closeLongestIdle() {
		return false
	}
	p.dialing++
	return true
}

// closeLongestIdle closes the connection that has been idle longest, and reports whether there was one; the caller holds the lock.
func (p *Pool) closeLongestIdle() bool {
	var longest *Conn
	for _, idle := range p.idle {
		if longest == nil || idle[0].idleSince.Before(longest.idleSince) {
			longest = idle[0]
		}
	}
	if longest == nil {
		return false
	}
	p.setIdle(longest.address, slices.Delete(p.idle[longest.address], 0, 1))
	_ = p.closeConn(longest)
	return true
}

// connect opens a TCP connection.
func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		Control:         setTCPUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	start := time.Now()
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	roundTrip := time.Since(start)
	limit := &readLimit{conn: opened, left: math.MaxInt64}
	return &Conn{Conn: opened, Reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, pool: p, address: address, roundTrip: roundTrip}, nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.closeConn(c)
}

// closeConn closes a connection; the caller holds the lock.
func (p *Pool) closeConn(conn *Conn) error {
	delete(p.open, conn)
	return conn.Conn.Close()
}

// LimitReads makes Reader fail with ErrReadLimit once it has read that many further bytes from the network.
func (c *Conn) LimitReads(bytes int64) { c.limit.left = bytes }

// UnlimitReads removes the limit set by LimitReads.
func (c *Conn) UnlimitReads() { c.limit.left = math.MaxInt64 }

// Put returns conn to the pool, from which it may be reused for at most keepFor. It closes conn if keepFor is not positive, unread data is
// buffered or its target was retired, and the oldest idle connection if the target already has maxIdlePerTarget.
func (p *Pool) Put(conn *Conn, keepFor time.Duration) {
	longIdle := p.longIdle()
	now := time.Now()
	conn.idleSince, conn.reuseUntil = now, now.Add(keepFor)
	if keepFor <= 0 || conn.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.retired {
		_ = p.closeConn(conn)
		return
	}
	idle := p.idle[conn.address]
	if len(idle) >= maxIdlePerTarget {
		_ = p.closeConn(idle[0])
		idle = slices.Delete(idle, 0, 1)
	}
	idle = append(idle, conn)
	p.idle[conn.address] = idle
	if beyond := len(idle) - 1 - max(0, longIdle); beyond >= 0 {
		idle[beyond].limitIdle(BriefIdle)
	}
	p.scheduleSweep()
}

// limitIdle shortens the time for which the idle connection may be reused; the caller holds the lock of the pool.
func (c *Conn) limitIdle(limit time.Duration) {
	if until := c.idleSince.Add(limit); until.Before(c.reuseUntil) {
		c.reuseUntil = until
	}
}

// scheduleSweep has the expired connections closed after sweepInterval; the caller holds the lock.
func (p *Pool) scheduleSweep() {
	if p.sweeping {
		return
	}
	p.sweeping = true
	time.AfterFunc(sweepInterval, p.closeExpired)
}

// closeExpired closes the idle connections that may no longer be reused.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	now := time.Now()
	for address, idle := range p.idle {
		p.setIdle(address, slices.DeleteFunc(idle, func(conn *Conn) bool {
			expired := !now.Before(conn.reuseUntil)
			if expired {
				_ = p.closeConn(conn)
			}
			return expired
		}))
	}
	if len(p.idle) > 0 {
		p.scheduleSweep()
	}
}

// setIdle replaces the idle connections to address; the caller holds the lock.
func (p *Pool) setIdle(address string, idle []*Conn) {
	if len(idle) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = idle
}

// Retire closes the idle connections to address, whose target has left, and those in use once they are returned. Connections that are opened
// from now on are kept.
func (p *Pool) Retire(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		_ = p.closeConn(conn)
	}
	delete(p.idle, address)
	for conn := range p.open {
		conn.retired = conn.retired || conn.address == address
	}
}

// Abort closes the connection with a TCP reset, so that a target that was suspended finds on resuming that the request
// has been canceled.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// popIdle removes and returns the most recently used idle connection to address that a request may be sent on and that has not carried one
// with the id, or nil if there is none.
func (p *Pool) popIdle(address string, reuse Reuse, id uint64) *Conn {
	if reuse.MaxIdle <= 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	idle, now := p.idle[address], time.Now()
	for i, conn := range slices.Backward(idle) {
		if conn.fits(reuse, now) && !slices.Contains(conn.carried, id) {
			p.setIdle(address, slices.Delete(idle, i, i+1))
			return conn
		}
	}
	return nil
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

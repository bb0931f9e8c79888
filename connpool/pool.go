package connpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout leaves room for another target within the objectives of a few hundred ms.
	dialTimeout = 350 * time.Millisecond
	// userTimeout bounds how long sent bytes may stay without acknowledgement; it is above a retransmission after a loss.
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval finds connections that went silent while they wait for an answer.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	maxIdlePerTarget  = 16
	readBuffer        = 4 << 10
)

// Pool holds idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Conn is a connection with its read buffer.
type Conn struct {
	net.Conn
	Reader  *bufio.Reader
	Reused  bool
	address string
	since   time.Time // when it became idle
	until   time.Time // when the target may close it
}

// New returns an empty pool.
func New() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns a connection to address that has been idle for at most maxIdle, or a new one.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	for {
		conn := p.take(address)
		if conn == nil {
			break
		}
		now := time.Now()
		if now.Sub(conn.since) <= maxIdle && now.Before(conn.until) && conn.quiet() {
			conn.Reused = true
			return conn, nil
		}
		conn.Close()
	}
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(conn, readBuffer), address: address}, nil
}

// Put keeps conn for reuse for at most idleFor.
func (p *Pool) Put(conn *Conn, idleFor time.Duration) {
	now := time.Now()
	conn.since, conn.until = now, now.Add(idleFor)
	if idleFor <= 0 || conn.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[conn.address]
	if len(list) >= maxIdlePerTarget {
		list[0].Close()
		list = list[1:]
	}
	p.idle[conn.address] = append(list, conn)
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		conn.Close()
	}
	delete(p.idle, address)
}

// Abort closes the connection with a reset, so that a target that was stopped learns on waking that the request is void.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

// quiet reports whether the connection is open and nothing has arrived on it since its last answer.
func (c *Conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

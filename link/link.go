package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"gypsumbank/resetguard"
)

const (
	bufferBytes = 32 << 10
	// retransmissionDelay is TCP's minimum retransmission timeout.
	retransmissionDelay = 200 * time.Millisecond
)

// Link is a TCP proxy in front of one target, with faults that can be set while it runs.
type Link struct {
	target     string
	listener   net.Listener
	acceptDone chan struct{}

	mu              sync.Mutex
	delay           time.Duration
	lossShare       float64 // fraction of the chunks of data delayed as if lost once
	blockFromTarget bool    // data from the target is withheld
	connections     map[*connPair]struct{}
}

// connPair is a client's connection and the one to the target that it is forwarded to.
type connPair struct {
	client, target net.Conn
	silent         bool
	closed         chan struct{}
}

// New returns a running link to target, an IP address with a port; it listens on a free loopback port.
func New(target string) (*Link, error) { return Listen("127.0.0.1:0", target) }

// Listen returns a running link to target that listens on the given address.
func Listen(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &Link{target: target, listener: listener, acceptDone: make(chan struct{}), connections: map[*connPair]struct{}{}}
	go l.acceptConnections()
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close stops the link and closes its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.CloseConnections()
	<-l.acceptDone
}

// SetDelay delays each chunk of data, in both directions, by the given time.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// SetLoss sets the fraction of the chunks of data, 0 for none, that count as lost once: each is delayed by the time of a
// retransmission, with all data that follows on its connection.
func (l *Link) SetLoss(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lossShare = share
}

// SilenceOpen makes all open connections silent for good: they pass no more data and not the end of the connection. New
// connections work.
func (l *Link) SilenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connections {
		p.silent = true
	}
}

// SetBlockFromTarget sets whether data from the target is withheld, on open and new connections, while data to the target
// passes. A connection on which data was withheld stays blocked in this direction afterwards.
func (l *Link) SetBlockFromTarget(blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blockFromTarget = blocked
}

// CloseConnections closes all open connections.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connections {
		p.close()
	}
	l.connections = map[*connPair]struct{}{}
}

// acceptConnections accepts and forwards connections until the listener is closed.
func (l *Link) acceptConnections() {
	defer close(l.acceptDone)
	for {
		client, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go l.connect(client)
	}
}

// connect opens a connection to the target for a client and forwards data in both directions.
func (l *Link) connect(client net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	target, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		client.Close()
		return
	}
	p := &connPair{client: client, target: target, closed: make(chan struct{})}
	l.mu.Lock()
	l.connections[p] = struct{}{}
	l.mu.Unlock()
	go l.forward(p, client, target, false)
	l.forward(p, target, client, true)
}

// forward passes data in one direction until either connection ends, and a reset on as one; once the direction is blocked, it passes neither data
// nor the end of the connection.
func (l *Link) forward(p *connPair, from, to net.Conn, fromTarget bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		delay, blocked := l.currentFaults(p, fromTarget)
		if blocked {
			<-p.closed
			return
		}
		time.Sleep(delay)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				resetguard.New(to)
			}
			l.remove(p)
			return
		}
	}
}

// currentFaults returns the delay of a chunk of data and whether the direction is blocked.
func (l *Link) currentFaults(p *connPair, fromTarget bool) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.delay
	if rand.Float64() < l.lossShare {
		delay += retransmissionDelay
	}
	return delay, p.silent || (fromTarget && l.blockFromTarget)
}

// remove closes both connections of a pair and removes it from the link.
func (l *Link) remove(p *connPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.close()
	delete(l.connections, p)
}

// close closes both connections and ends the forwarding of a blocked pair; it may be called more than once.
func (p *connPair) close() {
	p.client.Close()
	p.target.Close()
	select {
	case <-p.closed:
	default:
		close(p.closed)
	}
}

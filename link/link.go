package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	bufferBytes = 32 << 10
	// retransmission is the least time in which TCP sends a lost packet again.
	retransmission = 200 * time.Millisecond
)

// Link is a TCP hop with faults between two processes.
type Link struct {
	target   string
	listener net.Listener
	done     chan struct{}

	mu     sync.Mutex
	delay  time.Duration
	loss   float64 // share of the pieces that get lost once
	oneWay bool    // nothing passes from the target
	pairs  map[*pair]struct{}
}

type pair struct {
	near, far net.Conn
	silenced  bool
	release   chan struct{}
}

// New returns a running link to target, an IP address with a port.
func New(target string) (*Link, error) { return Listen("127.0.0.1:0", target) }

// Listen returns a running link that listens on an address.
func Listen(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &Link{target: target, listener: listener, done: make(chan struct{}), pairs: map[*pair]struct{}{}}
	go l.accept()
	return l, nil
}

// Address returns the address that stands for the target.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close stops the link and cuts its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.CloseConnections()
	<-l.done
}

// SetDelay makes each piece of data take longer, one way.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// SetLoss has a share of the pieces of data lost once, 0 for none, so that they and what follows them come after a
// retransmission.
func (l *Link) SetLoss(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss = share
}

// SilenceOpen makes all open connections silent for good while new ones work.
func (l *Link) SilenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silenced = true
	}
}

// SetBlockFromTarget cuts the way from the target, for open and new connections, or mends it for new ones.
func (l *Link) SetBlockFromTarget(oneWay bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oneWay = oneWay
}

// CloseConnections closes all open connections.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
	l.pairs = map[*pair]struct{}{}
}

func (l *Link) accept() {
	defer close(l.done)
	for {
		near, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go l.join(near)
	}
}

func (l *Link) join(near net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	far, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		near.Close()
		return
	}
	p := &pair{near: near, far: far, release: make(chan struct{})}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	go l.copy(p, near, far, false)
	l.copy(p, far, near, true)
}

// copy passes data on; once a pair is silent, neither data nor the end of a connection passes.
func (l *Link) copy(p *pair, from, to net.Conn, back bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		delay, silenced := l.state(p, back)
		if silenced {
			<-p.release
			return
		}
		time.Sleep(delay)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			l.drop(p)
			return
		}
	}
}

// state returns how much longer a piece of data takes and whether nothing passes.
func (l *Link) state(p *pair, back bool) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.delay
	if rand.Float64() < l.loss {
		delay += retransmission
	}
	return delay, p.silenced || (back && l.oneWay)
}

func (l *Link) drop(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.close()
	delete(l.pairs, p)
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
	select {
	case <-p.release:
	default:
		close(p.release)
	}
}

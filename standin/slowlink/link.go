package slowlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readBufferBytes = 32 << 10
	// queuedReads bounds what is on its way in one direction of a connection.
	queuedReads = 1 << 12
)

// Link passes the bytes of connections on to a server, each after a delay. A new connection takes a round trip before its first bytes are on their way.
type Link struct {
	listener net.Listener
	server   string
	delay    atomic.Int64 // in nanoseconds, each way
	refuses  atomic.Bool
	serving  sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// New starts a link to a server that listens at an address.
func New(listen, server string) (*Link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	link := &Link{listener: listener, server: server, conns: map[net.Conn]struct{}{}}
	link.serving.Go(link.accept)
	return link, nil
}

// Address returns the address that the link listens at.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetDelay sets the time that bytes take in each direction.
func (l *Link) SetDelay(delay time.Duration) { l.delay.Store(int64(delay)) }

// Refuse closes all connections, and each new one at once, until it is called again.
func (l *Link) Refuse(refuses bool) {
	l.refuses.Store(refuses)
	if refuses {
		l.closeConns()
	}
}

// Close ends the link and all connections, and returns once they have ended.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.closeConns()
	l.serving.Wait()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.serving.Go(func() { l.serve(conn) })
	}
}

func (l *Link) serve(caller net.Conn) {
	defer caller.Close()
	if l.refuses.Load() {
		return
	}
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		return
	}
	defer server.Close()
	if !l.register(caller, server) {
		return
	}
	defer l.remove(caller, server)
	openAt := time.Now().Add(time.Duration(2 * l.delay.Load()))
	var passing sync.WaitGroup
	passing.Go(func() { pass(server, caller, &l.delay, openAt) })
	passing.Go(func() { pass(caller, server, &l.delay, openAt) })
	passing.Wait()
}

// delayedBytes are bytes that are to be passed on at a time.
type delayedBytes struct {
	data []byte
	due  time.Time
}

// pass passes bytes on after a delay, and the end of the connection after them.
func pass(to, from net.Conn, delay *atomic.Int64, openAt time.Time) {
	queue := make(chan delayedBytes, queuedReads)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, readBufferBytes)
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			sentAt := time.Now()
			if sentAt.Before(openAt) {
				sentAt = openAt
			}
			queue <- delayedBytes{data: buffer[:n], due: sentAt.Add(time.Duration(delay.Load()))}
		}
	}()
	for next := range queue {
		time.Sleep(time.Until(next.due))
		_, _ = to.Write(next.data) // the end of the other direction closes both
	}
	to.Close()
}

func (l *Link) register(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	for _, conn := range conns {
		l.conns[conn] = struct{}{}
	}
	return true
}

func (l *Link) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
	}
}

func (l *Link) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.Close()
	}
}

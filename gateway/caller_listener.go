package gateway

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbank/descriptor"
)

const (
	// spareCallersDivisor sets how many further connections a gateway can accept while it counts as ready: those that come before the
	// platform has noticed that it is not.
	spareCallersDivisor = 16
	// failedAcceptMemory is how long a gateway counts as unable to accept after it lacked a descriptor. The server tries again within a second.
	failedAcceptMemory = 2 * time.Second
	// maxArrivalTime is how long a connection counts as one whose first request is on its way. It is well above the time of a round trip, and callers that send
	// nothing keep others waiting no longer than that.
	maxArrivalTime = time.Second
	// arrivalCheckInterval is the interval at which a listener looks for connections that count no longer.
	arrivalCheckInterval = 5 * time.Millisecond
)

// callerListener accepts the connections of callers up to a limit, and up to another one those whose first request is still on its way. Beyond these, they wait in
// the system's queue.
type callerListener struct {
	net.Listener
	maxOpen     int
	maxArriving int
	places      chan struct{} // holds a value for each connection that is open or about to be accepted
	open        atomic.Int64
	accepted    atomic.Int64              // connections so far
	failedAt    atomic.Pointer[time.Time] // when an accept last lacked a descriptor
	closeOnce   sync.Once
	closed      chan struct{}

	mu       sync.Mutex
	arriving map[net.Conn]time.Time // connections on which nothing has come yet, with when they were accepted
}

// newCallerListener returns a listener that accepts up to maxOpen connections from another one, and up to maxArriving on which nothing has come yet.
func newCallerListener(listener net.Listener, maxOpen, maxArriving int) *callerListener {
	return &callerListener{
		Listener: listener, maxOpen: maxOpen, maxArriving: maxArriving, places: make(chan struct{}, maxOpen), closed: make(chan struct{}), arriving: map[net.Conn]time.Time{},
	}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	if !l.waitForArrivals() {
		<-l.places
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		if descriptor.IsExhausted(err) {
			now := time.Now()
			l.failedAt.Store(&now)
		}
		return nil, err
	}
	l.open.Add(1)
	l.accepted.Add(1)
	return conn, nil
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// waitForArrivals waits until few enough connections have their first request on its way. It returns false once the listener is closed.
func (l *callerListener) waitForArrivals() bool {
	for l.countArriving(time.Now()) >= l.maxArriving {
		select {
		case <-l.closed:
			return false
		case <-time.After(arrivalCheckInterval):
		}
	}
	return true
}

// countArriving returns the number of connections whose first request is on its way.
func (l *callerListener) countArriving(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.arriving) >= l.maxArriving {
		maps.DeleteFunc(l.arriving, func(_ net.Conn, accepted time.Time) bool { return now.Sub(accepted) >= maxArrivalTime })
	}
	return len(l.arriving)
}

// trackArrival records the state of a connection whose first request may be on its way.
func (l *callerListener) trackArrival(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateNew {
		l.arriving[conn] = time.Now()
		return
	}
	delete(l.arriving, conn)
}

// trackState records the state of a connection, and frees the place of one that has ended; the server reports each end once.
func (l *callerListener) trackState(conn net.Conn, state http.ConnState) {
	l.trackArrival(conn, state)
	switch state {
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
		<-l.places
	case http.StateNew, http.StateActive, http.StateIdle:
	}
}

// canAccept reports whether there is room for further connections.
func (l *callerListener) canAccept(now time.Time) bool {
	if failed := l.failedAt.Load(); failed != nil && now.Sub(*failed) < failedAcceptMemory {
		return false
	}
	return l.open.Load() < int64(l.maxOpen-l.maxOpen/spareCallersDivisor)
}

package gateway

import (
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
)

// callerListener accepts the connections of callers up to a limit. Beyond it, they wait in the system's queue.
type callerListener struct {
	net.Listener
	maxOpen   int
	places    chan struct{} // holds a value for each connection that is open or about to be accepted
	open      atomic.Int64
	failedAt  atomic.Pointer[time.Time] // when an accept last lacked a descriptor
	closeOnce sync.Once
	closed    chan struct{}
}

// newCallerListener returns a listener that accepts up to maxOpen connections from another one.
func newCallerListener(listener net.Listener, maxOpen int) *callerListener {
	return &callerListener{Listener: listener, maxOpen: maxOpen, places: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
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
	return conn, nil
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// trackState frees the place of a connection that has ended; the server reports each end once.
func (l *callerListener) trackState(state http.ConnState) {
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

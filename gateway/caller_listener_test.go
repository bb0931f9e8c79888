package gateway

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// scriptedListener returns the given errors in turn, and then connections.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *scriptedListener) Close() error { return nil }

// TestCallerListenerCountsPlaces fills a listener, whose last places are for callers that come before the platform has noticed.
func TestCallerListenerCountsPlaces(t *testing.T) {
	const maxOpen = 32
	listener := newCallerListener(&scriptedListener{}, maxOpen)
	accept := func(count int) {
		for range count {
			if _, err := listener.Accept(); err != nil {
				t.Fatal(err)
			}
		}
	}
	accept(maxOpen - maxOpen/spareCallersDivisor - 1)
	if !listener.canAccept(time.Now()) {
		t.Error("listener with free places counts as full")
	}
	accept(1)
	if listener.canAccept(time.Now()) {
		t.Error("listener with only its spare places counts as free")
	}
	accept(maxOpen / spareCallersDivisor)
	accepted := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		accepted <- err
	}()
	select {
	case err := <-accepted:
		t.Fatalf("full listener accepted, error %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
		listener.trackState(state)
	}
	listener.trackState(http.StateClosed)
	if err := <-accepted; err != nil {
		t.Errorf("error %v after a caller has gone", err)
	}
}

// TestClosedCallerListenerStopsWaiting closes a listener while it waits for a caller to go.
func TestClosedCallerListenerStopsWaiting(t *testing.T) {
	listener := newCallerListener(&scriptedListener{}, 1)
	if _, err := listener.Accept(); err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		accepted <- err
	}()
	listener.Close()
	listener.Close() // the server closes it once more
	if err := <-accepted; err == nil {
		t.Error("closed listener accepted")
	}
}

// TestFailedAcceptIsRemembered has an accept fail for lack of a descriptor, and for another reason.
func TestFailedAcceptIsRemembered(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"no descriptor":      {err: syscall.EMFILE, want: false},
		"connection is gone": {err: syscall.ECONNABORTED, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener := newCallerListener(&scriptedListener{errs: []error{test.err}}, 2)
			if _, err := listener.Accept(); err == nil {
				t.Fatal("no error")
			}
			now := time.Now()
			if got := listener.canAccept(now); got != test.want {
				t.Errorf("canAccept = %v, want %v", got, test.want)
			}
			if !listener.canAccept(now.Add(failedAcceptMemory)) {
				t.Error("canAccept = false long after the failure")
			}
			for range 2 {
				if _, err := listener.Accept(); err != nil {
					t.Error(err) // a failed accept takes no place
				}
			}
		})
	}
}

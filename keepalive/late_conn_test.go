package keepalive

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// lateListener accepts one connection, and returns it a moment after it has been closed.
type lateListener struct {
	net.Listener
	closeOnce sync.Once
	closed    chan struct{}
	late      net.Conn
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.late == nil {
		return nil, net.ErrClosed
	}
	time.Sleep(50 * time.Millisecond)
	late := l.late
	l.late = nil
	return late, nil
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// TestConnectionAcceptedAsTheListenerClosesIsServed guards against the end of a drain that closes a connection which Accept returns just then.
func TestConnectionAcceptedAsTheListenerClosesIsServed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := dialCaller(t, inner.Addr().String())
	_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	late, err := inner.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conns := New(func() time.Duration { return 0 }, quietLog())
	server := &http.Server{ConnState: conns.TrackState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) })}
	listener := conns.Listener(&lateListener{Listener: inner, closed: make(chan struct{}), late: late})
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := conns.Drain(ctx, time.Now().Add(4*time.Second)); err != nil {
		t.Error(err)
	}
	server.Close()
	if err := readAnswer(bufio.NewReader(client)); err != nil {
		t.Errorf("no answer: %v", err)
	}
}

// TestCloseIsNotDecidedBetweenReads guards against a close that is decided while the server has a request in its buffer, and which then meets the read of
// the body of that.
func TestCloseIsNotDecidedBetweenReads(t *testing.T) {
	conns := New(func() time.Duration { return 0 }, quietLog())
	server, client := acceptOne(t, conns)
	conns.TrackState(server, http.StateIdle) // no read waits, as the server has the head in its buffer
	server.closeIfIdle(causeDrain, always)
	conns.TrackState(server, http.StateActive)
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(client, "body")
	}()
	buffer := make([]byte, 10)
	if n, err := server.Read(buffer); string(buffer[:n]) != "body" || err != nil {
		t.Errorf("read %q, %v; want the body", buffer[:n], err)
	}
}

// TestTimeoutLoweredDuringAnAnswerSparesItsConnection guards against a close before the time that the header of a long answer has announced.
func TestTimeoutLoweredDuringAnAnswerSparesItsConnection(t *testing.T) {
	const before, after = 1500 * time.Millisecond, 50 * time.Millisecond
	timeout := before
	conns := New(func() time.Duration { return timeout }, quietLog())
	server, client := acceptOne(t, conns)
	conns.TrackState(server, http.StateActive)
	conns.Announce(server, http.Header{})
	timeout = after
	conns.TrackState(server, http.StateIdle)
	go func() { _ = conns.Run(t.Context()) }()
	closed := make(chan struct{})
	go func() {
		_, _ = server.Read(make([]byte, 1))
		close(closed)
	}()
	select {
	case <-closed:
		t.Error("was closed before the announced time")
	case <-time.After(before * announceNumerator / announceDenominator):
	}
	client.Close()
	<-closed
}

package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// quietLog returns a log that is dropped.
func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("part", "test")
}

// TestDrainServesRequestAfterLongResponse sends a request on a connection whose earlier response began before the drain, so
// that it could not announce the close. The request must be served although the gateway is draining.
func TestDrainServesRequestAfterLongResponse(t *testing.T) {
	conns := newConnections(quietLog())
	release := make(chan struct{})
	server := &http.Server{ConnState: conns.trackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	get := func(path string) *http.Response {
		if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no response to %s: %v", path, err)
		}
		return response
	}
	first := get("/long")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- conns.drain(ctx) }()
	time.Sleep(100 * time.Millisecond)
	close(release)
	if _, err := io.ReadAll(first.Body); err != nil {
		t.Fatal(err)
	}
	second := get("/next")
	if body, err := io.ReadAll(second.Body); err != nil || string(body) != "ok" {
		t.Errorf("body of the second response = %q, %v; want ok", body, err)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain returned %v, want nil", err)
	}
}

// TestRequestOnClosedIdleConnectionIsNotForwarded has a request arrive on an idle connection just as the gateway closes it.
// The caller gets no response and may send the request again, so it must not run.
func TestRequestOnClosedIdleConnectionIsNotForwarded(t *testing.T) {
	conns := newConnections(quietLog())
	serverConn, clientConn := net.Pipe()
	defer clientConn.Close()
	conns.trackState(serverConn, http.StateNew)
	conns.trackState(serverConn, http.StateIdle)
	if open := conns.closeIdle(time.Now().Add(time.Second), closedByDrain); open != 1 {
		t.Errorf("%d connections open, want 1 until the server has noticed the close", open)
	}
	conns.trackState(serverConn, http.StateActive)
	if !conns.closedWhileIdle(contextWithConn(context.Background(), serverConn)) {
		t.Error("closedWhileIdle returned false, the request would be forwarded")
	}
	conns.trackState(serverConn, http.StateClosed)
	if conns.closedWhileIdle(contextWithConn(context.Background(), serverConn)) || conns.openCount != 0 {
		t.Error("the closed connection is still tracked")
	}
}

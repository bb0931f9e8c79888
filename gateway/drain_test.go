package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestDrainAnswersRequestAfterLongAnswer sends a request on a connection whose earlier answer began before the drain, so
// that the caller could not know of it.
func TestDrainAnswersRequestAfterLongAnswer(t *testing.T) {
	conns := newConnections()
	release := make(chan struct{})
	server := &http.Server{ConnState: conns.track, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
			t.Fatalf("no answer to %s: %v", path, err)
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
		t.Errorf("second answer = %q, %v", body, err)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain = %v", err)
	}
}

// TestRequestThatCrossesTheCloseIsNotPassedOn has a request arrive on a connection that was idle as it is closed.
func TestRequestThatCrossesTheCloseIsNotPassedOn(t *testing.T) {
	conns := newConnections()
	ours, theirs := net.Pipe()
	defer theirs.Close()
	conns.track(ours, http.StateNew)
	conns.track(ours, http.StateIdle)
	if open := conns.closeIdle(time.Now().Add(time.Second)); open != 1 {
		t.Errorf("%d connections open, want 1 until the server has noticed", open)
	}
	conns.track(ours, http.StateActive)
	if !conns.crossed(withConn(context.Background(), ours)) {
		t.Error("the request would be passed on")
	}
	conns.track(ours, http.StateClosed)
	if conns.crossed(withConn(context.Background(), ours)) || conns.open != 0 {
		t.Error("the connection is not forgotten")
	}
}

package keepalive

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
	conns := New(func() time.Duration { return 0 }, quietLog())
	release := make(chan struct{})
	server := &http.Server{ConnState: conns.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	go func() { _ = server.Serve(conns.Listener(listener)) }()
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
	go func() { drained <- conns.Drain(ctx, time.Now().Add(5*time.Second)) }()
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

package keepalive

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// acceptOne returns both ends of a connection whose server end belongs to conns.
func acceptOne(t *testing.T, conns *Conns) (server *conn, client net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	client, err = net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := conns.Listener(inner).Accept()
	if err != nil {
		t.Fatal(err)
	}
	server = accepted.(*conn)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return server, client
}

func always(time.Time, time.Duration, bool) bool { return true }

// TestBytesThatArriveBeforeTheCloseAreRead guards against a close that is decided as idle when a request has arrived but has not been read.
func TestBytesThatArriveBeforeTheCloseAreRead(t *testing.T) {
	cases := map[string]struct {
		sent     string
		wantRead string
		wantErr  error
	}{
		"request has arrived": {"GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\n", nil},
		"one byte":            {"G", "G", nil},
		"nothing":             {"", "", io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, client := acceptOne(t, New(func() time.Duration { return 0 }, quietLog()))
			server.beginRead(1) // the reader is about to wait
			if _, err := io.WriteString(client, c.sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			server.closeIfIdle(causeDrain, always)
			buffer := make([]byte, 100)
			n, err := server.Read(buffer)
			if string(buffer[:n]) != c.wantRead || !errors.Is(err, c.wantErr) {
				t.Errorf("read %q, %v; want %q, %v", buffer[:n], err, c.wantRead, c.wantErr)
			}
		})
	}
}

// TestLoweredIdleTimeoutSparesOpenConnections guards against a close that callers who go by the timeout at their last answer run into.
func TestLoweredIdleTimeoutSparesOpenConnections(t *testing.T) {
	const before, after = 1500 * time.Millisecond, 100 * time.Millisecond
	cases := map[string]struct {
		announced   bool
		first, then time.Duration
		wantOpen    bool // at 4/5 of the longer
	}{
		"lowered":                 {false, before, after, true},
		"lowered, announced":      {true, before, after, true},
		"raised":                  {false, after, before, true},
		"raised, announced":       {true, after, before, true},
		"short all along":         {false, after, after, false},
		"lowered to none":         {false, before, 0, true},
		"raised from no limit":    {false, 0, before, true},
		"lowered before its last": {true, after, after, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			timeout := c.first
			conns := New(func() time.Duration { return timeout }, quietLog())
			server, client := acceptOne(t, conns)
			conns.TrackState(server, http.StateActive)
			if c.announced {
				conns.Announce(server, http.Header{})
			}
			conns.TrackState(server, http.StateIdle)
			timeout = c.then
			done := make(chan error, 1)
			ctx := t.Context()
			go func() { done <- conns.Run(ctx) }()
			closed := make(chan struct{})
			go func() {
				_, _ = server.Read(make([]byte, 1))
				close(closed)
			}()
			select {
			case <-closed:
				if c.wantOpen {
					t.Error("was closed while its caller may still use it")
				}
			case <-time.After(before * announceNumerator / announceDenominator):
				if !c.wantOpen {
					t.Error("was not closed")
				}
			}
			client.Close()
			<-closed
		})
	}
}

// TestAnswersAnnounceHowLongConnectionsAreKept guards against callers who cannot know when their connection is closed.
func TestAnswersAnnounceHowLongConnectionsAreKept(t *testing.T) {
	cases := map[string]struct {
		timeout  time.Duration
		draining bool
		want     http.Header
	}{
		"usual":    {15 * time.Second, false, http.Header{"Keep-Alive": {"timeout=12"}}},
		"short":    {time.Second, false, http.Header{}},
		"none":     {0, false, http.Header{}},
		"draining": {15 * time.Second, true, http.Header{"Connection": {"close"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conns := New(func() time.Duration { return c.timeout }, quietLog())
			server, _ := acceptOne(t, conns)
			if c.draining {
				conns.StartDrain()
			}
			header := http.Header{}
			conns.Announce(server, header)
			if len(header) != len(c.want) || header.Get("Keep-Alive") != c.want.Get("Keep-Alive") || header.Get("Connection") != c.want.Get("Connection") {
				t.Errorf("header %v, want %v", header, c.want)
			}
		})
	}
}

// TestEarlyAnswerSurvivesItsRequest guards against an answer that is destroyed by the reset of a connection whose caller is still sending.
func TestEarlyAnswerSurvivesItsRequest(t *testing.T) {
	conns := New(func() time.Duration { return 0 }, quietLog())
	server, client := acceptOne(t, conns)
	const answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(client, "POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(server, answer); err != nil {
		t.Fatal(err)
	}
	conns.AnsweredEarly(server)
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	for range 50 {
		time.Sleep(2 * time.Millisecond)
		if _, err := client.Write(make([]byte, 1000)); err != nil {
			t.Fatalf("the connection was reset while its request was sent: %v", err)
		}
	}
	got, err := io.ReadAll(client)
	if string(got) != answer || err != nil {
		t.Errorf("the caller read %q, %v; want the answer", got, err)
	}
	client.Close()
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestSlowHeadIsAnswered guards against a connection that is closed with no answer as the head of a request takes too long.
func TestSlowHeadIsAnswered(t *testing.T) {
	conns := New(func() time.Duration { return 0 }, quietLog())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: conns.TrackState, ReadHeaderTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	defer server.Close()
	go func() { _ = server.Serve(conns.Listener(inner)) }()
	for name, first := range map[string]string{"first request": "", "kept connection": "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			client, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			_ = client.SetDeadline(time.Now().Add(3 * time.Second))
			reader := bufio.NewReader(client)
			if first != "" {
				_, _ = io.WriteString(client, first)
				if err := readAnswer(reader); err != nil {
					t.Fatal(err)
				}
			}
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHo")
			response, err := http.ReadResponse(reader, nil)
			if err != nil || response.StatusCode != http.StatusRequestTimeout {
				t.Errorf("response %v, %v; want 408", response, err)
			}
		})
	}
}

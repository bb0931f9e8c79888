package keepalive

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// shortHeadServer serves with conns and a short time for heads, and returns its address.
func shortHeadServer(t *testing.T, conns *Conns, headTime time.Duration, handle http.HandlerFunc) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: conns.TrackState, ReadHeaderTimeout: headTime, Handler: handle}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(conns.Listener(inner)) }()
	return inner.Addr().String()
}

// dialCaller connects a caller that gives up after some seconds.
func dialCaller(t *testing.T, address string) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	_ = client.SetDeadline(time.Now().Add(headStartTime + 3*time.Second))
	return client
}

// TestPartOfAHeadGetsOneAnswer guards against a second answer, which belongs to no request, behind the refusal of a head that is not read to the end.
func TestPartOfAHeadGetsOneAnswer(t *testing.T) {
	cases := map[string]struct {
		part  string
		drain bool
	}{
		"slow, in the request line": {"GET / HT", false},
		"slow, in a field":          {"GET / HTTP/1.1\r\nHo", false},
		"slow, behind a field":      {"GET / HTTP/1.1\r\nHost: a\r\n", false},
		"stop, in the request line": {"GET / HT", true},
		"stop, in a field":          {"GET / HTTP/1.1\r\nHo", true},
		"stop, behind a field":      {"GET / HTTP/1.1\r\nHost: a\r\n", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			headTime := 100 * time.Millisecond
			if c.drain {
				headTime = 10 * time.Second
			}
			conns := New(func() time.Duration { return 0 }, quietLog())
			client := dialCaller(t, shortHeadServer(t, conns, headTime, func(http.ResponseWriter, *http.Request) {}))
			_, _ = io.WriteString(client, c.part)
			if c.drain {
				time.Sleep(50 * time.Millisecond)
				go func() { _ = conns.Drain(t.Context(), time.Now()) }()
			}
			got, _ := io.ReadAll(client)
			if n := strings.Count(string(got), "HTTP/1.1 "); n != 1 {
				t.Errorf("%d answers to one request: %q", n, got)
			}
		})
	}
}

// TestBytesThatBeginNoRequestDoNotKeepAConnection guards against connections that are kept for ever as their callers have sent a few bytes.
func TestBytesThatBeginNoRequestDoNotKeepAConnection(t *testing.T) {
	for name, c := range map[string]struct {
		behind string
		drain  bool
	}{
		"line end behind a body":      {"\r\n", false},
		"begin of a method":           {"GET", false},
		"line end, before last calls": {"\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conns := New(func() time.Duration { return 100 * time.Millisecond }, quietLog())
			client := dialCaller(t, shortHeadServer(t, conns, 100*time.Millisecond, func(http.ResponseWriter, *http.Request) {}))
			go func() { _ = conns.Run(t.Context()) }()
			if c.drain {
				go func() { _ = conns.Drain(t.Context(), time.Now().Add(time.Minute)) }()
			}
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			reader := bufio.NewReader(client)
			if err := readAnswer(reader); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(client, c.behind)
			if _, err := io.ReadAll(reader); err != nil {
				t.Errorf("the connection is still open long after the idle timeout: %v", err)
			}
		})
	}
}

// TestPartOfAPipelinedRequestIsAnswered guards against a request that is cut in its head without an answer as a part of it was read with the one before.
func TestPartOfAPipelinedRequestIsAnswered(t *testing.T) {
	const first = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, part := range map[string]string{"half of a head": "GET /next HTTP/1.1\r\nHost: a\r\n", "first byte": "G"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conns := New(func() time.Duration { return 100 * time.Millisecond }, quietLog())
			client := dialCaller(t, shortHeadServer(t, conns, 10*time.Second, func(_ http.ResponseWriter, _ *http.Request) { time.Sleep(50 * time.Millisecond) }))
			go func() { _ = conns.Run(t.Context()) }()
			_, _ = io.WriteString(client, first+part)
			reader := bufio.NewReader(client)
			if err := readAnswer(reader); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1200 * time.Millisecond)
			if part == "G" {
				_, _ = io.WriteString(client, "ET /next HTTP/1.1\r\nHost: a\r\n\r\n")
			} else {
				_, _ = io.WriteString(client, "\r\n")
			}
			if err := readAnswer(reader); err != nil {
				t.Errorf("the request of which a part had been read got no answer: %v", err)
			}
		})
	}
}

// TestPartOfAPipelinedRequestIsRefused guards against a head that is cut without an answer in a drain, or as its time is over, as a part of it was read
// with the request before.
func TestPartOfAPipelinedRequestIsRefused(t *testing.T) {
	cases := map[string]struct {
		part       string
		drain      bool
		wantStatus string
	}{
		"half of a head, drain":     {"GET /next HTTP/1.1\r\nHost: a\r\n", true, " 503 "},
		"first byte, drain":         {"G", true, " 503 "},
		"half of a head, slow head": {"GET /next HTTP/1.1\r\nHost: a\r\n", false, " 408 "},
		"first byte, slow head":     {"G", false, " 408 "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conns := New(func() time.Duration { return 100 * time.Millisecond }, quietLog())
			headTime := 200 * time.Millisecond
			if c.drain {
				headTime = 10 * time.Second
			}
			conns.SetLimits(Limits{HeaderTimeout: func() time.Duration { return headTime }})
			client := dialCaller(t, shortHeadServer(t, conns, 10*time.Second, func(http.ResponseWriter, *http.Request) {}))
			go func() { _ = conns.Run(t.Context()) }()
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"+c.part)
			reader := bufio.NewReader(client)
			if err := readAnswer(reader); err != nil {
				t.Fatal(err)
			}
			if c.drain {
				time.Sleep(50 * time.Millisecond)
				go func() { _ = conns.Drain(t.Context(), time.Now()) }()
			}
			got, err := io.ReadAll(reader)
			if err != nil || strings.Count(string(got), "HTTP/1.1 ") != 1 || !strings.Contains(string(got), c.wantStatus) {
				t.Errorf("read %q, %v; want one refusal with%s", got, err, c.wantStatus)
			}
		})
	}
}

// TestPartOfAHeadIsRefusedInAShortGrace guards against heads that are cut as the time between the last answers and the close is below the check interval.
func TestPartOfAHeadIsRefusedInAShortGrace(t *testing.T) {
	for name, phase := range map[string]time.Duration{"5 ms": 5, "15 ms": 15, "25 ms": 25, "35 ms": 35, "45 ms": 45} {
		t.Run(name, func(t *testing.T) {
			conns := New(func() time.Duration { return 0 }, quietLog())
			client := dialCaller(t, shortHeadServer(t, conns, 10*time.Second, func(http.ResponseWriter, *http.Request) {}))
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHo")
			time.Sleep(50 * time.Millisecond)
			lastCall := time.Now().Add(100*time.Millisecond + phase*time.Millisecond)
			ctx, cancel := context.WithDeadline(t.Context(), lastCall.Add(20*time.Millisecond)) // as at a grace of 800 ms
			defer cancel()
			_ = conns.Drain(ctx, lastCall)
			for _, own := range conns.all() {
				own.tcpConn.Close()
			}
			if got, err := io.ReadAll(client); !strings.Contains(string(got), " 503 ") {
				t.Errorf("read %q, %v; want a refusal", got, err)
			}
		})
	}
}

// temporaryError is an error of Accept after which a server goes on, as without a free descriptor.
type temporaryError struct{}

func (temporaryError) Error() string   { return "no free descriptor" }
func (temporaryError) Timeout() bool   { return false }
func (temporaryError) Temporary() bool { return true }

// failingListener fails once before it accepts.
type failingListener struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, temporaryError{}
	}
	return l.Listener.Accept()
}

// TestTemporaryErrorDoesNotEndTheAccepting guards against a drain that does not wait for the last connection as Accept has failed once, long ago.
func TestTemporaryErrorDoesNotEndTheAccepting(t *testing.T) {
	conns := New(func() time.Duration { return 0 }, quietLog())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	outer := conns.Listener(&failingListener{Listener: inner})
	if _, err := outer.Accept(); !errors.As(err, &temporaryError{}) {
		t.Fatal(err)
	}
	returned := make(chan struct{})
	go func() {
		conns.stopAccepting(t.Context())
		close(returned)
	}()
	select {
	case <-returned:
		t.Error("the drain takes the listener to be done though Accept is called again")
	case <-time.After(200 * time.Millisecond):
	}
	_, _ = outer.Accept() // fails for good
	<-returned
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestRequestStillComingInAtTheEndIsRefused guards against a request that its caller is still sending as the grace of a gateway ends, and which is cut
// with no answer.
func TestRequestStillComingInAtTheEndIsRefused(t *testing.T) {
	const grace, interval = 2 * time.Second, 20 * time.Millisecond
	cases := map[string]struct {
		bodyBytes int
		keepsOn   bool // the caller goes on sending
		cutHead   int  // bytes of the head that are sent at first; 0 for all
	}{
		"part of its head": {bodyBytes: 1, cutHead: 30},
		"first byte":       {bodyBytes: 1, cutHead: 1},

		"caller has paused":       {bodyBytes: 1000},
		"caller goes on":          {bodyBytes: 1000, keepsOn: true},
		"caller has a long way":   {bodyBytes: 1 << 20, keepsOn: true},
		"caller paused far off":   {bodyBytes: 1 << 20},
		"caller declared chunks":  {keepsOn: true},
		"caller paused in chunks": {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlannedStop(t, grace)
			conn, reader, err := p.dial(p.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			framing, part := fmt.Sprintf("Content-Length: %d", c.bodyBytes), "x"
			if c.bodyBytes == 0 {
				framing, part = "Transfer-Encoding: chunked", "1\r\nx\r\n"
			}
			request := fmt.Sprintf("POST /unsafe-body/ HTTP/1.1\r\nHost: callers.example\r\nX-Gypsumbank-Request-Id: slow\r\n%s\r\n\r\n%s", framing, part)
			if c.cutHead > 0 {
				request = request[:c.cutHead]
			}
			_, _ = io.WriteString(conn, request)
			time.Sleep(100 * time.Millisecond)
			p.gateway.signal(syscall.SIGTERM)
			answered := make(chan struct{})
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				for c.keepsOn {
					select {
					case <-answered:
						return
					case <-time.After(interval):
					}
					if _, err := io.WriteString(conn, part); err != nil {
						return
					}
				}
			}()
			_ = conn.SetReadDeadline(time.Now().Add(2 * grace))
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Errorf("no answer: %v", err)
			} else {
				_, err = io.ReadAll(response.Body)
				if response.StatusCode != http.StatusServiceUnavailable || err != nil {
					t.Errorf("status %d, %v; want 503, whole", response.StatusCode, err)
				}
			}
			close(answered)
			<-sent
			<-p.gateway.exited
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.ran["slow"] {
				t.Error("the request ran")
			}
		})
	}
}

// TestUnreadBodiesDoNotHoldUpTheExit guards against a gateway that is killed at the end of its grace, as it waits in turn for callers who still send bodies
// that have been refused.
func TestUnreadBodiesDoNotHoldUpTheExit(t *testing.T) {
	const grace, bodyBytes, interval = 2 * time.Second, 1 << 20, 20 * time.Millisecond
	for name, callers := range map[string]int{"one": 1, "some": 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlannedStop(t, grace)
			for i := range callers {
				conn, _, err := p.dial(p.address)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				_, _ = fmt.Fprintf(conn, "POST /unsafe-body/ HTTP/1.1\r\nHost: callers.example\r\nX-Gypsumbank-Request-Id: r%d\r\nContent-Length: %d\r\n\r\nx", i, bodyBytes)
				go func() {
					for {
						if _, err := conn.Write(make([]byte, 100)); err != nil {
							return
						}
						time.Sleep(interval)
					}
				}()
			}
			time.Sleep(100 * time.Millisecond)
			stoppedAt := time.Now()
			p.gateway.signal(syscall.SIGTERM)
			<-p.gateway.exited
			if took := time.Since(stoppedAt); took > grace {
				t.Errorf("the process ended %s after the signal, with a grace of %s", took, grace)
			}
		})
	}
}

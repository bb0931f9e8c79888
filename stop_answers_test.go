package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gypsumbank/framing"
	"gypsumbank/standin/site"
)

// TestAnswerInAStopAnnouncesTheClose guards against callers who are told in a stop that their connection is kept, as their request had come before it: their next
// request meets the close.
func TestAnswerInAStopAnnouncesTheClose(t *testing.T) {
	for _, name := range []string{"safe, 1.8 s", "unsafe, slow"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			kind := stopKinds[name]
			p := newPlannedStop(t, 2*time.Second)
			conn, reader, err := p.dial(p.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go func() {
				time.Sleep(300 * time.Millisecond)
				p.gateway.signal(syscall.SIGTERM)
			}()
			_, _ = io.WriteString(conn, kind.method+" "+kind.path+" HTTP/1.1\r\nHost: callers.example\r\nX-Gypsumbank-Request-Id: r\r\nContent-Length: 0\r\n\r\n")
			_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(response.Body)
			if !response.Close {
				t.Errorf("status %d, header %v; want the close announced", response.StatusCode, response.Header)
			}
			answeredAt := time.Now()
			_, err = reader.ReadByte()
			t.Logf("status %d; the connection ended %s after its answer: %v", response.StatusCode, time.Since(answeredAt), err)
		})
	}
}

// TestAnswerOfWhichNothingWasSentIsReplaced guards against a request that gets neither an answer nor a refusal as the end of the grace, or of its time, comes
// while the first bytes of its target's answer are still held back in this process.
func TestAnswerOfWhichNothingWasSentIsReplaced(t *testing.T) {
	for name, stops := range map[string]bool{"end of the grace": true, "timeout of the route": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlannedStop(t, 2*time.Second)
			target := site.NewTarget("p2", func(conn net.Conn, request *site.ReceivedRequest) bool {
				if !strings.Contains(request.RequestLine, "/unsafe") {
					return false
				}
				return site.CutResponse(http.StatusOK, framing.Length, "text/plain", []string{"begin", strings.Repeat("x", 100)}, 5, site.EndSilence)(conn, request)
			})
			defer target.Close()
			p.store.Remove("servers", "p1")
			p.store.Put("servers", "p2", target.RegistryEntry("plain", "ready"))
			time.Sleep(time.Second)
			conn, reader, err := p.dial(p.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			path := stopKinds["unsafe"].path
			if stops {
				path = stopKinds["unsafe, slow"].path
			}
			_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: callers.example\r\nX-Gypsumbank-Request-Id: r\r\nContent-Length: 0\r\n\r\n")
			if stops {
				time.Sleep(200 * time.Millisecond)
				p.gateway.signal(syscall.SIGTERM)
			}
			_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if response.StatusCode < http.StatusInternalServerError {
				t.Errorf("status %d; want a failure", response.StatusCode)
			}
		})
	}
}

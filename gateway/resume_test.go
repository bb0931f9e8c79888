package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// TestErrorOfTheResumingTargetIsNotPartOfTheStream breaks a resumable stream after its first events and has the target that
// is to resume it answer with an error. The caller's answer must look incomplete and have none of the error's bytes.
func TestErrorOfTheResumingTargetIsNotPartOfTheStream(t *testing.T) {
	for name, status := range map[string]int{"server error": 500, "gateway timeout": 504, "client error": 404} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			other := site.NewTarget("e2", site.EventStream(6, 0, 2))
			defer other.Close()
			other.Load("m1")
			d.store.Put("servers", "e2", other.RegistryEntry("engine", "ready"))
			time.Sleep(1200 * time.Millisecond) // until the gateway has read the registry
			resumed := site.TextResponse(status, "error text")
			for _, target := range []*site.Target{d.engineTarget, other} {
				broken := site.EventStream(6, 0, 2)
				target.SetHandler(func(conn net.Conn, request *site.ReceivedRequest) bool {
					if request.Header.Get("Last-Event-Id") != "" {
						return resumed(conn, request)
					}
					return broken(conn, request)
				})
			}
			response, body, err := d.roundTrip(getRequest("/resume/a", m1Header))
			if response == nil || response.StatusCode != http.StatusOK {
				t.Fatalf("response %v, %v, want the first target's 200", response, err)
			}
			if err == nil {
				t.Errorf("the answer looks complete: %q", body)
			}
			if strings.Contains(body, "error text") || strings.Count(body, "\n\n") != 2 {
				t.Errorf("body %q, want the first two events", body)
			}
		})
	}
}

// TestStreamThatEndsInsideAnEventIsBrokenOff has a target end a stream with its connection. Without a length or chunks only the
// events tell whether the stream is whole; one that ends inside an event, or before the first, must not look whole to the caller.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	cases := map[string]struct {
		parts     []string
		wantWhole bool
	}{
		"whole":                     {parts: []string{first, second}, wantWhole: true},
		"whole, in pieces":          {parts: []string{first, "id: 2\nda", "ta: b\n", "\n"}, wantWhole: true},
		"inside an event":           {parts: []string{first, "id: 2\ndat"}},
		"before the end of a line":  {parts: []string{first, "id: 2\ndata: b"}},
		"before the end of a event": {parts: []string{first, "id: 2\ndata: b\n"}},
		"before the first event":    {},
	}
	for _, path := range []string{"/stream/a", "/resume/a"} {
		for name, c := range cases {
			t.Run(path+" "+name, func(t *testing.T) {
				d := newDeployment(t)
				d.engineTarget.SetHandler(site.RawResponse(false, func(conn net.Conn, identityHeaders string) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+identityHeaders+"Content-Type: text/event-stream\r\n\r\n")
					for _, part := range c.parts {
						_, _ = io.WriteString(conn, part)
						time.Sleep(20 * time.Millisecond)
					}
				}))
				_, body, err := d.roundTrip(getRequest(path, m1Header))
				if whole := err == nil; whole != c.wantWhole {
					t.Errorf("the answer looks whole: %v, want %v; body %q, %v", whole, c.wantWhole, body, err)
				}
				if c.wantWhole && body != first+second {
					t.Errorf("body %q", body)
				}
			})
		}
	}
}

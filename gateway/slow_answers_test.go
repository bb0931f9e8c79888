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

// byteNowAndThen is a target's answer that begins with head and then has one byte each 50 ms, without end.
func byteNowAndThen(head func(identityHeaders string) string) site.Handler {
	return site.RawResponse(false, func(conn net.Conn, identityHeaders string) {
		text := head(identityHeaders)
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			text = "x"
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestSlowAnswers has the target answer slowly. An answer whose events keep coming is passed on whole, however long it takes
// within the route's timeout of 2 s; one that makes no progress ends at the timeout, also if it sends a byte now and then.
func TestSlowAnswers(t *testing.T) {
	chunked := func(identityHeaders string) string {
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + identityHeaders + "\r\nfffff\r\n"
	}
	cases := map[string]struct {
		path       string
		target     site.Handler
		whole      bool
		wantStatus int // 0 if the connection may end without a response
	}{
		"slow but sound":                {path: "/stream/a", target: site.EventStream(6, 280*time.Millisecond, 0), whole: true, wantStatus: 200},
		"slow but sound, resumable":     {path: "/resume/a", target: site.EventStream(6, 280*time.Millisecond, 0), whole: true, wantStatus: 200},
		"event without end":             {path: "/stream/a", target: byteNowAndThen(chunked), wantStatus: 200},
		"event without end, resumable":  {path: "/resume/a", target: byteNowAndThen(chunked)},
		"head without end":              {path: "/stream/a", target: byteNowAndThen(func(string) string { return "HTTP/1.1 200 OK\r\nX-Filler: " }), wantStatus: http.StatusGatewayTimeout},
		"head without end, may run two": {path: "/resume/a", target: byteNowAndThen(func(string) string { return "HTTP/1.1 2" }), wantStatus: http.StatusGatewayTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.engineTarget.SetHandler(c.target)
			began := time.Now()
			response, body, err := d.roundTrip(getRequest(c.path, m1Header))
			took := time.Since(began)
			if took > 2600*time.Millisecond {
				t.Errorf("the answer ended after %s, want the route timeout of 2 s", took)
			}
			switch {
			case response == nil && c.wantStatus != 0:
				t.Fatalf("no response: %v", err)
			case response != nil && c.wantStatus != 0 && response.StatusCode != c.wantStatus:
				t.Errorf("status %d, want %d", response.StatusCode, c.wantStatus)
			}
			if c.whole && (err != nil || strings.Count(body, "\n\n") != 6) {
				t.Errorf("body %q, %v, want six events", body, err)
			}
			if !c.whole && response != nil && response.StatusCode < 300 && err == nil {
				t.Error("an answer that was cut looks complete")
			}
		})
	}
}

// TestSilentTargetKeepsItsWork has a target's registry entry lapse and another target appear while its stream runs, as when
// the target is only slow to report. The stream must go on where it runs.
func TestSilentTargetKeepsItsWork(t *testing.T) {
	for name, path := range map[string]string{"resumable": "/resume/a", "not resumable": "/stream/a"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			other := site.NewTarget("e2", site.EventStream(6, 0, 0))
			defer other.Close()
			other.Load("m1")
			d.engineTarget.SetHandler(site.EventStream(6, 280*time.Millisecond, 0))
			lapse := time.AfterFunc(300*time.Millisecond, func() {
				d.store.Put("servers", "e2", other.RegistryEntry("engine", "ready"))
				d.store.Remove("servers", "e1")
			})
			defer lapse.Stop()
			response, body, err := d.roundTrip(getRequest(path, m1Header))
			if err != nil || response.StatusCode != http.StatusOK || strings.Count(body, "\n\n") != 6 {
				t.Errorf("response %v, body %q, %v, want six events", response, body, err)
			}
			if first, second := len(d.engineTarget.Requests()), len(other.Requests()); first != 1 || second != 0 {
				t.Errorf("requests: %d at the silent target and %d at the other, want 1 and 0", first, second)
			}
		})
	}
}

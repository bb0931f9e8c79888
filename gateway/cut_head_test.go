package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gypsumbank/standin/site"
)

// TestHeadCutMidwayIsNoAnswer guards against an answer whose target closes its connection in the middle of the head: at no byte may the
// caller get a success, or an answer that looks whole.
func TestHeadCutMidwayIsNoAnswer(t *testing.T) {
	head := func(identity string) string {
		return "HTTP/1.1 200 OK\r\n" + identity + "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"
	}
	cases := map[string]string{"plain": getRequest("/safe/a"), "at most once": postRequest("sale"), "stream": getRequest("/stream/a", m1Header)}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			length := len(head("X-Gypsumbank-Request-Id: r1\r\nX-Gypsumbank-Response-Stamp: stamp\r\n"))
			var cut atomic.Int64
			script := site.RawResponse(false, func(conn net.Conn, identity string) {
				_, _ = io.WriteString(conn, head(identity)[:cut.Load()])
			})
			d.plainTarget.SetHandler(script)
			d.engineTarget.SetHandler(script)
			for at := range length {
				cut.Store(int64(at))
				response, body, err := d.roundTrip(request)
				if err == nil && response.StatusCode < http.StatusInternalServerError {
					t.Errorf("cut after %d bytes: status %d, body %q", at, response.StatusCode, body)
				}
			}
		})
	}
}

// TestHeadOfTheResumingTargetCutMidway breaks a stream and has the target that is to go on with it close in the middle of its head. The
// caller's stream must look broken off and have only the first target's events.
func TestHeadOfTheResumingTargetCutMidway(t *testing.T) {
	d := newDeployment(t)
	other := site.NewTarget("e2", site.EventStream(6, 0, 2))
	defer other.Close()
	other.Load("m1")
	d.store.Put("servers", "e2", other.RegistryEntry("engine", "ready"))
	d.waitForEngines()
	broken := site.EventStream(6, 0, 2)
	for _, at := range []int{1, 9, 15, 17, 30, 80, 100, 130} {
		cutHead := site.RawResponse(false, func(conn net.Conn, identity string) {
			_, _ = io.WriteString(conn, ("HTTP/1.1 200 OK\r\n" + identity + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")[:at])
		})
		for _, target := range []*site.Target{d.engineTarget, other} {
			target.SetHandler(func(conn net.Conn, request *site.ReceivedRequest) bool {
				if request.Header.Get("Last-Event-Id") != "" {
					return cutHead(conn, request)
				}
				return broken(conn, request)
			})
		}
		response, body, err := d.roundTrip(getRequest("/resume/a", m1Header))
		if response == nil || err == nil || strings.Count(body, "\n\n") != 2 || strings.Contains(body, "HTTP") {
			t.Errorf("cut after %d bytes: response %v, body %q, %v; want a stream that breaks off after two events", at, response, body, err)
		}
	}
}

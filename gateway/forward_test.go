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

func TestRequestsArriveAsSent(t *testing.T) {
	chunked := "POST /unsafe/x HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Gypsumbank-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	tests := map[string]struct {
		request  string
		wantLine string
		wantBody string
	}{
		"no query":              {getRequest("/safe/a"), "GET /safe/a HTTP/1.1", ""},
		"query":                 {getRequest("/safe/a?b=c&d=%20+e&&"), "GET /safe/a?b=c&d=%20+e&& HTTP/1.1", ""},
		"dots and slashes":      {getRequest("/safe/a/../b//c/./%2e%2E/%2f"), "GET /safe/a/../b//c/./%2e%2E/%2f HTTP/1.1", ""},
		"empty query":           {getRequest("/safe/a?"), "GET /safe/a? HTTP/1.1", ""},
		"body":                  {postRequest("a\x00b\r\n\r\nc"), "POST /unsafe/x HTTP/1.1", "a\x00b\r\n\r\nc"},
		"empty body":            {postRequest(""), "POST /unsafe/x HTTP/1.1", ""},
		"chunked body":          {chunked, "POST /unsafe/x HTTP/1.1", "abcde"},
		"request within a body": {postRequest(getRequest("/safe/smuggled")), "POST /unsafe/x HTTP/1.1", getRequest("/safe/smuggled")},
	}
	d := newDeployment(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := len(d.plainTarget.Requests())
			response, body, err := d.roundTrip(test.request)
			if err != nil || response.StatusCode != http.StatusOK || body != "ok" {
				t.Fatalf("response %v %q, %v; want 200 ok", response, body, err)
			}
			seen := d.plainTarget.Requests()[before:]
			if len(seen) != 1 {
				t.Fatalf("%d requests arrived at the target, want 1", len(seen))
			}
			if seen[0].RequestLine != test.wantLine || string(seen[0].Body) != test.wantBody {
				t.Errorf("request arrived as %q with body %q", seen[0].RequestLine, seen[0].Body)
			}
		})
	}
}

func TestInternalHeadersFromCallersAreNotForwarded(t *testing.T) {
	d := newDeployment(t)
	_, _, err := d.roundTrip(getRequest("/stream/a", m1Header, "X-Gypsumbank-Token-Usage: 10,5", "X-Gypsumbank-Prompt-Prefix: aa:4,bb:6",
		"X-Gypsumbank-Hold: h", "X-Gypsumbank-Pin-Ms: 9", "X-Gypsumbank-Kv-Backup: 1.2.3.4:5", "Kv-From: x", "Kv-Fetch: y",
		"X-Gypsumbank-Expect-Version: 7", "X-Gypsumbank-Request-Priority: 0", "X-Gypsumbank-Expect-Instance: other",
		"X-Gypsumbank-Deadline-Ms: 1500", "Connection: keep-alive, X-Hop", "X-Hop: 1", "X-Custom: kept"))
	if err != nil {
		t.Fatal(err)
	}
	header := d.engineTarget.Requests()[0].Header
	for _, name := range []string{"X-Gypsumbank-Hold", "X-Gypsumbank-Pin-Ms", "X-Gypsumbank-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Gypsumbank-Expect-Version", "X-Hop"} {
		if header.Get(name) != "" {
			t.Errorf("header %s was forwarded to the target", name)
		}
	}
	wantHeaders := map[string]string{
		"X-Gypsumbank-Model": "m1", "X-Gypsumbank-Token-Usage": "10,5", "X-Gypsumbank-Prompt-Prefix": "aa:4,bb:6",
		"X-Custom": "kept", "X-Gypsumbank-Request-Id": "r1", "X-Gypsumbank-Expect-Instance": "e1", "X-Gypsumbank-Request-Priority": "1",
	}
	for name, want := range wantHeaders {
		if header.Get(name) != want {
			t.Errorf("header %s = %q, want %q", name, header.Get(name), want)
		}
	}
	if deadlineMs := header.Get("X-Gypsumbank-Deadline-Ms"); deadlineMs > "1500" || len(deadlineMs) != 4 {
		t.Errorf("X-Gypsumbank-Deadline-Ms = %s, want four digits and at most 1500", deadlineMs)
	}
}

// TestInvalidResponses has a target send incomplete, invalid and unusual responses. None that is incomplete or invalid may
// reach the caller as a complete response.
func TestInvalidResponses(t *testing.T) {
	rawScript := func(text string) site.Handler {
		return site.RawResponse(false, func(conn net.Conn, identity string) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", identity))
		})
	}
	tests := map[string]struct {
		script     site.Handler
		wantStatus int // 0 if the connection to the caller must break
	}{
		"incomplete body":                     {rawScript("HTTP/1.1 200 OK\r\n{id}Content-Length: 10\r\n\r\nabc"), 0},
		"incomplete chunk":                    {rawScript("HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n5\r\nab"), 0},
		"no final chunk":                      {rawScript("HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), 0},
		"incomplete header":                   {rawScript("HTTP/1.1 200 OK\r\n{id}Content-Le"), 502},
		"empty response":                      {rawScript(""), 502},
		"not an HTTP response":                {rawScript("this is no answer\r\n\r\n"), 502},
		"no response stamp":                   {rawScript("HTTP/1.1 200 OK\r\nX-Gypsumbank-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"), 502},
		"content encoding":                    {rawScript("HTTP/1.1 200 OK\r\n{id}Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"), 502},
		"response to another request":         {rawScript("HTTP/1.1 200 OK\r\nX-Gypsumbank-Request-Id: other\r\nX-Gypsumbank-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nno"), 502},
		"server error":                        {site.TextResponse(500, "broken"), 500},
		"no content length":                   {rawScript("HTTP/1.1 200 OK\r\n{id}\r\nok"), 200},
		"late response to an earlier request": {rawScript("HTTP/1.1 200 OK\r\nX-Gypsumbank-Request-Id: r0\r\nX-Gypsumbank-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\n{id}Content-Length: 2\r\n\r\nok"), 200},
	}
	d := newDeployment(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d.plainTarget.SetHandler(test.script)
			response, body, err := d.roundTrip(postRequest("sale"))
			switch {
			case test.wantStatus == 0:
				if err == nil {
					t.Errorf("an incomplete response reached the caller as complete: %q", body)
				}
			case err != nil:
				t.Errorf("no response: %v", err)
			case response.StatusCode != test.wantStatus:
				t.Errorf("status %d, want %d", response.StatusCode, test.wantStatus)
			case test.wantStatus == 200 && body != "ok":
				t.Errorf("body %q, want ok", body)
			case test.wantStatus == 502 && response.Header.Get("X-Gypsumbank-Response-Stamp") != "":
				t.Error("the gateway's own error response has a response stamp")
			}
		})
	}
}

// TestExtraResponseIsDropped has a target send a second, unrequested response on a connection that is then reused. It must
// not reach the caller of the next request.
func TestExtraResponseIsDropped(t *testing.T) {
	d := newDeployment(t)
	d.plainTarget.SetHandler(func(conn net.Conn, seen *site.ReceivedRequest) bool {
		keepOpen := site.TextResponse(200, "first")(conn, seen)
		time.Sleep(20 * time.Millisecond)
		return site.TextResponse(200, "extra")(conn, seen) && keepOpen
	})
	for range 5 {
		if _, body, err := d.roundTrip(postRequest("a")); err != nil || body != "first" {
			t.Fatalf("response body %q, %v; want first", body, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestResponseBeforeLongBodyIsRead has a target respond before it has read the body and keep the connection open. The next
// request must not be sent on it before the whole body, or the target would read the request as part of the body.
func TestResponseBeforeLongBodyIsRead(t *testing.T) {
	d := newDeployment(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	afterResponse := make(chan string, 1)
	head := make([]byte, 512)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(head)
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nX-Gypsumbank-Request-Id: r1\r\nX-Gypsumbank-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nno")
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		rest, _ := io.ReadAll(conn)
		afterResponse <- string(rest)
	}()
	entry := d.plainTarget.RegistryEntry("plain", "ready")
	entry["address"] = listener.Addr().String()
	d.store.Put("servers", "p1", entry)
	time.Sleep(1200 * time.Millisecond)
	response, _, err := d.roundTrip(postRequest(strings.Repeat("z", 1<<20)))
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("response %v, %v; want 413", response, err)
	}
	_, _, _ = d.roundTrip(postRequest("next")) // may use the same connection
	rest := <-afterResponse
	next := strings.Index(rest, "POST")
	if body := strings.Count(rest, "z"); next >= 0 && body < 1<<20-len(head) {
		t.Errorf("the next request was sent after %d bytes of the unfinished body", body)
	}
}

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	d := newDeployment(t)
	for _, path := range []string{"/stream/a", "/resume/a"} {
		d.engineTarget.SetHandler(site.EventStream(4, 200*time.Millisecond, 0))
		conn, reader := d.dial()
		start := time.Now()
		if _, err := io.WriteString(conn, getRequest(path, m1Header)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 21)
		if _, err := io.ReadFull(response.Body, first); err != nil {
			t.Fatal(err)
		}
		if elapsed := time.Since(start); elapsed > 150*time.Millisecond {
			t.Errorf("%s: the first event took %s, want at most 150ms", path, elapsed)
		}
		rest, err := io.ReadAll(response.Body)
		if err != nil || !strings.HasSuffix(string(rest), "token-4\n\n") {
			t.Errorf("%s: rest of the stream %q, %v; want it to end with token-4", path, rest, err)
		}
	}
}

func TestBrokenStream(t *testing.T) {
	tests := map[string]struct {
		path      string
		wantWhole bool
	}{
		"resumable":     {"/resume/a", true},
		"not resumable": {"/stream/a", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			second := site.NewTarget("e2", site.EventStream(5, 0, 2))
			defer second.Close()
			second.Load("m1")
			d.engineTarget.SetHandler(site.EventStream(5, 0, 2))
			d.store.Put("servers", "e2", second.RegistryEntry("engine", "ready"))
			time.Sleep(1200 * time.Millisecond)
			_, body, err := d.roundTrip(getRequest(test.path, m1Header))
			if test.wantWhole != (err == nil) {
				t.Fatalf("body %q, error %v", body, err)
			}
			runs := len(d.engineTarget.Requests()) + len(second.Requests())
			if want := map[bool]int{true: 2, false: 1}[test.wantWhole]; runs != want {
				t.Errorf("%d targets ran the request, want %d", runs, want)
			}
			if !test.wantWhole {
				return
			}
			want := "id: 1\ndata: token-1\n\nid: 2\ndata: token-2\n\nid: 3\ndata: token-3\n\nid: 4\ndata: token-4\n\n"
			if !strings.HasPrefix(body, want) || strings.Contains(body, "hal") {
				t.Errorf("events %q, want 1 to 4 once each and no part of an event", body)
			}
		})
	}
}

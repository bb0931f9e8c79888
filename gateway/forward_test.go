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
	chunked := "POST /unsafe/x HTTP/1.1\r\nHost: " + host + "\r\nX-Gypsumbank-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	tests := map[string]struct {
		request string
		line    string
		body    string
	}{
		"plain":                 {get("/safe/a"), "GET /safe/a HTTP/1.1", ""},
		"query":                 {get("/safe/a?b=c&d=%20+e&&"), "GET /safe/a?b=c&d=%20+e&& HTTP/1.1", ""},
		"dots and slashes":      {get("/safe/a/../b//c/./%2e%2E/%2f"), "GET /safe/a/../b//c/./%2e%2E/%2f HTTP/1.1", ""},
		"empty query":           {get("/safe/a?"), "GET /safe/a? HTTP/1.1", ""},
		"body":                  {post("a\x00b\r\n\r\nc"), "POST /unsafe/x HTTP/1.1", "a\x00b\r\n\r\nc"},
		"empty body":            {post(""), "POST /unsafe/x HTTP/1.1", ""},
		"chunks":                {chunked, "POST /unsafe/x HTTP/1.1", "abcde"},
		"request within a body": {post(get("/safe/smuggled")), "POST /unsafe/x HTTP/1.1", get("/safe/smuggled")},
	}
	d := deploy(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := len(d.plain.Seen())
			response, body, err := d.ask(test.request)
			if err != nil || response.StatusCode != http.StatusOK || body != "ok" {
				t.Fatalf("answer %v %q, %v", response, body, err)
			}
			seen := d.plain.Seen()[before:]
			if len(seen) != 1 {
				t.Fatalf("%d requests arrived, want 1", len(seen))
			}
			if seen[0].Line != test.line || string(seen[0].Body) != test.body {
				t.Errorf("arrived as %q with body %q", seen[0].Line, seen[0].Body)
			}
		})
	}
}

func TestHeadersOfTheSystemAreNeverTakenFromCallers(t *testing.T) {
	d := deploy(t)
	_, _, err := d.ask(get("/stream/a", modelHeader, "X-Gypsumbank-Token-Usage: 10,5", "X-Gypsumbank-Prompt-Prefix: aa:4,bb:6",
		"X-Gypsumbank-Hold: h", "X-Gypsumbank-Pin-Ms: 9", "X-Gypsumbank-Kv-Backup: 1.2.3.4:5", "Kv-From: x", "Kv-Fetch: y",
		"X-Gypsumbank-Expect-Version: 7", "X-Gypsumbank-Request-Priority: 0", "X-Gypsumbank-Expect-Instance: other",
		"X-Gypsumbank-Deadline-Ms: 1500", "Connection: keep-alive, X-Hop", "X-Hop: 1", "X-Custom: kept"))
	if err != nil {
		t.Fatal(err)
	}
	header := d.engine.Seen()[0].Header
	for _, name := range []string{"X-Gypsumbank-Hold", "X-Gypsumbank-Pin-Ms", "X-Gypsumbank-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Gypsumbank-Expect-Version", "X-Hop"} {
		if header.Get(name) != "" {
			t.Errorf("%s was passed on", name)
		}
	}
	want := map[string]string{
		"X-Gypsumbank-Model": "m1", "X-Gypsumbank-Token-Usage": "10,5", "X-Gypsumbank-Prompt-Prefix": "aa:4,bb:6",
		"X-Custom": "kept", "X-Gypsumbank-Request-Id": "r1", "X-Gypsumbank-Expect-Instance": "e1", "X-Gypsumbank-Request-Priority": "1",
	}
	for name, value := range want {
		if header.Get(name) != value {
			t.Errorf("%s = %q, want %q", name, header.Get(name), value)
		}
	}
	if left := header.Get("X-Gypsumbank-Deadline-Ms"); left > "1500" || len(left) != 4 {
		t.Errorf("time left %s, want at most 1500", left)
	}
}

// TestSpoiledAnswers has a target spoil its answer in each way; none may reach the caller as whole.
func TestSpoiledAnswers(t *testing.T) {
	raw := func(text string) site.Script {
		return site.Raw(false, func(conn net.Conn, identity string) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", identity))
		})
	}
	tests := map[string]struct {
		script site.Script
		status int // 0 for a connection that breaks
	}{
		"cut in the body":     {raw("HTTP/1.1 200 OK\r\n{id}Content-Length: 10\r\n\r\nabc"), 0},
		"cut in a chunk":      {raw("HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n5\r\nab"), 0},
		"cut before the end":  {raw("HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), 0},
		"cut in the head":     {raw("HTTP/1.1 200 OK\r\n{id}Content-Le"), 502},
		"no bytes":            {raw(""), 502},
		"no answer":           {raw("this is no answer\r\n\r\n"), 502},
		"unsigned":            {raw("HTTP/1.1 200 OK\r\nX-Gypsumbank-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"), 502},
		"encoded":             {raw("HTTP/1.1 200 OK\r\n{id}Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"), 502},
		"of another request":  {raw("HTTP/1.1 200 OK\r\nX-Gypsumbank-Request-Id: other\r\nX-Gypsumbank-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nno"), 502},
		"failure of its own":  {site.Text(500, "broken"), 500},
		"without a length":    {raw("HTTP/1.1 200 OK\r\n{id}\r\nok"), 200},
		"extra answer before": {raw("HTTP/1.1 200 OK\r\nX-Gypsumbank-Request-Id: r0\r\nX-Gypsumbank-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\n{id}Content-Length: 2\r\n\r\nok"), 200},
	}
	d := deploy(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d.plain.SetScript(test.script)
			response, body, err := d.ask(post("sale"))
			switch {
			case test.status == 0:
				if err == nil {
					t.Errorf("a cut answer looks whole: %q", body)
				}
			case err != nil:
				t.Errorf("no answer: %v", err)
			case response.StatusCode != test.status:
				t.Errorf("status %d, want %d", response.StatusCode, test.status)
			case test.status == 200 && body != "ok":
				t.Errorf("body %q", body)
			case test.status == 502 && response.Header.Get("X-Gypsumbank-Response-Stamp") != "":
				t.Error("an answer of the gateway is signed")
			}
		})
	}
}

// TestExtraAnswerReachesNobody has a target send a second answer on a connection that is then used again.
func TestExtraAnswerReachesNobody(t *testing.T) {
	d := deploy(t)
	d.plain.SetScript(func(conn net.Conn, seen *site.Seen) bool {
		keep := site.Text(200, "first")(conn, seen)
		time.Sleep(20 * time.Millisecond)
		return site.Text(200, "extra")(conn, seen) && keep
	})
	for range 5 {
		if _, body, err := d.ask(post("a")); err != nil || body != "first" {
			t.Fatalf("answer %q, %v", body, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestEarlyAnswerToALongBody has a target answer before it has read the body and keep the connection.
func TestEarlyAnswerToALongBody(t *testing.T) {
	d := deploy(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	second := make(chan string, 1)
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
		second <- string(rest)
	}()
	entry := d.plain.Entry("plain", "ready")
	entry["address"] = listener.Addr().String()
	d.store.Put("servers", "p1", entry)
	time.Sleep(1200 * time.Millisecond)
	response, _, err := d.ask(post(strings.Repeat("z", 1<<20)))
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("answer %v, %v", response, err)
	}
	_, _, _ = d.ask(post("next")) // may use the same connection
	rest := <-second
	next := strings.Index(rest, "POST")
	if body := strings.Count(rest, "z"); next >= 0 && body < 1<<20-len(head) {
		t.Errorf("the next request was sent after %d bytes of the body", body)
	}
}

func TestEventsArePassedOnAsTheyArrive(t *testing.T) {
	d := deploy(t)
	for _, path := range []string{"/stream/a", "/resume/a"} {
		d.engine.SetScript(site.Stream(4, 200*time.Millisecond, 0))
		conn, reader := d.dial()
		begun := time.Now()
		if _, err := io.WriteString(conn, get(path, modelHeader)); err != nil {
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
		if took := time.Since(begun); took > 150*time.Millisecond {
			t.Errorf("%s: the first event took %s", path, took)
		}
		rest, err := io.ReadAll(response.Body)
		if err != nil || !strings.HasSuffix(string(rest), "token-4\n\n") {
			t.Errorf("%s: rest %q, %v", path, rest, err)
		}
	}
}

func TestBrokenStream(t *testing.T) {
	tests := map[string]struct {
		path  string
		whole bool
	}{
		"resumable":     {"/resume/a", true},
		"not resumable": {"/stream/a", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			second := site.NewTarget("e2", site.Stream(5, 0, 2))
			defer second.Close()
			second.Load("m1")
			d.engine.SetScript(site.Stream(5, 0, 2))
			d.store.Put("servers", "e2", second.Entry("engine", "ready"))
			time.Sleep(1200 * time.Millisecond)
			_, body, err := d.ask(get(test.path, modelHeader))
			if test.whole != (err == nil) {
				t.Fatalf("body %q, %v", body, err)
			}
			arrived := len(d.engine.Seen()) + len(second.Seen())
			if want := map[bool]int{true: 2, false: 1}[test.whole]; arrived != want {
				t.Errorf("%d targets ran the request, want %d", arrived, want)
			}
			if !test.whole {
				return
			}
			want := "id: 1\ndata: token-1\n\nid: 2\ndata: token-2\n\nid: 3\ndata: token-3\n\nid: 4\ndata: token-4\n\n"
			if !strings.HasPrefix(body, want) || strings.Contains(body, "hal") {
				t.Errorf("events %q", body)
			}
		})
	}
}

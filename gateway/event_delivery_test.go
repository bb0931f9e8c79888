package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/settings"
	"gypsumbank/standin/site"
)

// openStream sends a request for a stream and returns its connection and the reader of the body once the head has been read.
func (d *testDeployment) openStream(rawRequest string) (net.Conn, *http.Response) {
	d.t.Helper()
	conn, reader := d.dial()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, rawRequest); err != nil {
		d.t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	return conn, response
}

// readCounter counts the reads of a connection that returned bytes.
type readCounter struct {
	io.Reader
	reads int
}

// Read implements io.Reader.
func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if n > 0 {
		c.reads++
	}
	return n, err
}

// TestEventsAreWrittenTogether has a caller count its reads for a stream of 60 events 10 ms apart. It guards against events that are written alone in spite of
// the setting, and against lost, repeated or reordered bytes. Without the setting each event is sent once the caller has read the one before, so
// that a busy machine does not join them.
func TestEventsAreWrittenTogether(t *testing.T) {
	const count, apart, bound = 60, 10 * time.Millisecond, 200 * time.Millisecond
	const hold = bound / 2
	run := func(t *testing.T, bound time.Duration) (reads int, took time.Duration) {
		d := newStreamDeployment(t, bound)
		received := make(chan struct{}, count)
		d.engineTarget.SetHandler(site.RawResponse(false, func(conn net.Conn, identity string) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead, "{id}", identity))
			for id := 1; id <= count; id++ {
				_, _ = io.WriteString(conn, chunked(events(id, id)))
				if bound == 0 {
					select {
					case <-received:
					case <-time.After(5 * time.Second):
					}
				}
				time.Sleep(apart)
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}))
		conn, _ := d.dial()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.WriteString(conn, getRequest("/stream/a", m1Header)); err != nil {
			t.Fatal(err)
		}
		counter := &readCounter{Reader: conn}
		response, err := http.ReadResponse(bufio.NewReaderSize(counter, 64<<10), nil)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		var body strings.Builder
		lines := bufio.NewReader(response.Body)
		for err == nil {
			var line string
			line, err = lines.ReadString('\n')
			body.WriteString(line)
			if line == "\n" {
				received <- struct{}{}
			}
		}
		if !errors.Is(err, io.EOF) || body.String() != events(1, count) {
			t.Errorf("body %q, %v; want %d events", body.String(), err, count)
		}
		return counter.reads, time.Since(began)
	}
	t.Run("each as it arrives", func(t *testing.T) {
		if reads, _ := run(t, 0); reads < count {
			t.Errorf("the caller read %d times for %d events, want once for each at least", reads, count)
		}
	})
	t.Run("together", func(t *testing.T) {
		reads, took := run(t, bound)
		t.Logf("the caller read %d times for %d events in %s", reads, count, took)
		// The first event, the last and the end of the answer, and one write at each hold time: a dozen, unless the machine takes six seconds.
		if most := 4 + int(took/hold); reads > most {
			t.Errorf("the caller read %d times for %d events in %s, want %d times at most", reads, count, took, most)
		}
	})
}

// TestSilentTargetsEventsReachTheirCaller has a target go on only once the caller has read the events before. It guards against events that are held
// until the target's next one.
func TestSilentTargetsEventsReachTheirCaller(t *testing.T) {
	requests := map[string]string{
		"not resumable": getRequest("/stream/a", m1Header),
		"resumable":     getRequest("/resume/a", m1Header),
		"HTTP/1.0":      strings.Replace(getRequest("/stream/a", m1Header), "HTTP/1.1", "HTTP/1.0", 1),
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			d := newStreamDeployment(t, 400*time.Millisecond)
			goOn := make(chan struct{})
			d.engineTarget.SetHandler(site.RawResponse(false, func(conn net.Conn, identity string) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead, "{id}", identity))
				for _, part := range []string{events(1, 1), events(2, 2) + events(3, 3), events(4, 4)} {
					_, _ = io.WriteString(conn, chunked(part))
					select {
					case <-goOn:
					case <-time.After(5 * time.Second):
						t.Error("the caller has not got the events of a silent target")
					}
				}
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}))
			_, response := d.openStream(request)
			for _, want := range []string{events(1, 1), events(2, 3), events(4, 4)} {
				got := make([]byte, len(want))
				if _, err := io.ReadFull(response.Body, got); err != nil || string(got) != want {
					t.Fatalf("events %q, %v; want %q", got, err, want)
				}
				goOn <- struct{}{}
			}
			if rest, err := io.ReadAll(response.Body); err != nil || len(rest) > 0 {
				t.Errorf("rest %q, %v; want the end", rest, err)
			}
		})
	}
}

// writeFirstAlone writes an answer up to the end of its first event, and the rest a little later, so that the gateway does not read both at once: what
// arrives with the first event is not held.
func writeFirstAlone(conn net.Conn, answer string) {
	end := strings.Index(answer, events(1, 1)) + len(events(1, 1))
	_, _ = io.WriteString(conn, answer[:end])
	time.Sleep(30 * time.Millisecond)
	_, _ = io.WriteString(conn, answer[end:])
}

// TestHeldEventsPrecedeTheEnd has a target end its stream in different ways while events are held. It guards against held events that are lost, and
// against streams that look whole though they are not. The hold time is longer than the test, or 0: the caller gets the same with both.
func TestHeldEventsPrecedeTheEnd(t *testing.T) {
	const half = "id: 4\nda"
	all := chunked(events(1, 1)) + chunked(events(2, 3))
	cases := map[string]struct {
		path      string
		answer    string
		wantBody  string
		wantWhole bool
		silent    bool // the target is silent until the route's timeout
	}{
		"in order":                      {path: "/stream/a", answer: streamHead + all + "0\r\n\r\n", wantBody: events(1, 3), wantWhole: true},
		"broken off":                    {path: "/stream/a", answer: streamHead + all, wantBody: events(1, 3)},
		"broken off in an event":        {path: "/stream/a", answer: streamHead + all + chunked(half), wantBody: events(1, 3) + half},
		"resumable, broken off":         {path: "/resume/a", answer: streamHead + all, wantBody: events(1, 3)},
		"resumable, in an event":        {path: "/resume/a", answer: streamHead + all + chunked(half), wantBody: events(1, 3)},
		"not the stream's next event":   {path: "/resume/a", answer: streamHead + all + chunked(events(1, 1)), wantBody: events(1, 3)},
		"silent up to the time's end":   {path: "/stream/a", answer: streamHead + all, wantBody: events(1, 3), silent: true},
		"with its connection, in order": {path: "/stream/a", answer: strings.Replace(streamHead, "Transfer-Encoding: chunked", "X-None: 1", 1) + events(1, 3), wantBody: events(1, 3), wantWhole: true},
		"a length":                      {path: "/stream/a", answer: strings.Replace(streamHead, "Transfer-Encoding: chunked", fmt.Sprint("Content-Length: ", len(events(1, 3))), 1) + events(1, 3), wantBody: events(1, 3), wantWhole: true},
		"a length, broken off":          {path: "/stream/a", answer: strings.Replace(streamHead, "Transfer-Encoding: chunked", "Content-Length: 1000", 1) + events(1, 3)},
	}
	for name, c := range cases {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, bound := range []time.Duration{0, time.Hour} {
				t.Run(fmt.Sprint(name, ", ", protocol, ", ", bound), func(t *testing.T) {
					d := newStreamDeployment(t, bound)
					d.engineTarget.SetHandler(site.RawResponse(false, func(conn net.Conn, identity string) {
						writeFirstAlone(conn, strings.ReplaceAll(c.answer, "{id}", identity))
						if c.silent {
							_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
							_, _ = conn.Read(make([]byte, 1))
						}
					}))
					_, body, err := d.roundTrip(strings.Replace(getRequest(c.path, m1Header), "HTTP/1.1", protocol, 1))
					if body != c.wantBody || (err == nil) != c.wantWhole {
						t.Errorf("body %q, %v; want %q, whole %v", body, err, c.wantBody, c.wantWhole)
					}
				})
			}
		}
	}
}

// TestStreamOfACallerThatLeavesWithHeldEventsEnds guards against targets that go on with a stream whose caller has gone while events are held.
func TestStreamOfACallerThatLeavesWithHeldEventsEnds(t *testing.T) {
	for _, bound := range []time.Duration{200 * time.Millisecond, time.Hour} {
		t.Run(bound.String(), func(t *testing.T) {
			d := newStreamDeployment(t, bound)
			ended := make(chan bool, 1)
			d.engineTarget.SetHandler(site.RawResponse(false, func(conn net.Conn, identity string) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead, "{id}", identity)+chunked(events(1, 1)))
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(conn, chunked(events(2, 2)))
				_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
				_, err := conn.Read(make([]byte, 1))
				ended <- !isTimeout(err)
			}))
			conn, response := d.openStream(getRequest("/stream/a", m1Header))
			if _, err := io.ReadFull(response.Body, make([]byte, len(events(1, 1)))); err != nil {
				t.Fatal(err)
			}
			conn.Close()
			if !<-ended {
				t.Error("the target's stream goes on")
			}
		})
	}
}

// TestHeldEventsAreNotRepeatedByACopy breaks off a stream with a copy while events are held, at some places within and between events. It guards
// against events that are lost, as they were held when the engine ended, or come twice, from both engines.
func TestHeldEventsAreNotRepeatedByACopy(t *testing.T) {
	t.Parallel()
	const count = 6
	whole := ""
	for id := 1; id <= count; id++ {
		whole += chunked(events(id, id))
	}
	place := func(id int) int { return strings.Index(whole, events(id, id)) }
	cuts := map[string]int{"after the first": place(2) - 4, "in the second": place(2) + 3, "after the third": place(4) - 4, "in the fifth": place(5) + 10}
	host := 224
	for _, bound := range []time.Duration{200 * time.Millisecond, time.Hour} {
		for name, bytes := range cuts {
			at := host
			host += 2
			t.Run(fmt.Sprint(bound, " ", name), func(t *testing.T) {
				t.Parallel()
				first := site.RawResponse(false, func(conn net.Conn, identity string) {
					writeFirstAlone(conn, strings.ReplaceAll(streamHead, "{id}", identity)+whole[:bytes])
				})
				g := newCopyGroupWith(t, at, firstThen(first, site.EventStream(count, 5*time.Millisecond, 0)), nil, func(config *settings.Config) {
					config.Bounds.EventDelivery = bound
				})
				got, id := g.callCopied("r")
				if got.err != nil || got.body != events(1, count) {
					t.Errorf("body %q, %v\n%s", got.body, got.err, g.why())
				}
				if n := g.countRequests(id); n != 2 {
					t.Errorf("engines got %d requests, want 2", n)
				}
			})
		}
	}
}

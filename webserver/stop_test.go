package webserver_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"gypsumbank/link"
	"gypsumbank/standin/caller"
	"gypsumbank/webserver"
)

const (
	getRequest  = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	postHead    = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
	postRequest = postHead + "body"
)

// countingServer is a server that answers each request with its body.
type countingServer struct {
	*webserver.Server
	ran atomic.Int64 // requests
}

// startServer starts a server and returns it with its address.
func startServer(t *testing.T, limits *fasthttp.Server) (*countingServer, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &countingServer{}
	limits.Handler = func(ctx *fasthttp.RequestCtx) {
		server.ran.Add(1)
		ctx.SetBody(ctx.PostBody())
	}
	server.Server = webserver.New(limits)
	server.Start(listener)
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

// dial opens connections, on each of which one request has been served if used.
func dial(t *testing.T, address string, count int, used bool) []*caller.Conn {
	t.Helper()
	conns := make([]*caller.Conn, count)
	for i := range conns {
		conn, err := caller.New(address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(conn.Close)
		conns[i] = conn
		if used {
			conn.Send(getRequest)
		}
	}
	for _, conn := range conns {
		if !used {
			break
		}
		if status, _, err := conn.Answer(); status != http.StatusOK {
			t.Fatalf("first request: status %d, %v", status, err)
		}
	}
	return conns
}

// tally counts the ends of requests.
type tally struct {
	mu                             sync.Mutex
	answered, unread, lost, others int
}

func (c *tally) add(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.answered++
	case errors.Is(err, caller.ErrUnread):
		c.unread++
	case errors.Is(err, caller.ErrLost):
		c.lost++
	default:
		c.others++
	}
}

// merge adds the counts of other.
func (c *tally) merge(other *tally) {
	c.answered += other.answered
	c.unread += other.unread
	c.lost += other.lost
	c.others += other.others
}

func (c *tally) String() string {
	return fmt.Sprintf("%d answered, %d closed unread, %d read and lost, %d with no end", c.answered, c.unread, c.lost, c.others)
}

// sendSpread sends a request on each connection, spread evenly over the time, and returns how they ended.
func sendSpread(conns []*caller.Conn, request string, over time.Duration) *tally {
	result := &tally{}
	var group sync.WaitGroup
	began := time.Now()
	for i, conn := range conns {
		sendAt := began.Add(over * time.Duration(i) / time.Duration(len(conns)))
		group.Go(func() {
			time.Sleep(time.Until(sendAt))
			conn.Send(request)
			_, _, err := conn.Answer()
			result.add(err)
		})
	}
	group.Wait()
	return result
}

// TestShutdownAnswersWhatItHasRead sweeps the moment of a request over that at which a shutdown closes its idle connection.
func TestShutdownAnswersWhatItHasRead(t *testing.T) {
	const (
		conns    = 400
		stopIdle = 500 * time.Millisecond // after which a shutdown closes a connection
	)
	cases := map[string]struct {
		rounds int
		idle   time.Duration // from the last use of the connections to the shutdown
		from   time.Duration // the first request, from the shutdown
		spread time.Duration // from the first request to the last
		delay  time.Duration // each way
	}{
		"connections just used":        {5, 0, -10 * time.Millisecond, 20 * time.Millisecond, 0},
		"connections long idle":        {5, 2 * stopIdle, -10 * time.Millisecond, 20 * time.Millisecond, 0},
		"long idle, closely":           {5, 2 * stopIdle, -time.Millisecond, 4 * time.Millisecond, 0},
		"the whole stop":               {3, 0, -stopIdle, 3 * stopIdle, 0},
		"the whole stop, callers afar": {3, 0, -stopIdle, 3 * stopIdle, 75 * time.Millisecond},
		"callers afar, long idle":      {3, 2 * stopIdle, -85 * time.Millisecond, 20 * time.Millisecond, 75 * time.Millisecond},
		"callers afar, just used":      {3, 0, -stopIdle / 2, stopIdle * 3 / 2, 75 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			total := &tally{}
			for range test.rounds {
				server, address := startServer(t, &fasthttp.Server{})
				target, err := link.New(address)
				if err != nil {
					t.Fatal(err)
				}
				target.SetDelay(test.delay)
				if test.delay > 0 {
					address = target.Address()
				}
				callers := dial(t, address, conns, true)
				ranBefore := server.ran.Load()
				time.Sleep(test.idle)
				stopped := make(chan error, 1)
				go func() {
					time.Sleep(max(0, -test.from))
					stopped <- server.Shutdown(t.Context())
				}()
				time.Sleep(max(0, test.from))
				result := sendSpread(callers, postRequest, test.spread)
				if err := <-stopped; err != nil {
					t.Error(err)
				}
				if ran := server.ran.Load() - ranBefore; ran != int64(result.answered) {
					t.Errorf("%d requests ran and %d were answered", ran, result.answered)
				}
				for _, conn := range callers {
					conn.Close()
				}
				target.Close()
				total.merge(result)
			}
			if test.delay > 0 { // a caller's connection ends at the link, which has read what the server has not
				total.unread, total.lost = total.unread+total.lost, 0
			}
			t.Log(total)
			if total.lost > 0 || total.others > 0 || total.answered == 0 {
				t.Errorf("%s; want none lost", total)
			}
		})
	}
}

// TestShutdownAnswersBegunRequests ends a shutdown while requests are still coming in.
func TestShutdownAnswersBegunRequests(t *testing.T) {
	const wait = 200 * time.Millisecond
	cases := map[string]string{
		"one byte":     postRequest[:1],
		"half a head":  postRequest[:20],
		"head":         postHead,
		"half a body":  postRequest[:len(postRequest)-2],
		"long body":    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 500000),
		"chunked body": "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	}
	for name, sent := range cases {
		for kind, used := range map[string]bool{"first request": false, "later request": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				server, address := startServer(t, &fasthttp.Server{ReadTimeout: time.Minute, IdleTimeout: time.Minute})
				conn := dial(t, address, 1, used)[0]
				conn.Send(sent)
				time.Sleep(wait)
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- server.Shutdown(ctx) }()
				status, last, err := conn.Answer()
				if err != nil || status < http.StatusBadRequest || !last {
					t.Errorf("status %d, last %v, error %v; want a refusal with Connection: close", status, last, err)
				}
				<-stopped
			})
		}
	}
}

// TestRefusalReachesACallerThatStillSends refuses requests of which the rest is on its way.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	const (
		limit  = 1000
		rounds = 20
	)
	cases := map[string]struct {
		head     string
		rest     string
		restWait time.Duration
		status   int
	}{
		"body too large, all at once":   {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("x", 100000), 0, http.StatusBadRequest},
		"body too large, sent on":       {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("x", 100000), time.Millisecond, http.StatusBadRequest},
		"body too large, from far":      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("x", 100000), 75 * time.Millisecond, http.StatusBadRequest},
		"body too late":                 {postHead, "body", 120 * time.Millisecond, http.StatusRequestTimeout},
		"head that is no head, sent on": {"no head\r\n\r\n", strings.Repeat("x", 100000), time.Millisecond, http.StatusBadRequest},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, address := startServer(t, &fasthttp.Server{MaxRequestBodySize: limit, ReadTimeout: 100 * time.Millisecond})
			for range rounds {
				conn := dial(t, address, 1, false)[0]
				conn.Send(test.head)
				time.Sleep(test.restWait)
				conn.Send(test.rest)
				time.Sleep(5 * time.Millisecond) // for a reset to arrive first
				if status, _, err := conn.Answer(); status != test.status {
					t.Errorf("status %d, error %v; want %d", status, err, test.status)
				}
			}
		})
	}
}

// TestIdleTimeoutAnswersWhatItHasRead sweeps the moment of a request over that at which the idle timeout closes its connection.
func TestIdleTimeoutAnswersWhatItHasRead(t *testing.T) {
	const (
		conns   = 1000
		timeout = 300 * time.Millisecond
		spread  = 20 * time.Millisecond
	)
	_, address := startServer(t, &fasthttp.Server{IdleTimeout: timeout, ReadTimeout: time.Second})
	callers := dial(t, address, conns, false)
	first := time.Now()
	var group sync.WaitGroup
	for _, conn := range callers {
		conn.Send(getRequest)
	}
	for _, conn := range callers {
		group.Go(func() { _, _, _ = conn.Answer() })
	}
	group.Wait()
	time.Sleep(time.Until(first.Add(timeout - spread/2)))
	result := sendSpread(callers, postRequest, spread+time.Since(first)-timeout+spread/2)
	t.Log(result)
	if result.lost > 0 || result.others > 0 {
		t.Errorf("%s; want none lost", result)
	}
}

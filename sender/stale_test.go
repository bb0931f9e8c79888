package sender_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/connpool"
	"gypsumbank/sender"
)

// doubtful lets a request be sent on an idle connection after a validation only.
var doubtful = connpool.Reuse{MaxIdle: time.Minute}

// onReuse is what a target does with the second request of a connection.
type onReuse int

const (
	serveReuse   onReuse = iota
	resetOnByte          // as a target does that has dropped the idle connection without notice
	endOnByte            // ends the connection in order once the request begins
	answerOnByte         // answers once the request begins, as if to it, and then goes on reading
	stayMute             // reads nothing more, as a target whose VM is frozen
)

// reuseTarget serves the first request of each connection and treats the second as told.
type reuseTarget struct {
	listener net.Listener
	onReuse  onReuse
	mu       sync.Mutex
	conns    int
	bodies   []string // of the requests that were read whole
	second   string   // request as it came in on a reused connection, byte for byte
}

func startReuseTarget(t *testing.T, onReuse onReuse) *reuseTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	target := &reuseTarget{listener: listener, onReuse: onReuse}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.mu.Lock()
			target.conns++
			target.mu.Unlock()
			go target.serve(conn.(*net.TCPConn))
		}
	}()
	return target
}

func (r *reuseTarget) address() string { return r.listener.Addr().String() }

// counts returns the number of connections and the bodies of the requests that were read whole.
func (r *reuseTarget) counts() (int, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns, append([]string(nil), r.bodies...)
}

func (r *reuseTarget) serve(conn *net.TCPConn) {
	defer conn.Close()
	raw := &strings.Builder{}
	reader := bufio.NewReader(io.TeeReader(conn, raw))
	for n := 0; ; n++ {
		raw.Reset()
		if n == 1 && !r.beginReuse(conn, reader) {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.bodies = append(r.bodies, string(body))
		if n == 1 {
			r.second = raw.String()
		}
		r.mu.Unlock()
		if _, err := io.WriteString(conn, answer(request.Header.Get("Id"))); err != nil {
			return
		}
	}
}

// beginReuse treats the begin of a second request and reports whether it is to be served.
func (r *reuseTarget) beginReuse(conn *net.TCPConn, reader *bufio.Reader) bool {
	if r.onReuse == stayMute {
		time.Sleep(10 * time.Second)
		return false
	}
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	switch r.onReuse {
	case resetOnByte:
		_ = conn.SetLinger(0)
		return false
	case endOnByte:
		return false
	case answerOnByte:
		_, err := io.WriteString(conn, answer("2"))
		return err == nil
	default:
		return true
	}
}

// answer returns an answer to the request with the id.
func answer(id string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(id)) + "\r\n\r\n" + id
}

// newRequest returns a request that must not run twice.
func newRequest(id string) *sender.Request {
	return &sender.Request{
		Method: http.MethodPost, URI: "/x", Host: "target", Header: http.Header{"Id": {id}}, Body: []byte("body " + id),
		IDHeader: "Id", ID: id, Reuse: doubtful,
	}
}

// sendWhole sends a request and reads its answer.
func sendWhole(t *testing.T, s *sender.Sender, address, id string) sender.ConnectionUse {
	t.Helper()
	return sendRequest(t, s, address, newRequest(id))
}

// sendRequest sends a request, whose id is its answer, and reads that.
func sendRequest(t *testing.T, s *sender.Sender, address string, request *sender.Request) sender.ConnectionUse {
	t.Helper()
	id := request.ID
	response, err := s.Send(t.Context(), address, request)
	if err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != id {
		t.Errorf("request %s got %q, %v", id, body, err)
	}
	if state := response.WriteState(); state != sender.Written {
		t.Errorf("request %s is %s, want it written", id, state)
	}
	return response.Use
}

// warm returns a sender with an idle connection to the target that a request may begin on. A dial that takes long beside other tests is
// repeated, as a connection with such a round trip is not validated.
func warm(t *testing.T, target *reuseTarget) (*sender.Sender, int) {
	t.Helper()
	for range 20 {
		s := sender.New(connpool.New(connpool.Unlimited))
		sendWhole(t, s, target.address(), "1")
		if s.CanReuse(target.address(), doubtful) {
			conns, _ := target.counts()
			return s, conns
		}
	}
	t.Fatal("no connection was opened quickly enough to be validated")
	return nil, 0
}

// TestRequestOnAStaleConnectionRunsOnce guards against requests that are lost or run twice because the target no longer wants the idle
// connection they begin on. Each must run exactly once, on a new connection unless the idle one is sound.
func TestRequestOnAStaleConnectionRunsOnce(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		onReuse  onReuse
		newConns int
		use      sender.ConnectionUse
	}{
		"sound":              {onReuse: serveReuse, use: sender.Validated},
		"reset on a byte":    {onReuse: resetOnByte, newConns: 1},
		"ended on a byte":    {onReuse: endOnByte, newConns: 1},
		"answered on a byte": {onReuse: answerOnByte, newConns: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := startReuseTarget(t, test.onReuse)
			s, before := warm(t, target)
			_, warmed := target.counts()
			if use := sendWhole(t, s, target.address(), "2"); use != test.use {
				t.Errorf("connection was %s, want %s", use, test.use)
			}
			conns, bodies := target.counts()
			if conns-before != test.newConns {
				t.Errorf("%d new connections, want %d", conns-before, test.newConns)
			}
			if len(bodies) != len(warmed)+1 || bodies[len(bodies)-1] != "body 2" {
				t.Errorf("target has run %q after %q, want the request once", bodies, warmed)
			}
		})
	}
}

// TestValidatedRequestIsUnchanged guards against bytes that are lost, doubled or moved where a request is sent in two parts.
func TestValidatedRequestIsUnchanged(t *testing.T) {
	t.Parallel()
	target := startReuseTarget(t, serveReuse)
	s, _ := warm(t, target)
	sendWhole(t, s, target.address(), "2")
	target.mu.Lock()
	defer target.mu.Unlock()
	const want = "POST /x HTTP/1.1\r\nHost: target\r\nId: 2\r\nContent-Length: 6\r\n\r\nbody 2"
	if target.second != want {
		t.Errorf("target got %q, want %q", target.second, want)
	}
}

// TestCanceledValidationSendsNothing guards against a canceled request that counts as sent, or of which the target gets the rest, as it met a
// connection that is to be validated.
func TestCanceledValidationSendsNothing(t *testing.T) {
	t.Parallel()
	target := startReuseTarget(t, serveReuse)
	s, _ := warm(t, target)
	_, warmed := target.counts()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.Send(ctx, target.address(), newRequest("2")); !errors.Is(err, sender.ErrNotSent) || !errors.Is(err, context.Canceled) {
		t.Errorf("Send returned %v, want ErrNotSent as canceled", err)
	}
	time.Sleep(50 * time.Millisecond)
	if _, bodies := target.counts(); len(bodies) != len(warmed) {
		t.Errorf("target has run %q after %q, want nothing more", bodies, warmed)
	}
}

// TestSilentTargetGetsTheRequest guards against requests that wait for a sign of life of a target whose VM is frozen: the request is sent
// and its deadline applies.
func TestSilentTargetGetsTheRequest(t *testing.T) {
	t.Parallel()
	const deadline = 300 * time.Millisecond
	target := startReuseTarget(t, stayMute)
	s, _ := warm(t, target)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	if _, err := s.Send(ctx, target.address(), newRequest("2")); !errors.Is(err, sender.ErrNoUsableResponse) {
		t.Errorf("Send returned %v, want ErrNoUsableResponse", err)
	}
}

// TestStaleConnectionToALostTarget guards against a request that counts as sent though only its first bytes were, to a target that then
// accepts no connection.
func TestStaleConnectionToALostTarget(t *testing.T) {
	t.Parallel()
	target := startReuseTarget(t, resetOnByte)
	s, _ := warm(t, target)
	target.listener.Close()
	if _, err := s.Send(t.Context(), target.address(), newRequest("2")); !errors.Is(err, sender.ErrNotSent) {
		t.Errorf("Send returned %v, want ErrNotSent", err)
	}
}

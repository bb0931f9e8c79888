package keepalive

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/link"
)

// closeSweep is a server whose kept connections are closed while their callers send further requests.
type closeSweep struct {
	address string
	conns   *Conns

	mu   sync.Mutex
	read map[int]*sweptConn // by the number of the caller
}

// sweptConn counts the bytes that the server reads after the first request of its caller.
type sweptConn struct {
	*net.TCPConn
	sweep *closeSweep

	mu   sync.Mutex
	seen bool
	next int // bytes read after the first request
}

var firstRequest = regexp.MustCompile(`^GET /first/(\d+) `)

// Read implements net.Conn.
func (c *sweptConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen {
		c.next += n
		return n, err
	}
	if match := firstRequest.FindSubmatch(p[:n]); match != nil {
		caller, _ := strconv.Atoi(string(match[1]))
		c.seen = true
		c.sweep.mu.Lock()
		c.sweep.read[caller] = c
		c.sweep.mu.Unlock()
	}
	return n, err
}

// readOfNext returns how many bytes of its second request the server has read from a caller.
func (s *closeSweep) readOfNext(caller int) int {
	s.mu.Lock()
	conn := s.read[caller]
	s.mu.Unlock()
	if conn == nil {
		return 0
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.next
}

type sweptListener struct {
	net.Listener
	sweep *closeSweep
}

func (l sweptListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sweptConn{TCPConn: conn.(*net.TCPConn), sweep: l.sweep}, nil
}

// newCloseSweep starts a server that closes idle connections after idleTimeout, 0 for never, and passes no request on that it doesn't answer.
func newCloseSweep(t *testing.T, idleTimeout func() time.Duration) *closeSweep {
	s := &closeSweep{conns: New(idleTimeout, quietLog()), read: map[int]*sweptConn{}}
	server := &http.Server{
		ConnState: s.conns.TrackState, ErrorLog: log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "read %d", len(body))
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	swept := make(chan error, 1)
	go func() { swept <- s.conns.Run(ctx) }()
	go func() { _ = server.Serve(s.conns.Listener(sweptListener{listener, s})) }()
	t.Cleanup(func() {
		cancel()
		<-swept
		server.Close()
	})
	return s
}

var (
	errNoAnswer    = errors.New("no answer")
	errNotPrepared = errors.New("connection could not be prepared")
)

// caller sends a first request, waits for the moment, and sends the pieces of a second one, with a pause between them.
func (s *closeSweep) caller(number int, address string, prepared *sync.WaitGroup, moment <-chan struct{}, offset time.Duration, pieces []string, pause time.Duration) error {
	conn, reader, err := s.prepare(number, address)
	prepared.Done()
	if err != nil {
		return fmt.Errorf("%w: %w", errNotPrepared, err)
	}
	defer conn.Close()
	<-moment
	time.Sleep(offset)
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return fmt.Errorf("%w: %w", errNoAnswer, err)
		}
	}
	if err := readAnswer(reader); err != nil {
		return fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return nil
}

// prepare opens a connection and has a first request answered on it.
func (s *closeSweep) prepare(number int, address string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, "GET /first/%d HTTP/1.1\r\nHost: a\r\n\r\n", number)
	if err := readAnswer(reader); err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, reader, nil
}

func readAnswer(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// sweptRequests are the second requests of callers, in the pieces in which they are sent.
func sweptRequests() map[string][]string {
	head := func(length int) string {
		return fmt.Sprintf("POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
	}
	long := strings.Repeat("x", 300<<10)
	return map[string][]string{
		"no body":               {"GET /next HTTP/1.1\r\nHost: a\r\n\r\n"},
		"short body":            {head(5) + "short"},
		"long body":             {head(len(long)) + long},
		"head in two pieces":    {head(5)[:30], head(5)[30:] + "short"},
		"body in two pieces":    {head(5) + "sh", "ort"},
		"body after its head":   {head(5), "short"},
		"first byte by itself":  {"G", "ET /next HTTP/1.1\r\nHost: a\r\n\r\n"},
		"long body in 2 pieces": {head(len(long)) + long[:1000], long[1000:]},
	}
}

// TestRequestThatMeetsTheCloseIsAnswered guards against a request that the server has read, or begun to read, and whose connection is then
// closed as idle: its caller gets neither an answer nor a refusal.
func TestRequestThatMeetsTheCloseIsAnswered(t *testing.T) {
	const (
		callers    = 120
		step       = 50 * time.Microsecond
		pause      = 40 * time.Millisecond
		farOneWay  = 150 * time.Millisecond
		settle     = 100 * time.Millisecond
		shortLimit = 400 * time.Millisecond
	)
	delays := map[string]time.Duration{"near": 0, "far": farOneWay}
	for place, oneWay := range delays {
		for name, pieces := range sweptRequests() {
			for _, cause := range []string{causeDrain, causeIdleTimeout} {
				t.Run(place+"/"+name+"/"+cause, func(t *testing.T) {
					t.Parallel()
					s := newCloseSweep(t, func() time.Duration {
						if cause == causeIdleTimeout {
							return shortLimit
						}
						return 0
					})
					address := s.address
					if oneWay > 0 {
						relay, err := link.New(s.address)
						if err != nil {
							t.Fatal(err)
						}
						defer relay.Close()
						relay.SetDelay(oneWay)
						address = relay.Address()
					}
					lead := settle + oneWay
					moment := make(chan struct{})
					errs := make([]error, callers)
					var group, prepared sync.WaitGroup
					prepared.Add(callers)
					for i := range callers {
						offset := lead - oneWay + time.Duration(i-callers/2)*step
						if cause == causeIdleTimeout { // in the pass after the limit, whose moment is not known
							offset = max(0, shortLimit-settle-oneWay) + time.Duration(i)*idleCheckInterval/callers
						}
						group.Go(func() { errs[i] = s.caller(i, address, &prepared, moment, max(0, offset), pieces, pause) })
					}
					prepared.Wait()
					time.Sleep(settle)
					if cause == causeDrain {
						time.Sleep(minDrainIdle)
					}
					close(moment)
					if cause == causeDrain {
						time.Sleep(lead)
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						defer cancel()
						_ = s.conns.Drain(ctx, time.Now().Add(10*time.Second))
					}
					group.Wait()
					answered, unread := 0, 0
					for i, err := range errs {
						read := s.readOfNext(i)
						switch {
						case err == nil:
							answered++
						case errors.Is(err, errNoAnswer) && read == 0:
							unread++
						default:
							t.Errorf("caller %d: %d bytes of the request were read, and it got: %v", i, read, err)
						}
					}
					t.Logf("%d answered, %d closed unread", answered, unread)
				})
			}
		}
	}
}

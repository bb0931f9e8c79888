package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// newCallerRequest returns a request that http.Transport sends once at most. It would repeat a GET without a body on its own when a kept
// connection breaks before the answer; it does not where it cannot get the body anew, even if that is empty and not announced.
func newCallerRequest(ctx context.Context, method, url string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	if method == http.MethodGet {
		request.Body = io.NopCloser(strings.NewReader(""))
	}
	return request, nil
}

// countWrites returns a request that counts in writes how often the client has written it to a connection.
func countWrites(request *http.Request, writes *atomic.Int64) *http.Request {
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			writes.Add(1)
		}
	}}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
}

// newSoakClient returns a client that keeps its connection.
func newSoakClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerTimeout}
}

// TestSoakClientSendsEachRequestOnce has a gateway's kept connection break after a request has been read, as a kill of the gateway does. The
// client must not send it again by itself: the checker counts each id as one request, as the gateways may answer each one differently.
func TestSoakClientSendsEachRequestOnce(t *testing.T) {
	t.Parallel()
	closeInOrder := func(conn net.Conn) { conn.Close() }
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	tests := map[string]struct {
		method string
		end    func(net.Conn)
	}{
		"GET, close":  {http.MethodGet, closeInOrder},
		"GET, reset":  {http.MethodGet, reset},
		"POST, close": {http.MethodPost, closeInOrder},
		"POST, reset": {http.MethodPost, reset},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newBreakingServer(t, test.end)
			client := newSoakClient()
			for _, path := range []string{"/first", "/second", "/third"} {
				request, err := newCallerRequest(t.Context(), test.method, "http://"+server.address+path)
				if err != nil {
					t.Fatal(err)
				}
				var writes atomic.Int64
				response, err := client.Do(countWrites(request, &writes))
				if writes.Load() != 1 {
					t.Errorf("%s was written %d times", path, writes.Load())
				}
				if answered := err == nil; answered != (path != "/second") {
					t.Errorf("%s: error %v", path, err)
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			for path, count := range server.received {
				if count != 1 {
					t.Errorf("%s was received %d times", path, count)
				}
			}
			if server.connections != 2 {
				t.Errorf("%d connections, want one that is kept and one after its end", server.connections)
			}
			if server.bodyHeaders > 0 {
				t.Errorf("%d GET requests announce a body", server.bodyHeaders)
			}
		})
	}
}

// breakingServer answers requests on kept connections and ends the connection on which /second arrives first.
type breakingServer struct {
	address string
	end     func(net.Conn)

	mu          sync.Mutex
	received    map[string]int // by path
	connections int
	bodyHeaders int // GET requests with a header that announces a body
}

func newBreakingServer(t *testing.T, end func(net.Conn)) *breakingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &breakingServer{address: listener.Addr().String(), end: end, received: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *breakingServer) serve(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	s.connections++
	s.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received[request.URL.Path]++
		breaks := request.URL.Path == "/second" && s.received["/second"] == 1
		if request.Method == http.MethodGet && (request.ContentLength != 0 || len(request.TransferEncoding) > 0) {
			s.bodyHeaders++
		}
		s.mu.Unlock()
		if breaks {
			s.end(conn)
			return
		}
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

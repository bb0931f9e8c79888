package webserver

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// lastAnswerTime is the time for the last answers after the end of a shutdown.
const lastAnswerTime = 300 * time.Millisecond

// Server serves HTTP on a listener and keeps track of the open connections.
type Server struct {
	http    *fasthttp.Server
	handler fasthttp.RequestHandler

	mu       sync.Mutex
	listener net.Listener
	conns    map[*trackedConn]struct{}
	stopping bool
	closed   bool
	drained  chan struct{} // closed once no connection is open during a shutdown
}

// New returns a server with the handler and limits of server. It sets fields of server: no Server header is sent, answers
// during a shutdown carry "Connection: close", and log messages are discarded unless a logger is set.
func New(server *fasthttp.Server) *Server {
	s := &Server{http: server, handler: server.Handler, conns: map[*trackedConn]struct{}{}, drained: make(chan struct{})}
	server.Handler = s.handle
	server.ConnState = observeState
	server.NoDefaultServerHeader = true
	if server.Logger == nil {
		server.Logger = discardLogger{}
	}
	return s
}

// Start serves on listener, which must accept TCP connections, until Close or Shutdown. The returned channel receives one
// value when serving has ended: an error, or nil after Close or Shutdown.
func (s *Server) Start(listener net.Listener) <-chan error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go func() { done <- s.serve(&trackedListener{Listener: listener, server: s}) }()
	return done
}

// Shutdown stops accepting connections, waits until the requests in progress have ended or ctx ends, and then closes the
// remaining connections. Requests that are still coming in when ctx ends are refused.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, conn := range s.beginStop() {
		conn.stop()
	}
	err := s.waitDrained(ctx)
	if err != nil {
		for _, conn := range s.openConns() {
			conn.expire()
		}
		answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswerTime)
		defer cancel()
		_ = s.waitDrained(answerCtx)
	}
	s.Close()
	return err
}

// Close stops accepting connections and closes the open ones without waiting for their requests.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.closeListenerLocked()
	s.mu.Unlock()
	for _, conn := range s.openConns() {
		_ = conn.Close()
	}
}

// beginStop closes the listener and returns the connections that are open.
func (s *Server) beginStop() []*trackedConn {
	s.mu.Lock()
	if !s.stopping {
		s.stopping = true
		s.closeListenerLocked()
		s.markDrainedLocked()
	}
	s.mu.Unlock()
	return s.openConns()
}

// closeListenerLocked closes the listener, if there is one; the caller holds mu.
func (s *Server) closeListenerLocked() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// markDrainedLocked tells a shutdown that no connection is open, if so; the caller holds mu.
func (s *Server) markDrainedLocked() {
	if !s.stopping || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// waitDrained waits until no connection is open and returns the error of ctx if it ends before.
func (s *Server) waitDrained(ctx context.Context) error {
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) openConns() []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// handle calls the handler and has the connection end with the answer during a shutdown.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.handler(ctx)
	if s.isStopping() {
		ctx.SetConnectionClose()
	}
}

// observeState tells a connection where it is between its requests.
func observeState(conn net.Conn, state fasthttp.ConnState) {
	tracked, ok := conn.(*trackedConn)
	switch {
	case !ok:
	case state == fasthttp.StateActive:
		tracked.beginRequest()
	case state == fasthttp.StateIdle:
		tracked.awaitRequest()
	}
}

func (s *Server) serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if err == nil || errors.Is(err, net.ErrClosed) || s.isClosed() {
		return nil
	}
	return fmt.Errorf("serve %s: %w", listener.Addr(), err)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.stopping
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) addConn(conn *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
	if s.stopping {
		conn.stop()
	}
}

func (s *Server) removeConn(conn *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.markDrainedLocked()
}

// discardLogger discards the messages of fasthttp, such as those about connections that clients closed.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// trackedListener registers accepted connections with the server.
type trackedListener struct {
	net.Listener
	server *Server
}

func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := newTrackedConn(conn.(*net.TCPConn), l.server)
	l.server.addConn(tracked)
	return tracked, nil
}

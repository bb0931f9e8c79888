package webserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Server serves HTTP on one listener and tracks its connections.
type Server struct {
	http *fasthttp.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// New returns a server with the given limits and handler; it takes over ConnState.
func New(server *fasthttp.Server) *Server {
	s := &Server{http: server, conns: map[net.Conn]struct{}{}}
	server.NoDefaultServerHeader = true
	server.CloseOnShutdown = true
	if server.Logger == nil {
		server.Logger = silent{}
	}
	return s
}

// Start serves on listener until Close or Shutdown and reports the end on the returned channel.
func (s *Server) Start(listener net.Listener) <-chan error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go func() { done <- s.serve(&trackedListener{Listener: listener, server: s}) }()
	return done
}

// Shutdown stops accepting, lets requests in progress end until ctx ends, then drops what is left.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.Close()
	return err
}

// Close stops accepting and drops all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	s.dropLocked()
}

// CloseConnections closes all open connections and goes on accepting.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLocked()
}

func (s *Server) dropLocked() {
	for conn := range s.conns {
		conn.Close()
	}
	s.conns = map[net.Conn]struct{}{}
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
	return s.closed
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// silent drops the library's messages about connections that clients closed.
type silent struct{}

func (silent) Printf(string, ...any) {}

type trackedListener struct {
	net.Listener
	server *Server
}

func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{TCPConn: conn.(*net.TCPConn), server: l.server}
	l.server.track(tracked)
	return tracked, nil
}

type trackedConn struct {
	*net.TCPConn
	server *Server
}

func (c *trackedConn) Close() error {
	go c.server.forget(c)
	return c.TCPConn.Close()
}

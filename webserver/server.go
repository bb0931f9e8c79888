package webserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Server serves HTTP on a listener and keeps track of the open connections.
type Server struct {
	http *fasthttp.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// New returns a server with the handler and limits of server. It sets fields of server: no Server header is sent, answers
// during a shutdown carry "Connection: close", and log messages are discarded unless a logger is set.
func New(server *fasthttp.Server) *Server {
	s := &Server{http: server, conns: map[net.Conn]struct{}{}}
	server.NoDefaultServerHeader = true
	server.CloseOnShutdown = true
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
// remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.Close()
	return err
}

// Close stops accepting connections and closes the open ones without waiting for their requests.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	s.closeConnsLocked()
}

// CloseConnections closes all open connections but keeps accepting new ones.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeConnsLocked()
}

// closeConnsLocked closes all open connections; the caller holds mu.
func (s *Server) closeConnsLocked() {
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

func (s *Server) addConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) removeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
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
	tracked := &trackedConn{TCPConn: conn.(*net.TCPConn), server: l.server}
	l.server.addConn(tracked)
	return tracked, nil
}

// trackedConn is removed from the server's open connections when it is closed.
type trackedConn struct {
	*net.TCPConn
	server *Server
}

// Close removes the connection from the server in a goroutine, because closeConnsLocked calls it with mu held.
func (c *trackedConn) Close() error {
	go c.server.removeConn(c)
	return c.TCPConn.Close()
}

package webserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"gypsumbank/keepalive"
)

// lastAnswerTime is the time for the last answers after the end of a shutdown.
const lastAnswerTime = 300 * time.Millisecond

// unlimited stands for the time of a shutdown without a limit.
const unlimited = 24 * time.Hour

// Server serves HTTP on a listener and keeps track of the open connections.
type Server struct {
	http         *fasthttp.Server
	handler      fasthttp.RequestHandler
	errorHandler func(*fasthttp.RequestCtx, error)
	conns        *keepalive.Conns

	mu       sync.Mutex
	listener net.Listener
	stopping bool
}

// New returns a server with the handler and limits of server. It sets fields of server: no Server header is sent, answers
// during a shutdown carry "Connection: close", and log messages are discarded unless a logger is set.
func New(server *fasthttp.Server) *Server {
	s := &Server{http: server, handler: server.Handler, errorHandler: server.ErrorHandler}
	s.conns = keepalive.New(func() time.Duration { return server.IdleTimeout }, connLog(server.Logger))
	server.Handler = s.handle
	if s.errorHandler != nil {
		server.ErrorHandler = s.handleError
	}
	server.ConnState = s.trackState
	server.NoDefaultServerHeader = true
	if server.Logger == nil {
		server.Logger = discardLogger{}
	}
	return s
}

// SetLimits bounds what the callers of the server may take. It is called before Start.
func (s *Server) SetLimits(limits keepalive.Limits) { s.conns.SetLimits(limits) }

// Open returns the number of open connections.
func (s *Server) Open() int { return s.conns.Open() }

// AnsweredEarly records that a request on a connection is answered though it has not been read to the end. The close of the connection, which the answer must
// announce, then waits for the caller, as it would destroy the answer otherwise.
func (s *Server) AnsweredEarly(conn net.Conn) { s.conns.AnsweredEarly(conn) }

// Start serves on listener, which must accept TCP connections, until Close or Shutdown. The returned channel receives one
// value when serving has ended: an error, or nil after Close or Shutdown.
func (s *Server) Start(listener net.Listener) <-chan error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go func() { done <- s.serve(s.conns.Listener(listener)) }()
	return done
}

// Shutdown stops accepting connections, waits until the requests in progress have ended or ctx ends, and then closes the
// remaining connections. Requests that are still coming in when ctx ends are refused.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	until, limited := ctx.Deadline()
	if !limited {
		until = time.Now().Add(unlimited)
	}
	err := s.conns.Drain(ctx, until)
	if err != nil {
		s.conns.EndReads()
		answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswerTime)
		defer cancel()
		_ = s.conns.Drain(answerCtx, until)
	}
	s.conns.Close()
	return err
}

// Close stops accepting connections and closes the open ones without waiting for their requests.
func (s *Server) Close() {
	s.stopAccepting()
	s.conns.Close()
}

// stopAccepting closes the listener, if there is one.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// handle calls the handler and has the connection end with the answer during a shutdown, and while few places are left.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.handler(ctx)
	if s.isStopping() || s.conns.IsCrowded() {
		ctx.SetConnectionClose()
	}
}

// handleError answers a request that could not be read to its end.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	s.conns.AnsweredEarly(ctx.Conn())
	s.errorHandler(ctx, err)
}

// trackState passes the state of a connection on; one that a handler has taken over is open until it is closed.
func (s *Server) trackState(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		s.conns.TrackState(conn, http.StateActive)
	case fasthttp.StateIdle:
		s.conns.TrackState(conn, http.StateIdle)
	case fasthttp.StateClosed:
		s.conns.TrackState(conn, http.StateClosed)
	case fasthttp.StateNew, fasthttp.StateHijacked:
	}
}

func (s *Server) serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if err == nil || errors.Is(err, net.ErrClosed) || s.isStopping() {
		return nil
	}
	return fmt.Errorf("serve %s: %w", listener.Addr(), err)
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// connLog returns the log of connections: that of the server, if it is one with fields.
func connLog(logger fasthttp.Logger) *logrus.Entry {
	if entry, ok := logger.(*logrus.Entry); ok {
		return entry
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	return logrus.NewEntry(discard)
}

// discardLogger discards the messages of fasthttp, such as those about connections that clients closed.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

package rpcserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"gypsumbank/dialer"
	"gypsumbank/handshake"
)

// Server accepts connections, authenticates them and serves the registered drpc services on them.
type Server struct {
	secret    *handshake.Secret
	mux       *drpcmux.Mux
	log       *logrus.Entry
	openConns sync.WaitGroup
}

// New returns a server without services. If secret is nil, connections are not authenticated.
func New(secret *handshake.Secret, log *logrus.Entry) *Server {
	return &Server{secret: secret, mux: drpcmux.New(), log: log}
}

// Mux returns the multiplexer on which services are registered.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Run serves on listener until ctx ends, and returns when all connections are closed.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.openConns.Wait()
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		}
		s.openConns.Add(1)
		go s.serveConn(ctx, server, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	defer s.openConns.Done()
	defer conn.Close()
	if err := s.authenticate(conn); err != nil {
		s.log.WithError(err).WithField("peer", conn.RemoteAddr()).Warn("authentication of an incoming connection failed")
		return
	}
	if err := server.ServeOne(ctx, dialer.CountBytes(conn)); err != nil {
		s.log.WithError(err).WithField("peer", conn.RemoteAddr()).Debug("serving a connection ended with an error")
	}
}

func (s *Server) authenticate(conn net.Conn) error {
	if s.secret == nil {
		return nil
	}
	return s.secret.ServerHandshake(conn)
}

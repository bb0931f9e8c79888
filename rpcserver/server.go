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

// Server accepts connections, checks the secret on each and serves the registered services.
type Server struct {
	secret *handshake.Secret
	mux    *drpcmux.Mux
	log    *logrus.Entry
	conns  sync.WaitGroup
}

// New returns a server without services; without a secret any process may call it.
func New(secret *handshake.Secret, log *logrus.Entry) *Server {
	return &Server{secret: secret, mux: drpcmux.New(), log: log}
}

// Mux returns the multiplexer to register services with.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Run serves on listener until ctx ends and all connections are closed.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.conns.Wait()
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		}
		s.conns.Add(1)
		go s.serve(ctx, server, conn)
	}
}

func (s *Server) serve(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	defer s.conns.Done()
	defer conn.Close()
	if err := s.prove(conn); err != nil {
		s.log.WithError(err).WithField("peer", conn.RemoteAddr()).Warn("rejected connection")
		return
	}
	if err := server.ServeOne(ctx, dialer.CountBytes(conn)); err != nil {
		s.log.WithError(err).WithField("peer", conn.RemoteAddr()).Debug("connection ended")
	}
}

func (s *Server) prove(conn net.Conn) error {
	if s.secret == nil {
		return nil
	}
	return s.secret.ServerHandshake(conn)
}

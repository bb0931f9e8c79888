package rpcserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcstream"

	"gypsumbank/bytebudget"
	"gypsumbank/descriptor"
	"gypsumbank/dialer"
	"gypsumbank/handshake"
	"gypsumbank/keepalive"
	"gypsumbank/settings"
)

const (
	// lastCallTime is the time after the begin of a stop in which calls that arrive on recently used connections are still served.
	lastCallTime = 300 * time.Millisecond
	// lastReplyTime is the time after the begin of a stop for the last replies.
	lastReplyTime = time.Second
	// memoryDivisor is the part of the memory that connections, and the messages that come in on them, may each take: one in so many bytes.
	memoryDivisor = 4
	// connBytes is what a connection takes beside long messages: buffers and stacks.
	connBytes = 48 << 10
	// inactivityTimeout is how long a connection may have no call in progress. Callers close theirs after a third of it.
	inactivityTimeout = 90 * time.Second
	// silentWait is how long a connection on which nothing has come is kept while others wait for places. Callers open connections to send calls.
	silentWait = 100 * time.Millisecond
	// defaultMessageTimeout bounds the time in which a message must arrive where no limits are set.
	defaultMessageTimeout = 10 * time.Second
)

// Server accepts connections, authenticates them and serves the registered drpc services on them.
type Server struct {
	secret    *handshake.Secret
	mux       *drpcmux.Mux
	log       *logrus.Entry
	openConns sync.WaitGroup
	limits    keepalive.Limits
	messages  *bytebudget.Budget // bytes held for messages that come in
	timeout   time.Duration      // for a message to arrive
	silence   time.Duration      // after which a connection on which nothing comes is closed; 0 for never
}

// New returns a server without services. If secret is nil, connections are not authenticated.
func New(secret *handshake.Secret, log *logrus.Entry) *Server {
	s := &Server{secret: secret, mux: drpcmux.New(), log: log}
	s.SetLimits(settings.Limits{})
	return s
}

// SetSilenceTimeout has connections closed on which nothing comes for a time, whether calls are in progress or not. It is called before Run.
func (s *Server) SetSilenceTimeout(timeout time.Duration) { s.silence = timeout }

// SetLimits bounds the connections and the messages that come in on them, by what the process may use. It is called before Run.
func (s *Server) SetLimits(limits settings.Limits) {
	share := bytebudget.AvailableMemory(limits.MemoryMiB) / memoryDivisor
	s.limits = keepalive.Limits{NoHeads: true, SilentWait: silentWait, MaxOpen: max(1, min(descriptor.New(limits.Descriptors).Callers(), int(share/connBytes)))}
	s.messages = bytebudget.New(share)
	s.timeout = limits.MessageTimeout
	if s.timeout == 0 {
		s.timeout = defaultMessageTimeout
	}
}

// Mux returns the multiplexer on which services are registered.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Run serves on listener until ctx ends. The contexts of the calls in progress end with it; it returns when their replies are sent, or lastReplyTime
// later, and all connections are closed.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	conns := keepalive.New(noIdleTimeout, s.log)
	conns.SetLimits(s.limits)
	serving, endServing := context.WithCancel(context.WithoutCancel(ctx))
	defer s.openConns.Wait()
	defer endServing()
	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		s.drain(ctx, conns)
	})
	defer stop()
	tracked := conns.Listener(listener)
	for {
		conn, err := tracked.Accept()
		switch {
		case err == nil: // also one that is accepted as the stop begins, which the drain then ends
			s.openConns.Add(1)
			go s.serveConn(ctx, serving, conns, conn)
		case errors.Is(err, net.ErrClosed):
			if ctx.Err() != nil {
				<-drained
			}
			return nil
		case ctx.Err() == nil:
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		}
	}
}

// drain stops accepting and closes the connections once no call is in progress on them.
func (s *Server) drain(ctx context.Context, conns *keepalive.Conns) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), now.Add(lastReplyTime))
	defer cancel()
	if err := conns.DrainCalls(ctx, now.Add(lastCallTime)); err != nil {
		s.log.WithError(err).Debug("connections were open at the end of a stop")
	}
}

// serveConn serves calls on a connection, one after the other, until serving ends; the contexts of calls end with ctx.
func (s *Server) serveConn(ctx, serving context.Context, conns *keepalive.Conns, conn net.Conn) {
	defer s.openConns.Done()
	defer conn.Close()
	if err := s.authenticate(conn); err != nil {
		s.log.WithError(err).WithField("peer", conn.RemoteAddr()).Warn("authentication of an incoming connection failed")
		return
	}
	conns.TrackState(conn, http.StateIdle)
	hold := s.messages.Begin(peerHost(conn))
	defer hold.Release()
	options := dialer.ManagerOptions()
	options.InactivityTimeout = inactivityTimeout
	metered := &messageMeter{Conn: conn, hold: hold, maxBytes: int64(options.Reader.MaximumBufferSize), timeout: s.timeout, silence: s.silence}
	manager := drpcmanager.NewWithOptions(dialer.CountBytes(metered), options)
	defer func() { _ = manager.Close() }()
	for {
		stream, rpc, err := manager.NewServerStream(serving)
		if err == nil {
			conns.TrackState(conn, http.StateActive)
			err = s.reply(ctx, stream, rpc)
			conns.TrackState(conn, http.StateIdle)
		}
		if err != nil {
			s.log.WithError(err).WithField("peer", conn.RemoteAddr()).Debug("serving a connection ended with an error")
			return
		}
	}
}

// reply has the service handle a call, whose context ends with stopping at the latest, and sends the error that it returns.
func (s *Server) reply(stopping context.Context, stream *drpcstream.Stream, rpc string) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(stopping, cancel)()
	if err := s.mux.HandleRPC(&callStream{Stream: stream, ctx: ctx}, rpc); err != nil {
		return stream.SendError(err)
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	<-stream.Finished() // the peer has closed its side, too
	return nil
}

// callStream is the stream of a call, whose context ends before its connection does.
type callStream struct {
	drpc.Stream
	ctx context.Context
}

// Context implements drpc.Stream.
func (s *callStream) Context() context.Context { return s.ctx }

// peerHost returns the host at the other end of a connection.
func peerHost(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// noIdleTimeout is that of the connections between processes.
func noIdleTimeout() time.Duration { return 0 }

func (s *Server) authenticate(conn net.Conn) error {
	if s.secret == nil {
		return nil
	}
	return s.secret.ServerHandshake(conn)
}

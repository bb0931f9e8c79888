package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"gypsumbank/bytebudget"
	"gypsumbank/grace"
	"gypsumbank/handshake"
	"gypsumbank/inflow"
	"gypsumbank/keepalive"
	"gypsumbank/lifecycle"
	"gypsumbank/limiter"
	"gypsumbank/node"
	"gypsumbank/probe"
	"gypsumbank/router"
	"gypsumbank/rpcserver"
	"gypsumbank/settings"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/webserver"
	"gypsumbank/wire"
)

// listenerCloseDelay is the time between the first failing readiness check and the closing of the listener, in which
// load balancers can stop sending new requests.
const listenerCloseDelay = 2 * time.Second

// Entry serves the HTTP API: it authenticates callers, applies the limits of their plans, chooses a target for each
// attempt of a request and returns the answer, either as a stream or as a whole.
type Entry struct {
	config         *settings.Config
	node           *node.Node
	peerServer     *rpcserver.Server
	httpServer     *webserver.Server
	router         *router.Router
	limiter        *limiter.Limiter
	probe          *probe.Server
	log            *logrus.Entry
	draining       atomic.Bool
	activeRequests atomic.Int64
	memory         *bytebudget.Budget // bytes held for callers
	requests       context.Context    // that of all requests; ends with errStopping shortly before the grace does
	endRequests    context.CancelCauseFunc

	mu           sync.Mutex
	lastScaleOut map[string]time.Time // by model: when a further copy was last requested
	slotOwners   map[string]string    // by "service/slot": replica last known to own the slot
}

// New returns an entry with the given settings.
func New(config *settings.Config, log *logrus.Entry) (*Entry, error) {
	e := &Entry{
		config:       config,
		node:         node.New(config, vmlist.RoleEntry, log),
		peerServer:   rpcserver.New(handshake.New(config.Node.Secret), log),
		limiter:      limiter.New(),
		log:          log,
		slotOwners:   map[string]string{},
		lastScaleOut: map[string]time.Time{},
	}
	e.requests, e.endRequests = context.WithCancelCause(context.Background())
	e.router = router.New(router.Config{
		Zone:      config.Node.AvailabilityZone,
		Policy:    router.Policy(config.Entry.Routing),
		AvoidSlow: config.Entry.AvoidSlow,
	}, e.node.Roster())
	e.probe = probe.New("", e.ready)
	e.node.OnHint(e.updateRouter)
	e.httpServer = webserver.New(&fasthttp.Server{
		Handler:                      e.handle,
		ErrorHandler:                 e.serveReadError,
		ReadTimeout:                  config.Entry.ReadTimeout,
		IdleTimeout:                  config.Entry.IdleTimeout,
		MaxRequestBodySize:           config.Entry.MaxBodyBytes,
		ReadBufferSize:               config.Entry.MaxHeaderBytes,
		HeaderReceived:               e.markOversized,
		StreamRequestBody:            true, // bodies are read once there is memory for them
		Concurrency:                  config.Entry.MaxConnections + spareConcurrency,
		Logger:                       log.WithField("part", "http"),
		DisablePreParseMultipartForm: true,
		LogAllErrors:                 false,
	})
	e.memory = newRequestMemory(config, e.httpServer)
	e.httpServer.SetLimits(keepalive.Limits{
		MaxOpen:           maxCallers(config, e.memory.Limit()),
		MaxKept:           inflow.New(config.Limits.LinkMbps).Kept(),
		SilentWait:        silentWait,
		WriteTimeout:      config.Entry.WriteTimeout,
		SocketBufferBytes: config.Limits.SocketBufferKiB << 10,
		MakeRoom:          func() { e.memory.MakeRoom(connBytes(config), time.Now()) },
	})
	e.peerServer.SetLimits(config.Limits)
	if err := wire.DRPCRegisterNode(e.peerServer.Mux(), e.node); err != nil {
		return nil, fmt.Errorf("register RPC service node: %w", err)
	}
	return e, nil
}

// Node returns the part of the entry that exchanges state with other processes.
func (e *Entry) Node() *node.Node { return e.node }

// Run serves until ctx ends. It then fails the readiness check, stops accepting connections and waits for requests in
// progress, at most for the configured grace period.
func (e *Entry) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", e.config.Node.Listen)
	if err != nil {
		return fmt.Errorf("open the listener for other processes: %w", err)
	}
	callerListener, err := inflow.New(e.config.Limits.LinkMbps).Listen(e.config.Entry.Listen)
	if err != nil {
		peerListener.Close()
		return fmt.Errorf("open the listener for callers: %w", err)
	}
	e.node.Ring().Add(timeline.Event{Kind: timeline.ProcessStarted, Target: e.config.Node.Name})
	return lifecycle.New(e.drain,
		func(ctx context.Context) error { return e.peerServer.Run(ctx, peerListener) },
		func(ctx context.Context) error { return e.serveCallers(ctx, callerListener) },
		e.node.Run,
	).Run(ctx)
}

func (e *Entry) serveCallers(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, e.httpServer.Close)
	defer stop()
	return <-e.httpServer.Start(listener)
}

func (e *Entry) drain() {
	e.draining.Store(true)
	e.node.Ring().Add(timeline.Event{Kind: timeline.ProcessStopping, Target: e.config.Node.Name})
	e.log.Info("draining")
	time.Sleep(min(listenerCloseDelay, e.config.Entry.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), e.config.Entry.Grace)
	defer cancel()
	lastAnswers := time.AfterFunc(time.Until(grace.New(time.Now(), e.config.Entry.Grace).AnswerBy()), func() { e.endRequests(errStopping) })
	defer lastAnswers.Stop()
	if err := e.httpServer.Shutdown(ctx); err != nil {
		e.log.WithError(err).WithField("cut", e.activeRequests.Load()).Error("requests cut off at the end of the grace period")
	}
	e.log.Info("drained")
}

func (e *Entry) ready() error {
	if e.draining.Load() {
		return errDraining
	}
	_, err := e.node.Snapshot()
	return err
}

// updateRouter passes the outcome of an exchange with a model target on to the router.
func (e *Entry) updateRouter(vm vmlist.VM, reply *wire.ExchangeReply, err error) {
	if err != nil {
		e.router.MarkUnreachable(vm.Name)
		return
	}
	e.router.ObserveHint(vm.Name, reply.GetHint())
}

// recordEvent adds an event to the timeline and logs it at debug level.
func (e *Entry) recordEvent(event timeline.Event) {
	e.node.Ring().Add(event)
	e.log.WithFields(logrus.Fields{
		"request-id": event.RequestID,
		"customer":   event.Customer,
		"target":     event.Target,
		"model":      event.Model,
		"detail":     event.Detail,
	}).Debug(string(event.Kind))
}

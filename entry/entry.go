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

	"gypsumbank/handshake"
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

// noticeTime is the time between the failing readiness check and the closing of the listener.
const noticeTime = 2 * time.Second

// Entry serves callers: it checks their plan, chooses targets and returns whole answers.
type Entry struct {
	config  *settings.Config
	node    *node.Node
	server  *rpcserver.Server
	web     *webserver.Server
	router  *router.Router
	limiter *limiter.Limiter
	probe   *probe.Server
	log     *logrus.Entry
	leaving atomic.Bool
	active  atomic.Int64

	mu     sync.Mutex
	copied map[string]time.Time // when a further copy of a model was last asked for
	owners map[string]string    // latest known owner of each slot of a service
}

// New returns an entry with the given settings.
func New(config *settings.Config, log *logrus.Entry) (*Entry, error) {
	e := &Entry{
		config:  config,
		node:    node.New(config, vmlist.RoleEntry, log),
		server:  rpcserver.New(handshake.New(config.Node.Secret), log),
		limiter: limiter.New(),
		log:     log,
		owners:  map[string]string{},
		copied:  map[string]time.Time{},
	}
	e.router = router.New(router.Config{
		Zone:      config.Node.AvailabilityZone,
		Policy:    router.Policy(config.Entry.Routing),
		AvoidSlow: config.Entry.AvoidSlow,
	}, e.node.Roster())
	e.probe = probe.New("", e.ready)
	e.node.OnHint(e.observe)
	e.web = webserver.New(&fasthttp.Server{
		Handler:                      e.handle,
		ErrorHandler:                 e.unreadable,
		ReadTimeout:                  config.Entry.ReadTimeout,
		IdleTimeout:                  config.Entry.IdleTimeout,
		MaxRequestBodySize:           config.Entry.MaxBodyBytes,
		ReadBufferSize:               config.Entry.MaxHeaderBytes,
		Concurrency:                  config.Entry.MaxConnections,
		Logger:                       log.WithField("part", "http"),
		DisablePreParseMultipartForm: true,
		LogAllErrors:                 false,
	})
	if err := wire.DRPCRegisterNode(e.server.Mux(), e.node); err != nil {
		return nil, fmt.Errorf("register node: %w", err)
	}
	return e, nil
}

// Node returns the node of the entry.
func (e *Entry) Node() *node.Node { return e.node }

// Run serves until ctx ends, then turns readiness off, stops accepting and lets requests in progress end.
func (e *Entry) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", e.config.Node.Listen)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	callers, err := net.Listen("tcp", e.config.Entry.Listen)
	if err != nil {
		peers.Close()
		return fmt.Errorf("entry: %w", err)
	}
	e.node.Ring().Add(timeline.Event{Kind: timeline.ProcessStarted, Target: e.config.Node.Name})
	return lifecycle.New(e.drain,
		func(ctx context.Context) error { return e.server.Run(ctx, peers) },
		func(ctx context.Context) error { return e.serveCallers(ctx, callers) },
		e.node.Run,
	).Run(ctx)
}

func (e *Entry) serveCallers(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, e.web.Close)
	defer stop()
	return <-e.web.Start(listener)
}

func (e *Entry) drain() {
	e.leaving.Store(true)
	e.node.Ring().Add(timeline.Event{Kind: timeline.ProcessStopping, Target: e.config.Node.Name})
	e.log.Info("draining")
	time.Sleep(min(noticeTime, e.config.Entry.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), e.config.Entry.Grace)
	defer cancel()
	if err := e.web.Shutdown(ctx); err != nil {
		e.log.WithError(err).WithField("cut", e.active.Load()).Error("requests outlived the grace")
	}
	e.log.Info("drained")
}

func (e *Entry) ready() error {
	if e.leaving.Load() {
		return errLeaving
	}
	_, err := e.node.Snapshot()
	return err
}

func (e *Entry) observe(vm vmlist.VM, reply *wire.ExchangeReply, err error) {
	if err != nil {
		e.router.MarkUnreachable(vm.Name)
		return
	}
	e.router.ObserveHint(vm.Name, reply.GetHint())
}

func (e *Entry) record(event timeline.Event) {
	e.node.Ring().Add(event)
	e.log.WithFields(logrus.Fields{
		"request-id": event.RequestID,
		"customer":   event.Customer,
		"target":     event.Target,
		"model":      event.Model,
		"detail":     event.Detail,
	}).Debug(string(event.Kind))
}

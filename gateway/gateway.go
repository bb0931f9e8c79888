package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gypsumbank/connpool"
	"gypsumbank/dialer"
	"gypsumbank/dispatch"
	"gypsumbank/fleet"
	"gypsumbank/logs"
	"gypsumbank/platform"
	"gypsumbank/probe"
	"gypsumbank/retrybudget"
	"gypsumbank/route"
	"gypsumbank/sender"
	"gypsumbank/settings"
)

const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	planInterval   = 100 * time.Millisecond
	// plansPerLook fills engines that have all restarted empty within a second.
	plansPerLook = 6
	// drainNotice is how long new connections are still served after the signal to stop: the platform takes a VM out
	// after two failed checks, one a second.
	drainNotice = 2500 * time.Millisecond
	// drainMargin is left of the grace for the process to end, and answerMargin before that for final answers.
	drainMargin  = 700 * time.Millisecond
	answerMargin = 300 * time.Millisecond
)

// Gateway is the process that serves callers in front of the targets.
type Gateway struct {
	config     *settings.Config
	log        *logrus.Entry
	store      *platform.Store
	fleet      *fleet.Fleet
	dispatcher *dispatch.Dispatcher
	budget     *retrybudget.Budget
	agents     *agents
	relayed    *relayed
	dialer     *dialer.Dialer
	conns      *connections
	started    time.Time
	table      atomic.Pointer[route.Table]
	fleetKnown atomic.Bool
	storeLost  atomic.Bool  // targets could not be read
	draining   atomic.Bool  // takes no new callers
	answerBy   atomic.Int64 // when requests that arrive while draining get their final answers, in Unix ns; 0 if not draining
	refusing   atomic.Bool  // takes no new requests
}

// New returns a gateway with the given settings.
func New(config *settings.Config, log *logrus.Entry) *Gateway {
	f := fleet.New(config.Node.AvailabilityZone)
	d := dialer.New(nil)
	b := newRelayed()
	a := newAgents(config.Node.Name, config.Gateway.AgentPort, d, f, b, log)
	budget := retrybudget.New(retryLimits(config.Bounds))
	replicas := platform.NewTargetClient(sender.New(connpool.New()))
	return &Gateway{
		config:     config,
		log:        log,
		store:      platform.NewStore(config.Store.Address),
		fleet:      f,
		dispatcher: dispatch.New(f, replicas, a, budget, log, time.Now),
		budget:     budget,
		agents:     a,
		relayed:    b,
		dialer:     d,
		conns:      newConnections(),
		started:    time.Now(),
	}
}

// Apply puts changed settings in force: the level of logs and the bounds of retries; the others need a restart.
func (g *Gateway) Apply(config *settings.Config) {
	logs.SetLevel(g.log, config.Log)
	g.budget.SetLimits(retryLimits(config.Bounds))
}

func retryLimits(bounds settings.Bounds) retrybudget.Limits {
	return retrybudget.Limits{Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow}
}

// Run serves until ctx ends and all requests in progress are answered or the grace is over.
func (g *Gateway) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.config.Gateway.Listen)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	checks, err := net.Listen("tcp", g.config.Gateway.Ready)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.log.WithFields(logrus.Fields{"listen": g.config.Gateway.Listen, "store": g.config.Store.Address}).Info("gateway starts")
	callers := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: g.conns.track, ConnContext: withConn,
		ErrorLog: quietLog(),
	}
	ready := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout, ErrorLog: quietLog()}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return ended(callers.Serve(listener)) })
	group.Go(func() error { return ended(ready.Serve(checks)) })
	group.Go(func() error { return g.followRoutes(serving) })
	group.Go(func() error { return g.followTargets(serving) })
	group.Go(func() error { return g.followRelayed(serving) })
	group.Go(func() error { return g.plan(serving) })
	group.Go(func() error { return probe.New(g.config.Gateway.Metrics, g.ready).Run(serving) })
	group.Go(func() error { return g.conns.sweep(serving, g.idleTimeout) })
	select {
	case <-ctx.Done():
		g.drain()
	case <-serving.Done():
	}
	stop()
	closeAll(g.log, callers, ready)
	err = group.Wait() // ends what follows targets before the agents that it watches
	g.agents.close()
	g.dialer.Close()
	g.log.WithError(err).Info("gateway stops")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain tells the platform to send no more callers and returns when the requests in progress are answered.
func (g *Gateway) drain() {
	begun := time.Now()
	g.answerBy.Store(begun.Add(g.config.Gateway.Grace - drainMargin - answerMargin).UnixNano())
	g.draining.Store(true)
	g.log.Info("gateway drains")
	time.Sleep(drainNotice)
	g.refusing.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(g.config.Gateway.Grace-drainMargin))
	defer cancel()
	if err := g.conns.drain(ctx); err != nil {
		g.log.WithError(err).Warn("requests are cut off at the end of the grace")
	}
}

func (g *Gateway) idleTimeout() time.Duration {
	if table := g.table.Load(); table != nil {
		return table.Limits().IdleTimeout
	}
	return 0
}

// plan starts loads of models that the demand asks for.
func (g *Gateway) plan(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		table := g.table.Load()
		if table == nil || g.draining.Load() {
			continue
		}
		for name, s := range table.Services() {
			if s.Engine == nil {
				continue
			}
			for range plansPerLook {
				placement, ok := g.fleet.Plan(name, time.Now())
				if !ok {
					break
				}
				go g.dispatcher.Load(ctx, placement)
			}
		}
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := g.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

var (
	errDraining  = errors.New("draining")
	errNoRoutes  = errors.New("no routes known yet")
	errNoTargets = errors.New("no targets known yet")
)

// ready returns why the gateway should not get callers, or nil.
func (g *Gateway) ready() error {
	switch {
	case g.draining.Load():
		return errDraining
	case g.table.Load() == nil:
		return errNoRoutes
	case !g.fleetKnown.Load():
		return errNoTargets
	}
	return nil
}

func closeAll(log *logrus.Entry, servers ...*http.Server) {
	for _, s := range servers {
		if err := s.Close(); err != nil {
			log.WithError(err).Debug("server not closed")
		}
	}
}

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gypsumbank/bytebudget"
	"gypsumbank/connpool"
	"gypsumbank/customer"
	"gypsumbank/departure"
	"gypsumbank/descriptor"
	"gypsumbank/dialer"
	"gypsumbank/dispatch"
	"gypsumbank/epoch"
	"gypsumbank/fleet"
	"gypsumbank/grace"
	"gypsumbank/history"
	"gypsumbank/inflow"
	"gypsumbank/keepalive"
	"gypsumbank/logs"
	"gypsumbank/origin"
	"gypsumbank/platform"
	"gypsumbank/propagation"
	"gypsumbank/refresh"
	"gypsumbank/retrybudget"
	"gypsumbank/route"
	"gypsumbank/sender"
	"gypsumbank/settings"
)

const (
	// defaultMaxHeaderBytes and headerTimeout bound heads where the routes don't, or are not known yet.
	defaultMaxHeaderBytes = 64 << 10
	headerTimeout         = 10 * time.Second
	// maxHeaderBytes and maxHeaderTimeout are above what the routes allow in practice, which bounds each connection.
	maxHeaderBytes   = 1 << 20
	maxHeaderTimeout = time.Minute
	// maxCheckConns is the number of connections for readiness checks; the platform needs one or two.
	maxCheckConns = 64
	// planInterval is the interval at which model loads are planned.
	planInterval = 100 * time.Millisecond
	// maxPlansPerTick bounds the model loads that are started for a service each planInterval. It is enough to start
	// loads on all engines within a second after all have restarted empty.
	maxPlansPerTick = 6
)

// Gateway accepts the requests of callers and forwards them to targets.
type Gateway struct {
	config         *settings.Config
	log            *logrus.Entry
	store          *platform.Store
	changes        propagation.Budget // time for changes of the routes
	epochs         *epoch.Tracker
	departures     *departure.Table
	fleet          *fleet.Fleet
	dispatcher     *dispatch.Dispatcher
	quotas         *quotas
	registry       *refresh.Shared // reads of the registry for requests that need what holds now
	versions       *storedVersions
	budget         *retrybudget.Budget
	agents         *agentClients
	relay          *relayedReads
	crashes        *crashes
	blocked        *blockedContents
	dialer         *dialer.Dialer
	conns          *keepalive.Conns
	checkConns     *keepalive.Conns
	memory         *bytebudget.Budget // bytes held for requests
	usage          *customer.Usage
	pool           *connpool.Pool // connections to targets
	fds            *descriptor.Budget
	callers        atomic.Pointer[callerListener] // nil before Run
	routeTable     atomic.Pointer[route.Table]
	routesReadAt   atomic.Pointer[time.Time] // when the last read began that found no newer routes than those in force; nil before
	targetsKnown   atomic.Bool
	routesWanted   atomic.Bool               // a request needs to know whether there are newer routes, since the last read of the routes began
	asksStore      atomic.Bool               // the follower of the routes reads a store that does not answer until it does
	installing     sync.Mutex                // of targets
	replacing      sync.Mutex                // of routes
	targetsInForce history.Span              // of the read of the targets that are in force; guarded by installing
	targetsReadAt  time.Time                 // when these were read; guarded by installing
	storeLostAt    atomic.Pointer[time.Time] // when the first read of the targets failed since the last that succeeded; nil if none did
	draining       atomic.Bool               // reports itself as not ready, so that the platform sends no new callers
	lastAnswers    context.Context           // ends when the last answers of a stop are given; requests that come later are refused
	endAnswers     context.CancelFunc
}

// New returns a gateway with the given settings, which does nothing until Run.
func New(config *settings.Config, log *logrus.Entry) *Gateway {
	f := fleet.New(config.Node.AvailabilityZone)
	d := dialer.New(nil)
	relay := newRelayedReads()
	crashes := newCrashes(log)
	origins := origin.New(time.Now)
	epochs := epoch.New()
	store := platform.NewStore(config.Store.Address, epochs, log)
	changes := propagation.New(config.Bounds.ApplyTime)
	agents := newAgentClients(config.Node.Name, config.Gateway.AgentPort, d, f, relay, crashes, origins, epochs, log)
	blockedContents := newBlockedContents(store, crashes, agents, log)
	crashes.changed = func() {
		agents.PushDemand()
		blockedContents.changed()
	}
	budget := retrybudget.New(retryLimits(config.Bounds))
	fds := descriptor.New(config.Limits.Descriptors)
	pool := connpool.New(fds.Targets())
	replicaClient := platform.NewTargetClient(sender.New(pool))
	f.Seed(xxhash.Sum64String(config.Node.Name) ^ uint64(time.Now().UnixNano()))
	f.SetConnections(replicaClient.IsConnected)
	pool.SetLongIdle(f.ConnectionShare)
	metrics.GetOrCreateGauge("gypsumbank_gateway_engine_load_ratio", func() float64 { return f.LoadRatio(time.Now()) })
	g := &Gateway{
		config:     config,
		log:        log,
		store:      store,
		changes:    changes,
		epochs:     epochs,
		departures: departure.New(time.Now),
		fleet:      f,
		budget:     budget,
		agents:     agents,
		relay:      relay,
		crashes:    crashes,
		blocked:    blockedContents,
		quotas:     newQuotas(config, d, log),
		dialer:     d,
		pool:       pool,
		fds:        fds,
		memory:     newRequestMemory(config),
		usage:      customer.NewUsage(),
	}
	metrics.GetOrCreateGauge("gypsumbank_gateway_routes_age_seconds", func() float64 { return float64(ageMs(g.routesConfirmedAt(), time.Now())) / 1000 })
	g.registry = refresh.New(g.readTargets, refreshInterval)
	g.versions = newStoredVersions(store, f, relay, changes, log)
	g.dispatcher = dispatch.New(f, replicaClient, agents, g.registry, budget, crashes, origins, log, time.Now)
	g.dispatcher.UseStoredVersions(g.versions)
	agents.recordEngine = g.dispatcher.RecordEngine
	g.conns = keepalive.New(g.idleTimeout, log)
	g.conns.SetLimits(g.callerLimits())
	g.checkConns = keepalive.New(func() time.Duration { return headerTimeout }, log)
	g.checkConns.SetLimits(checkLimits())
	g.memory.SetPace(int64(config.Limits.BodyPace))
	g.memory.CountBeside(func() int64 { return int64(g.conns.Open()) * connBytes })
	g.lastAnswers, g.endAnswers = context.WithCancel(context.Background())
	return g
}

// Apply applies the log level and the retry limits of changed settings. All other settings need a restart.
func (g *Gateway) Apply(config *settings.Config) {
	logs.SetLevel(g.log, config.Log)
	g.budget.SetLimits(retryLimits(config.Bounds))
}

func retryLimits(bounds settings.Bounds) retrybudget.Limits {
	return retrybudget.Limits{PerRequest: bounds.RetryRatio, ExtraPerWindow: bounds.RetryExtra, Window: bounds.RetryWindow}
}

// Run serves callers until ctx ends. Then it drains: it returns once all requests in progress have ended or the grace is
// over.
func (g *Gateway) Run(ctx context.Context) error {
	queue := inflow.New(g.config.Limits.LinkMbps)
	tcpListener, err := queue.Listen(g.config.Gateway.Listen)
	if err != nil {
		return fmt.Errorf("gateway: cannot accept callers: %w", err)
	}
	listener := newCallerListener(tcpListener, g.maxCallers(), queue.Connections())
	g.callers.Store(listener)
	readyListener, err := net.Listen("tcp", g.config.Gateway.Ready)
	if err != nil {
		return fmt.Errorf("gateway: cannot accept readiness checks: %w", err)
	}
	g.log.WithFields(logrus.Fields{"listen": g.config.Gateway.Listen, "store": g.config.Store.Address, "descriptors": g.fds.Limit(), "callers": g.maxCallers(), "link-mbps": g.config.Limits.LinkMbps, "listen-queue": queue.Connections(), "request-bytes": g.memory.Limit()}).Info("gateway starts")
	callerServer := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: maxHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: contextWithConn,
		ConnState: func(conn net.Conn, state http.ConnState) {
			g.conns.TrackState(conn, state)
			listener.trackState(conn, state)
		},
		ErrorLog: discardLog(),
	}
	readyServer := &http.Server{
		Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: g.checkConns.TrackState, ErrorLog: discardLog(),
	}
	metrics.RegisterSet(g.usage.Metrics())
	defer metrics.UnregisterSet(g.usage.Metrics(), false)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return ignoreServerClosed(callerServer.Serve(g.conns.Listener(listener))) })
	group.Go(func() error { return ignoreServerClosed(readyServer.Serve(g.checkConns.Listener(readyListener))) })
	group.Go(func() error { return g.followRoutes(serving, g.store) })
	group.Go(func() error { return g.followTargets(serving) })
	group.Go(func() error { return g.registry.Run(serving) })
	group.Go(func() error { return g.versions.run(serving) })
	group.Go(func() error { return g.followRelay(serving) })
	group.Go(func() error { return g.followRelayedRoutes(serving) })
	group.Go(func() error { return g.planLoads(serving) })
	group.Go(func() error { return g.crashes.checker.Run(serving) })
	group.Go(func() error { return g.blocked.run(serving) })
	group.Go(func() error { return g.quotas.run(serving) })
	group.Go(func() error { return g.dispatcher.WatchEngines(serving) })
	group.Go(func() error { return g.serveMetrics(serving) })
	group.Go(func() error { return g.reportLinkUse(serving, listener) })
	group.Go(func() error { return g.conns.Run(serving) })
	group.Go(func() error { return g.checkConns.Run(serving) })
	select {
	case <-ctx.Done():
		g.drain()
	case <-serving.Done():
	}
	stop()
	g.conns.End()
	g.checkConns.End()
	closeServers(g.log, callerServer, readyServer)
	err = group.Wait() // the goroutines that call agents.setAddresses end before agents.close
	g.agents.close()
	g.dialer.Close()
	g.log.WithError(err).Info("gateway stops")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain reports the gateway as not ready, so that the platform sends no more callers, and returns when the requests in
// progress have ended or the grace is nearly over.
func (g *Gateway) drain() {
	plan := grace.New(time.Now(), g.config.Gateway.Grace)
	g.dispatcher.Stop(plan.AnswerBy())
	g.draining.Store(true)
	g.conns.StartDrain()
	g.log.WithFields(logrus.Fields{
		"leaves-in-ms": time.Until(plan.LeaveFrom()).Milliseconds(), "answers-by-ms": time.Until(plan.AnswerBy()).Milliseconds(), "closes-in-ms": time.Until(plan.CloseAt()).Milliseconds(),
	}).Info("gateway drains")
	lastAnswers := time.AfterFunc(time.Until(plan.AnswerBy()), func() {
		g.endAnswers()
		g.dispatcher.EndAll()
	})
	defer lastAnswers.Stop()
	time.Sleep(time.Until(plan.LeaveFrom()))
	g.dispatcher.StopWaits()
	ctx, cancel := context.WithDeadline(context.Background(), plan.CloseAt())
	defer cancel()
	if err := g.conns.Drain(ctx, plan.AnswerBy()); err != nil {
		g.log.WithError(err).Warn("requests in progress are aborted at the end of the grace")
	}
}

// idleTimeout returns how long a connection of a caller may be idle; 0 means without limit.
func (g *Gateway) idleTimeout() time.Duration {
	if table := g.routeTable.Load(); table != nil {
		return table.Limits().IdleTimeout
	}
	return 0
}

// planLoads starts the model loads that the demand calls for, until ctx ends.
func (g *Gateway) planLoads(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		table := g.routeTable.Load()
		if table == nil || g.draining.Load() {
			continue
		}
		for name, service := range table.Services() {
			if service.Engine == nil {
				continue
			}
			for range maxPlansPerTick {
				placement, ok := g.fleet.Plan(name, time.Now())
				if !ok {
					break
				}
				go g.dispatcher.LoadModel(ctx, placement)
			}
		}
	}
}

// serveReady responds to the platform's readiness checks.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := g.checkReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

var (
	errDraining      = errors.New("draining")
	errNoRoutes      = errors.New("no routes known yet")
	errNoTargets     = errors.New("no targets known yet")
	errNoVersions    = errors.New("stored software versions not known yet")
	errNoDescriptors = errors.New("too few descriptors left for further callers")
)

// checkReady returns why the gateway must not get callers, or nil if it may.
func (g *Gateway) checkReady() error {
	switch {
	case g.draining.Load():
		return errDraining
	case g.routeTable.Load() == nil:
		return errNoRoutes
	case !g.targetsKnown.Load():
		return errNoTargets
	case !g.versions.checked():
		return errNoVersions
	case !g.canAccept():
		return errNoDescriptors
	}
	return nil
}

// canAccept reports whether the gateway can accept further callers.
func (g *Gateway) canAccept() bool {
	callers := g.callers.Load()
	return callers != nil && callers.canAccept(time.Now())
}

// closeServers closes servers and all their connections.
func closeServers(log *logrus.Entry, servers ...*http.Server) {
	for _, s := range servers {
		if err := s.Close(); err != nil {
			log.WithError(err).Debug("closing an HTTP server failed")
		}
	}
}

// discardLog returns a logger that drops the server's messages, which are about connections that callers closed.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// ignoreServerClosed returns nil for the error of a server that was closed, or whose listener was, on purpose.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

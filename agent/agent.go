package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gypsumbank/connpool"
	"gypsumbank/holder"
	"gypsumbank/inventory"
	"gypsumbank/logs"
	"gypsumbank/occupancy"
	"gypsumbank/pause"
	"gypsumbank/platform"
	"gypsumbank/probe"
	"gypsumbank/registry"
	"gypsumbank/route"
	"gypsumbank/rpcserver"
	"gypsumbank/sender"
	"gypsumbank/settings"
	"gypsumbank/weightstore"
	"gypsumbank/wire"
)

const (
	// restInterval is the pause between reports while no order is in progress.
	restInterval = 100 * time.Millisecond
	// orderInterval is the pause while one is; an adapter takes about 5 ms.
	orderInterval = 5 * time.Millisecond
	// loadInterval is the pause while only a model is being loaded or unloaded.
	loadInterval  = 25 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// orderTimeout is short, as the engine is on the same VM and an order may be sent again.
	orderTimeout = 150 * time.Millisecond
	storeTimeout = 700 * time.Millisecond
	routesWait   = 20 * time.Second
	routesPause  = 500 * time.Millisecond
	// routesRest is the pause after a change while no gateway relies on this agent's reads: engines change rarely, and a
	// series of changes should not be read by each agent.
	routesRest    = 3 * time.Second
	budgetPause   = 250 * time.Millisecond
	budgetTries   = 3
	identifyPause = 300 * time.Millisecond
	wantBuffer    = 256
)

// Agent is the process beside one engine.
type Agent struct {
	config   *settings.Config
	store    *platform.Store
	engine   *platform.TargetClient
	log      *logrus.Entry
	watchers *watchers
	held     *inventory.Inventory
	wants    chan *occupancy.LoadRequest
	tables   chan *route.Table
	fences   chan int64
	run      int64

	// The fields below belong to the goroutine of control.
	occupancy  *occupancy.Occupancy
	table      *route.Table
	budget     *weightstore.Budget
	service    string
	targetID   string    // of the engine's present run; empty until known
	identifyAt time.Time // when the engine may be asked for its id again
	report     registry.Report
	reportAt   time.Time
	down       bool
	fence      int64
	unanswered *platform.Order
	former     []inventory.Model  // that the engine held before its present run, until they are restored
	recorded   []string           // key of the models last handed to the inventory
	usage      map[string]float64 // requests at a time by model, averaged
	usedAt     time.Time          // when usage was last averaged
	budgetAt   time.Time          // when the budget of loads may be asked again
}

// New returns an agent for the engine named in config.
func New(config *settings.Config, log *logrus.Entry) *Agent {
	store := platform.NewStore(config.Store.Address)
	return &Agent{
		held:      inventory.New(store, config.Agent.Target, log),
		config:    config,
		store:     store,
		engine:    platform.NewTargetClient(sender.New(connpool.New())),
		log:       log,
		watchers:  newWatchers(time.Now),
		wants:     make(chan *occupancy.LoadRequest, wantBuffer),
		tables:    make(chan *route.Table, 1),
		fences:    make(chan int64, 1),
		run:       time.Now().UnixNano(),
		occupancy: occupancy.New(),
		usage:     map[string]float64{},
		service:   config.Agent.Service,
		budget:    weightstore.New(store, config.Agent.Service),
	}
}

// Apply puts a changed level of logs in force; the other settings need a restart.
func (a *Agent) Apply(config *settings.Config) { logs.SetLevel(a.log, config.Log) }

// Run observes and orders until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.config.Agent.Listen)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	server := rpcserver.New(nil, a.log)
	if err := wire.DRPCRegisterAgent(server.Mux(), &service{agent: a}); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	a.log.WithFields(logrus.Fields{"target": a.config.Agent.Target, "listen": a.config.Agent.Listen}).Info("agent starts")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx, listener) })
	group.Go(func() error { return a.acquireFence(ctx) })
	group.Go(func() error { return a.followRoutes(ctx) })
	group.Go(func() error { return a.followTargets(ctx) })
	group.Go(func() error { return a.held.Run(ctx) })
	group.Go(func() error { return a.control(ctx) })
	group.Go(func() error { return probe.New(a.config.Agent.Metrics, func() error { return nil }).Run(ctx) })
	err = group.Wait()
	a.log.WithError(err).Info("agent stops")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (a *Agent) acquireFence(ctx context.Context) error {
	fence, err := holder.New(a.store, a.config.Agent.Target, a.config.Node.Name, a.run, a.log).Acquire(ctx)
	if err != nil {
		return err
	}
	a.fences <- fence
	return nil
}

// followRoutes hands each new routing table to control; sizes of models change rarely.
func (a *Agent) followRoutes(ctx context.Context) error {
	version, inForce := int64(0), int64(0)
	for ctx.Err() == nil {
		begun := time.Now()
		table, next, err := a.nextRoutes(ctx, version)
		if err != nil {
			a.log.WithError(err).Debug("no routes")
			version = 0
			if err := pause.For(ctx, routesPause); err != nil {
				return err
			}
			continue
		}
		version = next
		if table != nil {
			inForce = max(inForce, table.Version())
		}
		if inForce > 0 {
			a.watchers.setRoutes(inForce)
		}
		if table == nil {
			if err := pause.For(ctx, routesPause-time.Since(begun)); err != nil {
				return err
			}
			continue
		}
		a.log.WithField("version", table.Version()).Info("routes in force")
		select {
		case a.tables <- table:
		case <-ctx.Done():
		}
		a.rest(ctx)
	}
	return ctx.Err()
}

// rest pauses after a change of the routes unless a gateway relies on this agent or comes to.
func (a *Agent) rest(ctx context.Context) {
	if a.watchers.isRelay() {
		return
	}
	select {
	case <-ctx.Done():
	case <-a.watchers.asked:
	case <-time.After(routesRest):
	}
}

func (a *Agent) nextRoutes(ctx context.Context, version int64) (*route.Table, int64, error) {
	if version == 0 {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return a.store.Routes(call)
	}
	wait := routesWait
	if a.watchers.isRelay() {
		wait = relayRoutesWait
	}
	call, cancel := context.WithTimeout(ctx, wait+storeTimeout/2)
	defer cancel()
	go func() { // a long wait gives way to short ones once a gateway relies on this agent
		select {
		case <-a.watchers.asked:
			cancel()
		case <-call.Done():
		}
	}()
	return a.store.RoutesAfter(call, version, wait)
}

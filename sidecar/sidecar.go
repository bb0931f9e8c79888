package sidecar

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/allowance"
	"gypsumbank/bytebudget"
	"gypsumbank/engine"
	"gypsumbank/handshake"
	"gypsumbank/idempotency"
	"gypsumbank/lifecycle"
	"gypsumbank/loader"
	"gypsumbank/node"
	"gypsumbank/placement"
	"gypsumbank/probe"
	"gypsumbank/queue"
	"gypsumbank/rpcserver"
	"gypsumbank/service"
	"gypsumbank/settings"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const (
	drainPollInterval = 50 * time.Millisecond
	// answerMemoryDivisor is the part of the memory that answers of the service may take while they are read: one in so many bytes.
	answerMemoryDivisor = 4
	maxPeersQueried     = 8                // targets queried before a model is dropped
	handoverTimeout     = 30 * time.Second // time after the grace period for runs to end and for keys to be handed over
)

// Sidecar serves all requests to one target. A sidecar of a model engine has an engine client and a loader; a sidecar
// of a plain service has a service client and a registry of idempotency keys. The others are nil.
type Sidecar struct {
	config   *settings.Config
	node     *node.Node
	server   *rpcserver.Server
	log      *logrus.Entry
	queue    *queue.Queue
	engine   *engine.Client
	loader   *loader.Loader
	service  *service.Client
	registry *idempotency.Registry

	draining atomic.Bool
	moveRuns chan struct{} // closed when runs in progress must move to other targets

	activeCalls  atomic.Int64       // calls of the service in progress
	answerMemory *bytebudget.Budget // for answers of the service

	crashes *crashRecord

	mu   sync.Mutex
	runs map[string]*run // by request ID
}

// New returns a sidecar with the given settings.
func New(config *settings.Config, log *logrus.Entry) (*Sidecar, error) {
	s := &Sidecar{
		config: config,
		node:   node.New(config, config.Sidecar.Kind, log),
		server: rpcserver.New(handshake.New(config.Node.Secret), log),
		log:    log,
		queue: queue.New(queue.Config{
			Slots:            config.Sidecar.Slots,
			MaxWaiting:       config.Sidecar.QueueLimit,
			MaxEstimatedWait: config.Sidecar.MaxQueueTime,
			Policy:           queue.Policy(config.Sidecar.QueuePolicy),
		}),
		answerMemory: bytebudget.New(bytebudget.AvailableMemory(config.Limits.MemoryMiB) / answerMemoryDivisor),

		moveRuns: make(chan struct{}),
		crashes:  &crashRecord{},
		runs:     map[string]*run{},
	}
	s.server.SetLimits(config.Limits)
	s.node.OnStatus(s.fillStatus)
	if config.Sidecar.Kind == vmlist.RoleModel {
		s.initModelTarget()
	} else {
		s.initServiceTarget()
	}
	if err := wire.DRPCRegisterNode(s.server.Mux(), s.node); err != nil {
		return nil, fmt.Errorf("register RPC service node: %w", err)
	}
	if err := wire.DRPCRegisterSidecar(s.server.Mux(), s); err != nil {
		return nil, fmt.Errorf("register RPC service sidecar: %w", err)
	}
	return s, nil
}

// Node returns the part of the sidecar that exchanges state with other processes.
func (s *Sidecar) Node() *node.Node { return s.node }

// Run serves until ctx ends and then drains: it refuses new requests, lets runs in progress end or moves them to other
// targets, and hands the idempotency keys over to other replicas.
func (s *Sidecar) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Node.Listen)
	if err != nil {
		return fmt.Errorf("open the listener for other processes: %w", err)
	}
	s.node.Ring().Add(timeline.Event{Kind: timeline.ProcessStarted, Target: s.config.Node.Name})
	components := []lifecycle.Component{
		func(ctx context.Context) error { return s.server.Run(ctx, listener) },
		s.node.Run,
		s.followAllowances,
		probe.New(s.config.Sidecar.Listen, s.ready).Run,
	}
	if s.loader != nil {
		components = append(components, s.loader.Run)
	}
	if s.registry != nil {
		components = append(components, s.registry.Run)
	}
	return lifecycle.New(s.drain, components...).Run(ctx)
}

func (s *Sidecar) initModelTarget() {
	s.engine = engine.New(s.config.Sidecar.Target)
	inputs := loader.Inputs{
		Target:     s.config.Node.Name,
		Allowances: s.allowances,
		Targets:    s.remainingTargets,
		HeldByPeer: s.heldByPeer,
	}
	s.loader = loader.New(s.config.Sidecar, inputs, s.engine, s.node.Ring(), s.log)
}

func (s *Sidecar) initServiceTarget() {
	s.service = service.New(s.config.Sidecar.Target)
	replicas := func() []vmlist.VM { return s.node.Roster().ServiceVMs(s.config.Sidecar.Service) }
	s.registry = idempotency.New(s.node.Table(), s.config.Sidecar, s.config.Node.Name, s.node.Info().GetIncarnation(), replicas, s.node.Ring(), s.log)
}

// allowances returns the list in force, or nil if the sidecar has none yet.
func (s *Sidecar) allowances() *allowance.List {
	current, err := s.node.Snapshot()
	if err != nil {
		return nil
	}
	return current.Allowances()
}

// remainingTargets returns the names of the model targets that are not leaving. This target is added even if it is not
// listed, unless it is draining.
func (s *Sidecar) remainingTargets() []string {
	ownName := s.config.Node.Name
	names := []string{}
	ownListed := false
	for _, vm := range s.node.Roster().ModelVMs() {
		if vm.Leaving {
			continue
		}
		names = append(names, vm.Name)
		ownListed = ownListed || vm.Name == ownName
	}
	if !ownListed && !s.draining.Load() {
		names = append(names, ownName)
	}
	return names
}

// heldByPeer reports whether another target holds a model, so that this target may drop its own copy. It queries the
// targets that most likely hold the model and returns an error only if none confirmed and a query failed.
//
// Targets that drop a model at the same time never drop all of its copies: each one marks its own copy before it
// queries the others, and a marked copy does not count as held. A target that confirms therefore marks its copy later
// than the one that asked, if at all, and the target that marks its copy last gets no confirmation and keeps it.
func (s *Sidecar) heldByPeer(ctx context.Context, model string, version uint32) (bool, error) {
	var lastErr error
	queried := 0
	for _, name := range placement.RankTargets(model, s.remainingTargets()) {
		vm, ok := s.node.Roster().Get(name)
		if !ok || name == s.config.Node.Name || queried == maxPeersQueried {
			continue
		}
		queried++
		client := wire.NewDRPCSidecarClient(s.node.Dialer().Conn(ctx, vm.Address))
		reply, err := client.Holds(ctx, &wire.HoldsRequest{Model: model, Version: version})
		if err != nil {
			lastErr = err
			continue
		}
		if reply.GetHeld() {
			return true, nil
		}
	}
	return false, lastErr
}

// Holds reports to another target, which is about to drop its copy of a model, whether this target keeps one.
func (s *Sidecar) Holds(ctx context.Context, request *wire.HoldsRequest) (*wire.HoldsReply, error) {
	if s.loader == nil || s.draining.Load() {
		return &wire.HoldsReply{}, nil
	}
	held, err := s.loader.Holds(ctx, request.GetModel(), request.GetVersion())
	return &wire.HoldsReply{Held: held}, err
}

// Prepare loads a model ahead of requests.
func (s *Sidecar) Prepare(ctx context.Context, request *wire.PrepareRequest) (*wire.PrepareReply, error) {
	if s.loader == nil || s.draining.Load() {
		return nil, errDraining
	}
	lease, err := s.loader.Acquire(ctx, request.GetModel(), "", true)
	if err != nil {
		return nil, err
	}
	s.loader.Release(lease)
	return &wire.PrepareReply{}, nil
}

// followAllowances updates the members' shares of the queue whenever new lists come into force.
func (s *Sidecar) followAllowances(ctx context.Context) error {
	for {
		changed := s.node.SnapshotChanged()
		if list := s.allowances(); list != nil {
			s.queue.SetShares(list.MemberShares())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Sidecar) ready() error {
	if s.draining.Load() {
		return errDraining
	}
	_, err := s.node.Snapshot()
	return err
}

// fillStatus adds the load of the sidecar and the state of its target to the status of the node.
func (s *Sidecar) fillStatus(status *wire.NodeStatus) {
	hint := &wire.Hint{
		Running: uint32(s.queue.Running()),
		Queued:  uint32(s.queue.Waiting()),
		Slots:   uint32(s.config.Sidecar.Slots),
		Leaving: s.draining.Load(),
	}
	status.Hint = hint
	if s.loader == nil {
		hint.TargetUp = true
		return
	}
	view := s.loader.View()
	hint.TargetUp = view.Up
	hint.MemoryBytes = view.CapacityBytes
	hint.CommittedBytes = view.CommittedBytes
	status.MemoryViolations = view.MemoryViolations
	for _, key := range view.Residents {
		hint.Resident = append(hint.Resident, key.Name)
	}
}

// drain refuses new requests, hands over the idempotency keys, gives runs and calls in progress the grace period to end and
// interrupts the remaining runs, which the entries then continue at other targets.
func (s *Sidecar) drain() {
	s.draining.Store(true)
	s.queue.Close()
	s.node.Ring().Add(timeline.Event{Kind: timeline.ProcessStopping, Target: s.config.Node.Name})
	s.log.Info("draining")
	if s.registry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), s.config.Sidecar.Grace+handoverTimeout)
		defer cancel()
		if err := s.registry.Drain(ctx); err != nil {
			s.log.WithError(err).Error("idempotency keys not handed over to other replicas")
		}
	}
	deadline := time.Now().Add(s.config.Sidecar.Grace)
	for (s.runCount() > 0 || s.activeCalls.Load() > 0) && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	close(s.moveRuns)
	for s.runCount() > 0 && time.Now().Before(deadline.Add(handoverTimeout)) {
		time.Sleep(drainPollInterval)
	}
	s.log.Info("drained")
}

func (s *Sidecar) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

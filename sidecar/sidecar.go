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
	drainPoll       = 50 * time.Millisecond
	maxHoldersAsked = 8
	handoverMax     = 30 * time.Second
)

// Sidecar serves all requests to one target.
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

	leaving atomic.Bool
	moving  chan struct{} // closed when runs in progress must move to other targets

	mu   sync.Mutex
	runs map[string]*run
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
		moving: make(chan struct{}),
		runs:   map[string]*run{},
	}
	s.node.OnStatus(s.describe)
	if config.Sidecar.Kind == vmlist.RoleModel {
		s.buildModel()
	} else {
		s.buildService()
	}
	if err := wire.DRPCRegisterNode(s.server.Mux(), s.node); err != nil {
		return nil, fmt.Errorf("register node: %w", err)
	}
	if err := wire.DRPCRegisterSidecar(s.server.Mux(), s); err != nil {
		return nil, fmt.Errorf("register sidecar: %w", err)
	}
	return s, nil
}

// Node returns the node of the sidecar.
func (s *Sidecar) Node() *node.Node { return s.node }

// Run serves until ctx ends, then drains: new work is refused at once, runs in progress end or move, keys are handed
// over.
func (s *Sidecar) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Node.Listen)
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	s.node.Ring().Add(timeline.Event{Kind: timeline.ProcessStarted, Target: s.config.Node.Name})
	parts := []lifecycle.Component{
		func(ctx context.Context) error { return s.server.Run(ctx, listener) },
		s.node.Run,
		s.followLists,
		probe.New(s.config.Sidecar.Listen, s.ready).Run,
	}
	if s.loader != nil {
		parts = append(parts, s.loader.Run)
	}
	if s.registry != nil {
		parts = append(parts, s.registry.Run)
	}
	return lifecycle.New(s.drain, parts...).Run(ctx)
}

func (s *Sidecar) buildModel() {
	s.engine = engine.New(s.config.Sidecar.Target)
	inputs := loader.Inputs{
		Target:     s.config.Node.Name,
		Allowances: s.allowances,
		Targets:    s.targets,
		HeldByPeer: s.heldByPeer,
	}
	s.loader = loader.New(s.config.Sidecar, inputs, s.engine, s.node.Ring(), s.log)
}

func (s *Sidecar) buildService() {
	s.service = service.New(s.config.Sidecar.Target)
	replicas := func() []vmlist.VM { return s.node.Roster().ServiceVMs(s.config.Sidecar.Service) }
	s.registry = idempotency.New(s.node.Table(), s.config.Sidecar, s.config.Node.Name, s.node.Info().GetIncarnation(), replicas, s.node.Ring(), s.log)
}

func (s *Sidecar) allowances() *allowance.List {
	current, err := s.node.Snapshot()
	if err != nil {
		return nil
	}
	return current.Allowances()
}

// targets returns the names of the model targets that stay, this one included.
func (s *Sidecar) targets() []string {
	own := s.config.Node.Name
	names := []string{}
	listed := false
	for _, vm := range s.node.Roster().ModelVMs() {
		if vm.Leaving {
			continue
		}
		names = append(names, vm.Name)
		listed = listed || vm.Name == own
	}
	if !listed && !s.leaving.Load() {
		names = append(names, own)
	}
	return names
}

// heldByPeer asks the targets that most likely hold the model. The own copy is marked by then, so of all targets that
// drop a model at once, the last to be marked gets no confirmation: the targets that others relied on were marked later
// than they.
func (s *Sidecar) heldByPeer(ctx context.Context, model string, version uint32) (bool, error) {
	var last error
	asked := 0
	for _, name := range placement.RankTargets(model, s.targets()) {
		vm, ok := s.node.Roster().Get(name)
		if !ok || name == s.config.Node.Name || asked == maxHoldersAsked {
			continue
		}
		asked++
		client := wire.NewDRPCSidecarClient(s.node.Dialer().Conn(ctx, vm.Address))
		reply, err := client.Holds(ctx, &wire.HoldsRequest{Model: model, Version: version})
		if err != nil {
			last = err
			continue
		}
		if reply.GetHeld() {
			return true, nil
		}
	}
	return false, last
}

// Holds answers a target that wants to drop its copy of a model.
func (s *Sidecar) Holds(ctx context.Context, request *wire.HoldsRequest) (*wire.HoldsReply, error) {
	if s.loader == nil || s.leaving.Load() {
		return &wire.HoldsReply{}, nil
	}
	held, err := s.loader.Holds(ctx, request.GetModel(), request.GetVersion())
	return &wire.HoldsReply{Held: held}, err
}

// Prepare loads a model for requests to come.
func (s *Sidecar) Prepare(ctx context.Context, request *wire.PrepareRequest) (*wire.PrepareReply, error) {
	if s.loader == nil || s.leaving.Load() {
		return nil, errLeaving
	}
	lease, err := s.loader.Acquire(ctx, request.GetModel(), "", true)
	if err != nil {
		return nil, err
	}
	s.loader.Release(lease)
	return &wire.PrepareReply{}, nil
}

func (s *Sidecar) followLists(ctx context.Context) error {
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
	if s.leaving.Load() {
		return errLeaving
	}
	_, err := s.node.Snapshot()
	return err
}

func (s *Sidecar) describe(status *wire.NodeStatus) {
	hint := &wire.Hint{
		Running: uint32(s.queue.Running()),
		Queued:  uint32(s.queue.Waiting()),
		Slots:   uint32(s.config.Sidecar.Slots),
		Leaving: s.leaving.Load(),
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

// drain refuses new work, lets runs end within the grace and moves the rest.
func (s *Sidecar) drain() {
	s.leaving.Store(true)
	s.queue.Close()
	s.node.Ring().Add(timeline.Event{Kind: timeline.ProcessStopping, Target: s.config.Node.Name})
	s.log.Info("draining")
	if s.registry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), s.config.Sidecar.Grace+handoverMax)
		defer cancel()
		if err := s.registry.Drain(ctx); err != nil {
			s.log.WithError(err).Error("keys not handed over")
		}
	}
	deadline := time.Now().Add(s.config.Sidecar.Grace)
	for s.running() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	close(s.moving)
	for s.running() > 0 && time.Now().Before(deadline.Add(handoverMax)) {
		time.Sleep(drainPoll)
	}
	s.log.Info("drained")
}

func (s *Sidecar) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

package loader

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/allowance"
	"gypsumbank/engine"
	"gypsumbank/fence"
	"gypsumbank/placement"
	"gypsumbank/residency"
	"gypsumbank/settings"
	"gypsumbank/timeline"
)

var (
	// ErrNotResident reports that the target does not hold the model and was not asked to load it.
	ErrNotResident = errors.New("model is not resident on this target")
	// ErrUnknownModel reports that the model or adapter is not listed.
	ErrUnknownModel = errors.New("model is not listed")
	// ErrTargetDown reports that the engine does not answer.
	ErrTargetDown = errors.New("engine is down")
	// ErrSuperseded reports that another process orders the engine with a higher fencing number.
	ErrSuperseded = errors.New("another sidecar has taken over the engine")
)

const (
	pollInterval  = 300 * time.Millisecond
	stateTimeout  = time.Second
	keepInterval  = 5 * time.Second
	adapterOrders = 4
	commandBuffer = 256

	// onDemand is the residency policy that loads and drops by requests alone; it serves as a baseline.
	onDemand = "on-demand"
)

// Inputs are what the loader reads from the rest of the process.
type Inputs struct {
	Target     string
	Allowances func() *allowance.List                                                // nil until known
	Targets    func() []string                                                       // names of the live model targets
	HeldByPeer func(ctx context.Context, model string, version uint32) (bool, error) // whether a target of higher rank keeps a copy
}

// Loader owns the residency of one engine; a single goroutine runs all decisions.
type Loader struct {
	config   settings.Sidecar
	inputs   Inputs
	engine   *engine.Client
	ring     *timeline.Ring
	log      *logrus.Entry
	commands chan command
	ended    chan struct{}
	view     atomic.Pointer[View]
	// nextFence is the fencing number that the next poll sends first, or 0.
	nextFence atomic.Uint64

	// The fields below belong to the goroutine of Run.
	memory      *residency.Map
	incarnation uint64
	fence       fence.Token
	waiting     []*leaseRequest
	modelOrder  bool
	adapters    int
	stopped     error
	loaded      map[residency.Key]time.Time // when a copy was last loaded
	lastCopies  map[residency.Key]time.Time // when a copy was last found to be the only one
	placed      *placement.Map
	placedFor   placementKey
}

// View is what other goroutines may see of the residency.
type View struct {
	Residents        []residency.Key
	Incarnation      uint64 // of the engine; 0 while it does not answer
	CapacityBytes    uint64
	CommittedBytes   uint64
	Up               bool
	MemoryViolations uint64
}

type placementKey struct {
	list    *allowance.List
	targets string
}

type leaseRequest struct {
	ctx     context.Context
	model   string
	adapter string
	mayLoad bool
	granted chan grant
}

type grant struct {
	lease Lease
	err   error
}

// Lease keeps a model and its adapter from being dropped until it is released.
type Lease struct {
	Model   residency.Key
	Adapter residency.Key // zero without an adapter
}

// New returns a loader that sends orders to client once Run is called.
func New(config settings.Sidecar, inputs Inputs, client *engine.Client, ring *timeline.Ring, log *logrus.Entry) *Loader {
	l := &Loader{
		config:     config,
		inputs:     inputs,
		engine:     client,
		ring:       ring,
		log:        log,
		commands:   make(chan command, commandBuffer),
		ended:      make(chan struct{}),
		lastCopies: map[residency.Key]time.Time{},
		loaded:     map[residency.Key]time.Time{},
		memory:     residency.New(config.MemoryBytes-config.KVReserveBytes, config.ChecksFence, config.OrderLifetime),
	}
	l.view.Store(&View{CapacityBytes: l.memory.Size()})
	return l
}

// View returns the latest view of the residency.
func (l *Loader) View() *View { return l.view.Load() }

// Acquire returns a lease on a model and adapter, waiting for loads if mayLoad is set or one is under way; the error
// is one of this package's or that of ctx.
func (l *Loader) Acquire(ctx context.Context, model, adapter string, mayLoad bool) (Lease, error) {
	w := &leaseRequest{ctx: ctx, model: model, adapter: adapter, mayLoad: mayLoad, granted: make(chan grant, 1)}
	if err := l.send(ctx, w); err != nil {
		return Lease{}, err
	}
	select {
	case granted := <-w.granted:
		return granted.lease, granted.err
	case <-ctx.Done():
		go l.abandon(w)
		return Lease{}, ctx.Err()
	case <-l.ended:
		return Lease{}, ErrTargetDown
	}
}

// Release ends a lease.
func (l *Loader) Release(lease Lease) {
	select {
	case l.commands <- released{lease: lease}:
	case <-l.ended:
	}
}

// Holds reports whether the target keeps a copy of a model that it is not about to drop.
func (l *Loader) Holds(ctx context.Context, model string, version uint32) (bool, error) {
	question := holdsQuestion{
		key:    residency.Key{Kind: engine.KindModel, Name: model, Version: version},
		answer: make(chan bool, 1),
	}
	if err := l.send(ctx, question); err != nil {
		return false, err
	}
	select {
	case held := <-question.answer:
		return held, nil
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.ended:
		return false, ErrTargetDown
	}
}

// Run decides and sends orders until ctx ends; it returns ErrSuperseded if another process has taken over the engine.
func (l *Loader) Run(ctx context.Context) error {
	defer close(l.ended)
	polls := make(chan report, 1)
	go l.poll(ctx, polls, 0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-l.commands:
			l.handle(ctx, c)
		case r := <-polls:
			l.absorb(r)
			l.loadPlaced(ctx)
			go l.poll(ctx, polls, pollInterval)
		}
		if l.stopped != nil {
			return l.stopped
		}
		l.serveWaiting(ctx)
		l.publish()
	}
}

func (l *Loader) send(ctx context.Context, c command) error {
	select {
	case l.commands <- c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ended:
		return ErrTargetDown
	}
}

// abandon releases a lease that was granted after its caller had gone.
func (l *Loader) abandon(w *leaseRequest) {
	select {
	case granted := <-w.granted:
		if granted.err == nil {
			l.Release(granted.lease)
		}
	case <-l.ended:
	}
}

func (l *Loader) publish() {
	l.view.Store(&View{
		Residents:        l.memory.Residents(),
		Incarnation:      l.incarnation,
		CapacityBytes:    l.memory.Size(),
		CommittedBytes:   l.memory.Committed(),
		Up:               l.incarnation != 0,
		MemoryViolations: l.view.Load().MemoryViolations,
	})
}

func (l *Loader) event(kind timeline.Kind, key residency.Key, detail string) {
	l.ring.Add(timeline.Event{Kind: kind, Target: l.inputs.Target, Model: key.String(), Detail: detail})
	l.log.WithFields(logrus.Fields{"model": key.String(), "detail": detail}).Info(string(kind))
}

// leaseFor returns the keys that serve a request: the listed version, or an older one that is still resident.
func (l *Loader) leaseFor(list *allowance.List, model, adapter string) (Lease, error) {
	listed, ok := list.Model(model)
	if !ok {
		return Lease{}, fmt.Errorf("%w: %s", ErrUnknownModel, model)
	}
	lease := Lease{Model: l.resident(residency.Key{Kind: engine.KindModel, Name: model, Version: listed.Version})}
	if adapter == "" {
		return lease, nil
	}
	attached, ok := list.Adapter(adapter)
	if !ok || attached.Base != model {
		return Lease{}, fmt.Errorf("%w: adapter %s of model %s", ErrUnknownModel, adapter, model)
	}
	lease.Adapter = l.resident(residency.Key{Kind: engine.KindAdapter, Name: adapter, Version: attached.Version})
	return lease, nil
}

func (l *Loader) resident(listed residency.Key) residency.Key {
	if l.memory.Resident(listed) {
		return listed
	}
	for _, key := range l.memory.Residents() {
		if key.Kind == listed.Kind && key.Name == listed.Name {
			return key
		}
	}
	return listed
}

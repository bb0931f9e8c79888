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
	// ErrNotResident reports that the target does not hold the model and may not load it or cannot load it now.
	ErrNotResident = errors.New("model is not resident on this target")
	// ErrUnknownModel reports that the model or adapter is not listed.
	ErrUnknownModel = errors.New("model is not listed")
	// ErrTargetDown reports that the engine does not answer or that Run has returned.
	ErrTargetDown = errors.New("engine is down")
	// ErrSuperseded reports that another sidecar has sent the engine a higher fencing number.
	ErrSuperseded = errors.New("another sidecar has taken over the engine")
)

const (
	pollInterval            = 300 * time.Millisecond
	stateTimeout            = time.Second
	lastCopyRecheckInterval = 5 * time.Second // time for which a copy found to be the last one stays
	maxAdapterOrders        = 4               // in flight at the same time
	commandBuffer           = 256

	// onDemand is the residency policy that loads models for requests only, not by placement. It is a baseline for
	// comparisons.
	onDemand = "on-demand"
)

// Inputs provides what the loader needs from the rest of the process.
type Inputs struct {
	Target     string                 // name of this loader's target
	Allowances func() *allowance.List // nil until known
	Targets    func() []string        // names of the model targets that are not leaving
	// HeldByPeer reports whether another target confirms that it holds the model.
	HeldByPeer func(ctx context.Context, model string, version uint32) (bool, error)
}

// Loader controls the residency of one engine. A single goroutine, that of Run, makes all decisions.
type Loader struct {
	config   settings.Sidecar
	inputs   Inputs
	engine   *engine.Client
	ring     *timeline.Ring
	log      *logrus.Entry
	commands chan command
	done     chan struct{}
	view     atomic.Pointer[View]
	// nextFence is the fencing number that the next poll sends before it asks for the state, or 0 for none.
	nextFence atomic.Uint64

	// Only the goroutine of Run uses the fields below.
	tracker             *residency.Tracker
	incarnation         uint64      // of the engine; 0 while it does not answer
	fence               fence.Token // last number used
	waiting             []*leaseRequest
	modelOrderActive    bool // an order for a model is in flight or being decided; there is at most one
	activeAdapterOrders int
	stopErr             error                       // ends Run
	loadedAt            map[residency.Key]time.Time // when a load was last confirmed
	lastCopyAt          map[residency.Key]time.Time // when a check of the peers last found no other copy
	placement           *placement.Assignment
	placementKey        placementKey
}

// View is a snapshot of the engine's residency for other goroutines.
type View struct {
	Residents        []residency.Key
	Incarnation      uint64 // of the engine; 0 while it does not answer
	CapacityBytes    uint64 // accelerator memory for weights
	CommittedBytes   uint64 // loaded, or may still be loaded by orders
	Up               bool
	MemoryViolations uint64 // orders that would have exceeded the engine's memory, as counted by the engine
}

// placementKey holds the inputs of a placement; the cached placement is recomputed when they change.
type placementKey struct {
	list    *allowance.List
	targets string // names, separated by NUL bytes
}

// leaseRequest is a waiting call of Acquire.
type leaseRequest struct {
	ctx     context.Context
	model   string
	adapter string
	mayLoad bool
	result  chan leaseResult
}

type leaseResult struct {
	lease Lease
	err   error
}

// Lease prevents the unloading of a model and an adapter until it is released.
type Lease struct {
	Model   residency.Key
	Adapter residency.Key // zero without an adapter
}

// New returns a loader that controls the engine of client once Run is called.
func New(config settings.Sidecar, inputs Inputs, client *engine.Client, ring *timeline.Ring, log *logrus.Entry) *Loader {
	l := &Loader{
		config:     config,
		inputs:     inputs,
		engine:     client,
		ring:       ring,
		log:        log,
		commands:   make(chan command, commandBuffer),
		done:       make(chan struct{}),
		lastCopyAt: map[residency.Key]time.Time{},
		loadedAt:   map[residency.Key]time.Time{},
		tracker:    residency.New(config.MemoryBytes-config.KVReserveBytes, config.ChecksFence, config.OrderLifetime),
	}
	l.view.Store(&View{CapacityBytes: l.tracker.CapacityBytes()})
	return l
}

// View returns the state after the last decision of Run.
func (l *Loader) View() *View { return l.view.Load() }

// Acquire returns a lease on a model and, unless it is empty, an adapter. It waits for the model's load if mayLoad is
// set or the load is in progress already; an adapter is loaded in any case. The error wraps one of this package or is
// that of ctx.
func (l *Loader) Acquire(ctx context.Context, model, adapter string, mayLoad bool) (Lease, error) {
	request := &leaseRequest{ctx: ctx, model: model, adapter: adapter, mayLoad: mayLoad, result: make(chan leaseResult, 1)}
	if err := l.sendCommand(ctx, request); err != nil {
		return Lease{}, err
	}
	select {
	case result := <-request.result:
		return result.lease, result.err
	case <-ctx.Done():
		go l.releaseAbandoned(request)
		return Lease{}, ctx.Err()
	case <-l.done:
		return Lease{}, ErrTargetDown
	}
}

// Release ends a lease.
func (l *Loader) Release(lease Lease) {
	select {
	case l.commands <- leaseReleased{lease: lease}:
	case <-l.done:
	}
}

// Holds reports whether the target holds a copy of a model version that is not marked for unloading.
func (l *Loader) Holds(ctx context.Context, model string, version uint32) (bool, error) {
	query := holdsQuery{
		key:    residency.Key{Kind: engine.KindModel, Name: model, Version: version},
		answer: make(chan bool, 1),
	}
	if err := l.sendCommand(ctx, query); err != nil {
		return false, err
	}
	select {
	case holds := <-query.answer:
		return holds, nil
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.done:
		return false, ErrTargetDown
	}
}

// Run polls the engine, serves leases and sends orders until ctx ends. It returns ErrSuperseded if another sidecar has
// taken over the engine.
func (l *Loader) Run(ctx context.Context) error {
	defer close(l.done)
	polls := make(chan pollResult, 1)
	go l.poll(ctx, polls, 0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-l.commands:
			l.handleCommand(ctx, c)
		case r := <-polls:
			l.applyPoll(r)
			l.loadAssigned(ctx)
			go l.poll(ctx, polls, pollInterval)
		}
		if l.stopErr != nil {
			return l.stopErr
		}
		l.answerLeaseRequests(ctx)
		l.publishView()
	}
}

// sendCommand passes a command to the goroutine of Run.
func (l *Loader) sendCommand(ctx context.Context, c command) error {
	select {
	case l.commands <- c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return ErrTargetDown
	}
}

// releaseAbandoned waits for the result of a request whose caller has gone and releases the lease if one was granted.
func (l *Loader) releaseAbandoned(request *leaseRequest) {
	select {
	case result := <-request.result:
		if result.err == nil {
			l.Release(result.lease)
		}
	case <-l.done:
	}
}

func (l *Loader) publishView() {
	l.view.Store(&View{
		Residents:        l.tracker.Residents(),
		Incarnation:      l.incarnation,
		CapacityBytes:    l.tracker.CapacityBytes(),
		CommittedBytes:   l.tracker.CommittedBytes(),
		Up:               l.incarnation != 0,
		MemoryViolations: l.view.Load().MemoryViolations,
	})
}

// recordEvent adds an event about a model or adapter to the timeline and to the log.
func (l *Loader) recordEvent(kind timeline.Kind, key residency.Key, detail string) {
	l.ring.Add(timeline.Event{Kind: kind, Target: l.inputs.Target, Model: key.String(), Detail: detail})
	l.log.WithFields(logrus.Fields{"model": key.String(), "detail": detail}).Info(string(kind))
}

// resolveLease returns the versions of a model and an adapter that serve a request, as chosen by residentVersion.
func (l *Loader) resolveLease(list *allowance.List, model, adapter string) (Lease, error) {
	listedModel, ok := list.Model(model)
	if !ok {
		return Lease{}, fmt.Errorf("%w: %s", ErrUnknownModel, model)
	}
	lease := Lease{Model: l.residentVersion(residency.Key{Kind: engine.KindModel, Name: model, Version: listedModel.Version})}
	if adapter == "" {
		return lease, nil
	}
	listedAdapter, ok := list.Adapter(adapter)
	if !ok || listedAdapter.Base != model {
		return Lease{}, fmt.Errorf("%w: adapter %s of model %s", ErrUnknownModel, adapter, model)
	}
	lease.Adapter = l.residentVersion(residency.Key{Kind: engine.KindAdapter, Name: adapter, Version: listedAdapter.Version})
	return lease, nil
}

// residentVersion returns the listed version if it is resident or no version is, else a resident one.
func (l *Loader) residentVersion(listed residency.Key) residency.Key {
	if l.tracker.Resident(listed) {
		return listed
	}
	for _, key := range l.tracker.Residents() {
		if key.Kind == listed.Kind && key.Name == listed.Name {
			return key
		}
	}
	return listed
}

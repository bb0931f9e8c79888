package loader

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"gypsumbank/allowance"
	"gypsumbank/engine"
	"gypsumbank/placement"
	"gypsumbank/residency"
	"gypsumbank/timeline"
)

// answerLeaseRequests answers the waiting lease requests; those that wait for a load remain.
func (l *Loader) answerLeaseRequests(ctx context.Context) {
	list := l.inputs.Allowances()
	if list == nil {
		return
	}
	pending := l.waiting[:0]
	for _, request := range l.waiting {
		if !l.answerLeaseRequest(ctx, list, request) {
			pending = append(pending, request)
		}
	}
	l.waiting = pending
}

// answerLeaseRequest grants or refuses a lease, or starts the loads that it needs. It reports whether it has answered.
func (l *Loader) answerLeaseRequest(ctx context.Context, list *allowance.List, request *leaseRequest) bool {
	if request.ctx.Err() != nil {
		request.result <- leaseResult{err: request.ctx.Err()}
		return true
	}
	if l.incarnation == 0 {
		request.result <- leaseResult{err: ErrTargetDown}
		return true
	}
	lease, err := l.resolveLease(list, request.model, request.adapter)
	if err != nil {
		request.result <- leaseResult{err: err}
		return true
	}
	if l.acquireLease(lease) {
		request.result <- leaseResult{lease: lease}
		return true
	}
	if !request.mayLoad && !l.tracker.Resident(lease.Model) && !l.tracker.Pending(lease.Model) {
		request.result <- leaseResult{err: ErrNotResident}
		return true
	}
	if err := l.startLeaseLoads(ctx, list, lease); err != nil {
		request.result <- leaseResult{err: err}
		return true
	}
	return false
}

// acquireLease adds a user to the model and the adapter of a lease if both are resident, and reports whether they are.
func (l *Loader) acquireLease(lease Lease) bool {
	now := time.Now()
	if !l.tracker.Acquire(lease.Model, now) {
		return false
	}
	if lease.Adapter == (residency.Key{}) || l.tracker.Acquire(lease.Adapter, now) {
		return true
	}
	l.tracker.Release(lease.Model, now)
	return false
}

// startLeaseLoads starts the loads that a lease needs. The error wraps ErrNotResident if they can't be made now.
func (l *Loader) startLeaseLoads(ctx context.Context, list *allowance.List, lease Lease) error {
	model, _ := list.Model(lease.Model.Name)
	if err := l.startLoadOrUnload(ctx, list, lease.Model, "", model.Bytes); err != nil {
		return err
	}
	if lease.Adapter == (residency.Key{}) {
		return nil
	}
	adapter, _ := list.Adapter(lease.Adapter.Name)
	return l.startLoadOrUnload(ctx, list, lease.Adapter, adapter.Base, adapter.Bytes)
}

// startLoadOrUnload sends a load order for a key that is neither resident nor pending, or frees memory for it first.
// While the limit of orders is reached it does nothing; the caller tries again after the next command or poll.
func (l *Loader) startLoadOrUnload(ctx context.Context, list *allowance.List, key residency.Key, base string, bytes uint64) error {
	if l.tracker.Resident(key) || l.tracker.Pending(key) || l.orderLimitReached(key.Kind) {
		return nil
	}
	err := l.tracker.Reserve(key, bytes, time.Now())
	switch {
	case err == nil:
		l.sendLoad(ctx, key, base, bytes)
		return nil
	case errors.Is(err, residency.ErrNoMemory):
		if bytes > l.tracker.CapacityBytes() {
			return fmt.Errorf("%w: %s needs %d bytes, the target has %d", ErrNotResident, key, bytes, l.tracker.CapacityBytes())
		}
		return l.freeMemory(ctx, list, key)
	case errors.Is(err, residency.ErrQuarantine):
		return fmt.Errorf("%w: %w", ErrNotResident, err)
	}
	return nil
}

// orderLimitReached reports whether no further order of this kind may be sent until one has ended.
func (l *Loader) orderLimitReached(kind engine.Kind) bool {
	if kind == engine.KindModel {
		return l.modelOrderActive
	}
	return l.activeAdapterOrders >= maxAdapterOrders
}

func (l *Loader) sendLoad(ctx context.Context, key residency.Key, base string, bytes uint64) {
	order := l.beginOrder(key, base, bytes)
	l.recordEvent(timeline.OrderSent, key, "load")
	go l.sendOrder(ctx, key, order, false)
}

func (l *Loader) sendUnload(ctx context.Context, key residency.Key) {
	order := l.beginOrder(key, "", 0)
	l.recordEvent(timeline.OrderSent, key, "unload")
	go l.sendOrder(ctx, key, order, true)
}

// beginOrder counts an order as in flight and returns it with the next fencing number.
func (l *Loader) beginOrder(key residency.Key, base string, bytes uint64) engine.Order {
	if key.Kind == engine.KindModel {
		l.modelOrderActive = true
	} else {
		l.activeAdapterOrders++
	}
	l.fence = l.fence.Next()
	return engine.Order{
		ID:      fmt.Sprintf("%s-%d", l.inputs.Target, l.fence),
		Fence:   uint64(l.fence),
		Kind:    key.Kind,
		Name:    key.Name,
		Base:    base,
		Version: key.Version,
		Bytes:   bytes,
	}
}

// sendOrder sends an order to the engine, waits for its outcome and passes it to the goroutine of Run.
func (l *Loader) sendOrder(ctx context.Context, key residency.Key, order engine.Order, unload bool) {
	ctx, cancel := context.WithTimeout(ctx, l.config.OrderTimeout)
	defer cancel()
	call := l.engine.Load
	if unload {
		call = l.engine.Unload
	}
	result := orderResult{key: key, unload: unload, err: call(ctx, order)}
	select {
	case l.commands <- result:
	case <-l.done:
	}
}

// freeMemory marks a copy for unloading. An adapter, a model that is not listed, and an older version beside the
// resident listed one are unloaded at once, any other model only if another target confirms that it holds a copy.
func (l *Loader) freeMemory(ctx context.Context, list *allowance.List, incoming residency.Key) error {
	victim, ok := l.chooseVictim(list, incoming)
	if !ok {
		return fmt.Errorf("%w: all memory is in use", ErrNotResident)
	}
	if err := l.tracker.BeginUnload(victim); err != nil {
		return nil
	}
	listed, isListed := list.Model(victim.Name)
	if victim.Kind == engine.KindAdapter || !isListed || l.tracker.Resident(residency.Key{Kind: engine.KindModel, Name: victim.Name, Version: listed.Version}) {
		l.sendUnload(ctx, victim)
		return nil
	}
	l.modelOrderActive = true
	go l.checkPeerCopies(ctx, victim)
	return nil
}

// checkPeerCopies asks whether another target holds a copy of a model that is marked for unloading here, and passes the
// answer to the goroutine of Run.
func (l *Loader) checkPeerCopies(ctx context.Context, victim residency.Key) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	held, err := l.inputs.HeldByPeer(ctx, victim.Name, victim.Version)
	decision := unloadDecision{key: victim, heldElsewhere: held}
	if err != nil {
		decision.detail = err.Error()
	}
	select {
	case l.commands <- decision:
	case <-l.done:
	}
}

// handleUnloadDecision unloads a marked model if another target holds it. Otherwise the copy counts as the last one and
// becomes resident again.
func (l *Loader) handleUnloadDecision(ctx context.Context, decision unloadDecision) {
	l.modelOrderActive = false
	if !decision.heldElsewhere {
		l.tracker.CancelUnload(decision.key)
		l.lastCopyAt[decision.key] = time.Now()
		return
	}
	l.sendUnload(ctx, decision.key)
}

// chooseVictim returns the idle copy with the highest eviction rank to unload in favor of incoming, among equals the
// least recently used one. It passes over copies that were recently loaded or found to be the last, and those that
// requests wait for.
func (l *Loader) chooseVictim(list *allowance.List, incoming residency.Key) (residency.Key, bool) {
	best, bestRank := residency.Key{}, 0
	for _, key := range l.tracker.Idle() {
		if key == incoming || time.Since(l.lastCopyAt[key]) < lastCopyRecheckInterval || l.isRequested(key) {
			continue
		}
		if l.isListed(list, key) && time.Since(l.loadedAt[key]) < l.config.MinimumStay {
			continue
		}
		if rank := l.evictionRank(list, key, incoming); rank > bestRank {
			best, bestRank = key, rank
		}
	}
	return best, bestRank > 0
}

// evictionRank returns a number that is higher for copies that are less useful here: first those that are not listed,
// then adapters, then models that are not assigned to this target. It is 0 for models if incoming is an adapter, as no
// model is unloaded for an adapter.
func (l *Loader) evictionRank(list *allowance.List, key, incoming residency.Key) int {
	switch {
	case !l.isListed(list, key):
		return 4
	case key.Kind == engine.KindAdapter:
		return 3
	case incoming.Kind == engine.KindAdapter:
		return 0
	case !l.currentPlacement(list).IsAssigned(key.Name, l.inputs.Target):
		return 2
	}
	return 1
}

// isListed reports whether the allowances list this version of the model or adapter.
func (l *Loader) isListed(list *allowance.List, key residency.Key) bool {
	if key.Kind == engine.KindAdapter {
		adapter, ok := list.Adapter(key.Name)
		return ok && adapter.Version == key.Version
	}
	model, ok := list.Model(key.Name)
	return ok && model.Version == key.Version
}

// isRequested reports whether a lease request waits for any version of the model or adapter.
func (l *Loader) isRequested(key residency.Key) bool {
	for _, request := range l.waiting {
		if request.model == key.Name || request.adapter == key.Name {
			return true
		}
	}
	return false
}

// loadAssigned starts the load of the next model that the placement assigns to this target and that is not resident.
func (l *Loader) loadAssigned(ctx context.Context) {
	list := l.inputs.Allowances()
	if list == nil || l.incarnation == 0 || l.modelOrderActive || l.config.Residency == onDemand {
		return
	}
	assignment := l.currentPlacement(list)
	for _, model := range list.Models() {
		key := residency.Key{Kind: engine.KindModel, Name: model.Name, Version: model.Version}
		if !assignment.IsAssigned(model.Name, l.inputs.Target) || l.tracker.Resident(key) || l.tracker.Pending(key) {
			continue
		}
		if err := l.startLoadOrUnload(ctx, list, key, "", model.Bytes); err != nil {
			continue
		}
		if l.modelOrderActive {
			return
		}
	}
}

// currentPlacement returns the placement of the listed models on all targets, each taken to have this target's memory.
func (l *Loader) currentPlacement(list *allowance.List) *placement.Assignment {
	targets := l.inputs.Targets()
	key := placementKey{list: list, targets: strings.Join(targets, "\x00")}
	if l.placement == nil || l.placementKey != key {
		l.placement = placement.New(list.Models(), targets, l.tracker.CapacityBytes())
		l.placementKey = key
	}
	return l.placement
}

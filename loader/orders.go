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

// serveWaiting grants leases on what is resident and starts loads for the rest.
func (l *Loader) serveWaiting(ctx context.Context) {
	list := l.inputs.Allowances()
	if list == nil {
		return
	}
	kept := l.waiting[:0]
	for _, w := range l.waiting {
		if !l.serve(ctx, list, w) {
			kept = append(kept, w)
		}
	}
	l.waiting = kept
}

// serve answers a request and reports whether it is done with.
func (l *Loader) serve(ctx context.Context, list *allowance.List, w *leaseRequest) bool {
	if w.ctx.Err() != nil {
		w.granted <- grant{err: w.ctx.Err()}
		return true
	}
	if l.incarnation == 0 {
		w.granted <- grant{err: ErrTargetDown}
		return true
	}
	lease, err := l.leaseFor(list, w.model, w.adapter)
	if err != nil {
		w.granted <- grant{err: err}
		return true
	}
	if l.use(lease) {
		w.granted <- grant{lease: lease}
		return true
	}
	if !w.mayLoad && !l.memory.Resident(lease.Model) && !l.memory.Pending(lease.Model) {
		w.granted <- grant{err: ErrNotResident}
		return true
	}
	if err := l.loadLease(ctx, list, lease); err != nil {
		w.granted <- grant{err: err}
		return true
	}
	return false
}

func (l *Loader) use(lease Lease) bool {
	now := time.Now()
	if !l.memory.Use(lease.Model, now) {
		return false
	}
	if lease.Adapter == (residency.Key{}) || l.memory.Use(lease.Adapter, now) {
		return true
	}
	l.memory.Done(lease.Model, now)
	return false
}

// loadLease starts the loads that a lease lacks; the error wraps ErrNotResident if they can't be made now.
func (l *Loader) loadLease(ctx context.Context, list *allowance.List, lease Lease) error {
	model, _ := list.Model(lease.Model.Name)
	if err := l.ensure(ctx, list, lease.Model, "", model.Bytes); err != nil {
		return err
	}
	if lease.Adapter == (residency.Key{}) {
		return nil
	}
	adapter, _ := list.Adapter(lease.Adapter.Name)
	return l.ensure(ctx, list, lease.Adapter, adapter.Base, adapter.Bytes)
}

// ensure starts a load of a key that is neither resident nor on its way, or a drop that makes room for it.
func (l *Loader) ensure(ctx context.Context, list *allowance.List, key residency.Key, base string, bytes uint64) error {
	if l.memory.Resident(key) || l.memory.Pending(key) || l.orderBusy(key.Kind) {
		return nil
	}
	err := l.memory.Reserve(key, bytes, time.Now())
	switch {
	case err == nil:
		l.sendLoad(ctx, key, base, bytes)
		return nil
	case errors.Is(err, residency.ErrNoMemory):
		if bytes > l.memory.Size() {
			return fmt.Errorf("%w: %s needs %d bytes, the target has %d", ErrNotResident, key, bytes, l.memory.Size())
		}
		return l.makeRoom(ctx, list, key)
	case errors.Is(err, residency.ErrQuarantine):
		return fmt.Errorf("%w: %w", ErrNotResident, err)
	}
	return nil
}

func (l *Loader) orderBusy(kind engine.Kind) bool {
	if kind == engine.KindModel {
		return l.modelOrder
	}
	return l.adapters >= adapterOrders
}

func (l *Loader) sendLoad(ctx context.Context, key residency.Key, base string, bytes uint64) {
	order := l.order(key, base, bytes)
	l.event(timeline.OrderSent, key, "load")
	go l.execute(ctx, key, order, false)
}

func (l *Loader) sendUnload(ctx context.Context, key residency.Key) {
	order := l.order(key, "", 0)
	l.event(timeline.OrderSent, key, "unload")
	go l.execute(ctx, key, order, true)
}

func (l *Loader) order(key residency.Key, base string, bytes uint64) engine.Order {
	if key.Kind == engine.KindModel {
		l.modelOrder = true
	} else {
		l.adapters++
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

func (l *Loader) execute(ctx context.Context, key residency.Key, order engine.Order, unload bool) {
	ctx, cancel := context.WithTimeout(ctx, l.config.OrderTimeout)
	defer cancel()
	send := l.engine.Load
	if unload {
		send = l.engine.Unload
	}
	ended := orderEnded{key: key, unload: unload, err: send(ctx, order)}
	select {
	case l.commands <- ended:
	case <-l.ended:
	}
}

// makeRoom marks the least useful idle copy and asks whether it may be dropped.
func (l *Loader) makeRoom(ctx context.Context, list *allowance.List, wanted residency.Key) error {
	victim, ok := l.victim(list, wanted)
	if !ok {
		return fmt.Errorf("%w: all memory is in use", ErrNotResident)
	}
	if err := l.memory.Unload(victim); err != nil {
		return nil
	}
	listed, isListed := list.Model(victim.Name)
	if victim.Kind == engine.KindAdapter || !isListed || l.memory.Resident(residency.Key{Kind: engine.KindModel, Name: victim.Name, Version: listed.Version}) {
		l.sendUnload(ctx, victim)
		return nil
	}
	l.modelOrder = true
	go l.askDrop(ctx, victim)
	return nil
}

// askDrop asks the targets of higher rank whether one of them keeps a copy.
func (l *Loader) askDrop(ctx context.Context, victim residency.Key) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	held, err := l.inputs.HeldByPeer(ctx, victim.Name, victim.Version)
	decided := dropDecided{key: victim, allowed: held}
	if err != nil {
		decided.detail = err.Error()
	}
	select {
	case l.commands <- decided:
	case <-l.ended:
	}
}

func (l *Loader) decideDrop(ctx context.Context, decided dropDecided) {
	l.modelOrder = false
	if !decided.allowed {
		l.memory.Keep(decided.key)
		l.lastCopies[decided.key] = time.Now()
		return
	}
	l.sendUnload(ctx, decided.key)
}

// victim returns the idle copy that is best dropped: one that is not listed, then one that is not placed here, then the
// least recently used one.
func (l *Loader) victim(list *allowance.List, wanted residency.Key) (residency.Key, bool) {
	best, bestRank := residency.Key{}, 0
	for _, key := range l.memory.Idle() {
		if key == wanted || time.Since(l.lastCopies[key]) < keepInterval || l.isWanted(key) {
			continue
		}
		if l.listed(list, key) && time.Since(l.loaded[key]) < l.config.MinimumStay {
			continue
		}
		if rank := l.dropRank(list, key, wanted); rank > bestRank {
			best, bestRank = key, rank
		}
	}
	return best, bestRank > 0
}

// dropRank is higher for copies that are less useful here and 0 for those that must stay.
func (l *Loader) dropRank(list *allowance.List, key, wanted residency.Key) int {
	switch {
	case !l.listed(list, key):
		return 4
	case key.Kind == engine.KindAdapter:
		return 3
	case wanted.Kind == engine.KindAdapter:
		return 0
	case !l.place(list).Home(key.Name, l.inputs.Target):
		return 2
	}
	return 1
}

func (l *Loader) listed(list *allowance.List, key residency.Key) bool {
	if key.Kind == engine.KindAdapter {
		adapter, ok := list.Adapter(key.Name)
		return ok && adapter.Version == key.Version
	}
	model, ok := list.Model(key.Name)
	return ok && model.Version == key.Version
}

func (l *Loader) isWanted(key residency.Key) bool {
	for _, w := range l.waiting {
		if w.model == key.Name || w.adapter == key.Name {
			return true
		}
	}
	return false
}

// loadPlaced loads the next model that is placed here and not resident.
func (l *Loader) loadPlaced(ctx context.Context) {
	list := l.inputs.Allowances()
	if list == nil || l.incarnation == 0 || l.modelOrder || l.config.Residency == onDemand {
		return
	}
	placed := l.place(list)
	for _, model := range list.Models() {
		key := residency.Key{Kind: engine.KindModel, Name: model.Name, Version: model.Version}
		if !placed.Home(model.Name, l.inputs.Target) || l.memory.Resident(key) || l.memory.Pending(key) {
			continue
		}
		if err := l.ensure(ctx, list, key, "", model.Bytes); err != nil {
			continue
		}
		if l.modelOrder {
			return
		}
	}
}

func (l *Loader) place(list *allowance.List) *placement.Map {
	targets := l.inputs.Targets()
	wanted := placementKey{list: list, targets: strings.Join(targets, "\x00")}
	if l.placed == nil || l.placedFor != wanted {
		l.placed = placement.New(list.Models(), targets, l.memory.Size())
		l.placedFor = wanted
	}
	return l.placed
}

package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gypsumbank/placement"
	"gypsumbank/table"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
)

func (r *Registry) assign(ctx context.Context) {
	current, version, ok := r.read(ctx)
	if !ok {
		return
	}
	next := current
	if !r.control.heartbeatKnown {
		return
	}
	taken := r.takeFree(ctx, &next)
	given := r.chooseHandover(&next)
	if len(taken) == 0 && len(given) == 0 {
		r.adopt(ctx, current)
		return
	}
	if !r.flushSlots(ctx, given) {
		r.restore(given)
		return
	}
	err := r.write(ctx, next, version)
	if errors.Is(err, table.ErrUnavailable) {
		// The write may have taken effect, so slots given up stay closed until the next read tells.
		return
	}
	if errors.Is(err, table.ErrConflict) {
		r.restore(given)
		return
	}
	r.adopt(ctx, next)
}

// takeFree claims the slots whose owner is certainly not running and that rank highest here.
func (r *Registry) takeFree(ctx context.Context, next *ownership) []int {
	preferred := r.preferred()
	var taken []int
	for number := range next.Slots {
		own := &next.Slots[number]
		if own.Target == r.target && own.Incarnation == r.incarnation {
			continue
		}
		mine := preferred(number) == r.target
		switch {
		case own.Target == "" && mine:
		case own.Target == r.target && own.Incarnation < r.incarnation:
			own.UncleanMS = r.uncleanSince(ctx, own.Target, own.UncleanMS)
		case mine && r.gone(own.Target):
			own.UncleanMS = r.uncleanSince(ctx, own.Target, own.UncleanMS)
		default:
			continue
		}
		own.Target, own.Incarnation = r.target, r.incarnation
		taken = append(taken, number)
	}
	return taken
}

// uncleanSince returns the time of this takeover if the earlier owner may have run calls without claims.
func (r *Registry) uncleanSince(ctx context.Context, target string, before int64) int64 {
	now := r.now()
	last := r.control.predecessor
	if target != r.target {
		last = r.heartbeatOf(ctx, target)
	}
	if last == nil || now.Sub(time.UnixMilli(last.AtMS)) >= tablelessAfter-clockSkew {
		return now.UnixMilli()
	}
	return before
}

func (r *Registry) heartbeatOf(ctx context.Context, target string) *heartbeat {
	item, err := r.table.Get(ctx, r.heartbeatKey(target))
	if err != nil {
		return nil
	}
	var last heartbeat
	if err := json.Unmarshal(item.Value, &last); err != nil {
		return nil
	}
	return &last
}

// chooseHandover closes and returns the owned slots that another settled replica should have.
func (r *Registry) chooseHandover(next *ownership) []int {
	preferred := r.preferred()
	r.mu.Lock()
	defer r.mu.Unlock()
	var given []int
	for number := range next.Slots {
		own := &next.Slots[number]
		if own.Target != r.target || own.Incarnation != r.incarnation {
			continue
		}
		held, ok := r.owned[number]
		better := preferred(number)
		if !ok || better == "" || better == r.target || r.runningIn(number) {
			continue
		}
		held.loaded = false
		own.Target, own.Incarnation = "", 0
		given = append(given, number)
	}
	return given
}

func (r *Registry) restore(given []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, number := range given {
		if own, ok := r.owned[number]; ok {
			own.loaded = true
		}
	}
}

// preferred returns a function from a slot to the settled replica that ranks highest for it.
func (r *Registry) preferred() func(int) string {
	var names []string
	for _, vm := range r.vms() {
		settled := r.now().Sub(r.control.firstSeen[vm.Name]) >= settleTime
		if !vm.Leaving && (settled || vm.Name == r.target) {
			names = append(names, vm.Name)
		}
	}
	return func(number int) string {
		best := ""
		for _, name := range names {
			if best == "" || placement.RanksHigher(slotName(r.config.Service, number), name, best) {
				best = name
			}
		}
		return best
	}
}

// PreferredReplica returns the listed replica that most likely owns a key, for callers that know no owner.
func PreferredReplica(service string, key Key, vms []vmlist.VM) string {
	best := ""
	for _, vm := range vms {
		if !vm.Leaving && (best == "" || placement.RanksHigher(slotName(service, key.Slot()), vm.Name, best)) {
			best = vm.Name
		}
	}
	return best
}

func slotName(service string, number int) string { return fmt.Sprintf("%s/%02d", service, number) }

func (r *Registry) gone(target string) bool {
	since, ok := r.control.missing[target]
	return ok && r.now().Sub(since) >= goneAfter
}

// adopt takes over the assignment that stands in the table and loads the claims of new slots.
func (r *Registry) adopt(ctx context.Context, current ownership) {
	r.mu.Lock()
	var load []int
	for number, own := range current.Slots {
		r.owners[number] = own.Target
		mine := own.Target == r.target && own.Incarnation == r.incarnation
		held, ok := r.owned[number]
		switch {
		case mine && !ok:
			held = &slot{}
			if own.UncleanMS > 0 {
				held.unclean = time.UnixMilli(own.UncleanMS)
			}
			r.owned[number] = held
			load = append(load, number)
		case mine && !held.loaded:
			load = append(load, number)
		case !mine && ok:
			delete(r.owned, number)
			r.forget(number)
		}
	}
	r.mu.Unlock()
	for _, number := range load {
		r.load(ctx, number)
	}
}

// load reads the claims of a slot, so that a key without a record is known not to have been claimed.
func (r *Registry) load(ctx context.Context, number int) {
	prefix := fmt.Sprintf("claims/%s/%02d/", r.config.Service, number)
	after := ""
	for {
		items, err := r.table.List(ctx, prefix, after, listPage)
		if err != nil {
			return
		}
		for _, item := range items {
			r.remember(number, prefix, item)
			after = item.Key
		}
		if len(items) < listPage {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if own, ok := r.owned[number]; ok {
		own.loaded = true
		r.ring.Add(timeline.Event{Kind: timeline.SlotsTaken, Target: r.target, Detail: slotName(r.config.Service, number)})
	}
}

func (r *Registry) remember(number int, prefix string, item table.Item) {
	stored, err := decodeClaim(item)
	if err != nil {
		r.log.WithError(err).Error("claim skipped")
		stored = claim{Status: lost}
	}
	hash := item.Key[len(prefix):]
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.records[hash]; ok || stored.Status == aborted {
		return
	}
	known := &record{hash: hash, slot: number, finished: make(chan struct{}), touched: r.now()}
	known.take(stored, item.Version)
	close(known.finished)
	r.records[hash] = known
}

func (r *Registry) forget(number int) {
	for hash, known := range r.records {
		if known.slot == number {
			delete(r.records, hash)
		}
	}
}

func (r *Registry) read(ctx context.Context) (ownership, uint64, bool) {
	item, err := r.table.Get(ctx, r.slotsKey())
	if errors.Is(err, table.ErrNotFound) {
		return ownership{}, 0, true
	}
	if err != nil {
		return ownership{}, 0, false
	}
	var current ownership
	if err := json.Unmarshal(item.Value, &current); err != nil {
		r.log.WithError(err).Error("assignment of slots cannot be read")
		return ownership{}, 0, false
	}
	return current, item.Version, true
}

func (r *Registry) write(ctx context.Context, next ownership, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode assignment: %w", err)
	}
	put := table.Put{Key: r.slotsKey(), Value: value, IfVersion: version}
	return r.table.Write(ctx, table.Transaction{Puts: []table.Put{put}})
}

func (r *Registry) giveUp(ctx context.Context) bool {
	current, version, ok := r.read(ctx)
	if !ok {
		return false
	}
	next := current
	for number := range next.Slots {
		own := &next.Slots[number]
		if own.Target == r.target && own.Incarnation == r.incarnation {
			own.Target, own.Incarnation = "", 0
		}
	}
	if next == current {
		return true
	}
	return r.write(ctx, next, version) == nil
}

func (r *Registry) slotsKey() string { return "slots/" + r.config.Service }

func (r *Registry) heartbeatKey(target string) string {
	return fmt.Sprintf("owners/%s/%s", r.config.Service, target)
}

package residency

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"gypsumbank/engine"
)

var (
	// ErrNoMemory reports that an item does not fit into the memory that is not committed.
	ErrNoMemory = errors.New("not enough memory on the accelerator")
	// ErrQuarantine reports that orders of an earlier sidecar incarnation may still reach the engine.
	ErrQuarantine = errors.New("orders of an earlier incarnation may still take effect")
	// ErrBusy reports that the state of an item does not allow the operation, or that the item has users.
	ErrBusy = errors.New("item is in use")
)

// Key identifies one version of a model or an adapter.
type Key struct {
	Kind    engine.Kind
	Name    string
	Version uint32
}

// String returns the name of the item on the engine.
func (k Key) String() string { return fmt.Sprintf("%s@%d", k.Name, k.Version) }

type state int

const (
	loading   state = iota // reserved for a load order that has no answer yet
	resident               // loaded
	unloading              // marked for an unload order, or waiting for its answer
	unknown                // the outcome of an order is not known
	tombstone              // not loaded, but a delayed or repeated load order may still take effect
)

// item is a model or adapter whose memory is committed, in every state.
type item struct {
	state          state
	bytes          uint64
	users          int
	lastUsed       time.Time
	changedAt      time.Time // a state requested at or before this time does not remove the item
	ordersExpireAt time.Time // time until which an order for the item may take effect, unless it is fenced
}

// Tracker counts every byte that is loaded or that an order in flight may load, so that the accelerator's memory is
// never overcommitted. It is not safe for concurrent use.
type Tracker struct {
	capacityBytes uint64
	checksFence   bool
	orderLifetime time.Duration
	quarantined   bool      // orders of an earlier incarnation may take effect
	quarantineEnd time.Time // a state requested from then on shows the effects of all such orders
	items         map[Key]*item
}

// New returns a tracker for an accelerator with capacityBytes of memory for weights. checksFence states that the engine
// refuses orders with old fencing numbers; other engines may apply an order until orderLifetime after it was sent.
func New(capacityBytes uint64, checksFence bool, orderLifetime time.Duration) *Tracker {
	return &Tracker{
		capacityBytes: capacityBytes,
		checksFence:   checksFence,
		orderLifetime: orderLifetime,
		items:         map[Key]*item{},
	}
}

// Adopt replaces the items by those of an engine that is new or reachable again and keeps the users of items that it
// still holds. If the engine does not check fencing numbers, loads are refused while orders sent earlier may still
// arrive.
func (t *Tracker) Adopt(residents []engine.Resident, now time.Time) {
	previous := t.items
	t.items = map[Key]*item{}
	t.quarantined = !t.checksFence
	t.quarantineEnd = now.Add(t.orderLifetime)
	for _, reported := range residents {
		key := Key{Kind: reported.Kind, Name: reported.Name, Version: reported.Version}
		adopted := &item{state: resident, bytes: reported.Bytes, lastUsed: now, changedAt: now, ordersExpireAt: now.Add(t.orderLifetime)}
		if reported.Loading {
			adopted.state = unknown
		}
		if known, ok := previous[key]; ok {
			adopted.users = known.users
			adopted.lastUsed = known.lastUsed
		}
		t.items[key] = adopted
	}
}

// Reconcile updates the items from the engine's state as requested at askedAt: it adds items that were not known,
// resolves those of unknown outcome and returns the keys of resident items that the engine no longer holds. An item
// that has changed since askedAt is not removed.
func (t *Tracker) Reconcile(residents []engine.Resident, askedAt, now time.Time) []Key {
	held := map[Key]engine.Resident{}
	for _, reported := range residents {
		key := Key{Kind: reported.Kind, Name: reported.Name, Version: reported.Version}
		held[key] = reported
		t.reconcileHeld(key, reported, askedAt, now)
	}
	var lost []Key
	for key, it := range t.items {
		if _, ok := held[key]; ok || !it.changedAt.Before(askedAt) {
			continue
		}
		if it.state == resident {
			lost = append(lost, key)
		}
		t.reconcileAbsent(key, it, askedAt)
	}
	if !askedAt.Before(t.quarantineEnd) {
		t.quarantined = false
	}
	return lost
}

// Reserve commits the memory of an item; it precedes the load order. For a tombstone it commits the larger of both
// sizes, as the earlier load order may still take effect.
func (t *Tracker) Reserve(key Key, bytes uint64, now time.Time) error {
	if t.quarantined {
		return ErrQuarantine
	}
	if known, ok := t.items[key]; ok {
		if known.state != tombstone {
			return ErrBusy
		}
		if t.CommittedBytes()-known.bytes+max(bytes, known.bytes) > t.capacityBytes {
			return ErrNoMemory
		}
		known.state = loading
		known.bytes = max(known.bytes, bytes)
		known.changedAt = now
		known.ordersExpireAt = now.Add(t.orderLifetime)
		return nil
	}
	if t.CommittedBytes()+bytes > t.capacityBytes {
		return ErrNoMemory
	}
	t.items[key] = &item{state: loading, bytes: bytes, lastUsed: now, changedAt: now, ordersExpireAt: now.Add(t.orderLifetime)}
	return nil
}

// ConfirmLoad records that a load order was confirmed.
func (t *Tracker) ConfirmLoad(key Key, now time.Time) {
	if it, ok := t.items[key]; ok {
		it.state = resident
		it.changedAt = now
		it.lastUsed = now
	}
}

// MarkFenced records that from now on the engine refuses all orders sent so far, so that those of unknown outcome have
// either taken effect or never will.
func (t *Tracker) MarkFenced(now time.Time) {
	for _, it := range t.items {
		if it.state == unknown {
			it.ordersExpireAt = now
			it.changedAt = now
		}
	}
}

// HasUnknown reports whether the outcome of any order is not known.
func (t *Tracker) HasUnknown() bool {
	for _, it := range t.items {
		if it.state == unknown {
			return true
		}
	}
	return false
}

// LoadRefused records that the engine refused a load order.
func (t *Tracker) LoadRefused(key Key, now time.Time) {
	if it, ok := t.items[key]; ok && it.state == loading {
		t.removeOrTombstone(key, it, now)
	}
}

// MarkUnknown records that an order got no answer, so that it may take effect until its lifetime has passed.
func (t *Tracker) MarkUnknown(key Key, now time.Time) {
	if it, ok := t.items[key]; ok {
		it.state = unknown
		it.changedAt = now
		it.ordersExpireAt = now.Add(t.orderLifetime)
	}
}

// BeginUnload marks a resident item without users for unloading, so that it gets no new users; it precedes the unload
// order.
func (t *Tracker) BeginUnload(key Key) error {
	it, ok := t.items[key]
	if !ok || it.state != resident || it.users > 0 {
		return ErrBusy
	}
	it.state = unloading
	return nil
}

// ConfirmUnload records that an unload order was confirmed.
func (t *Tracker) ConfirmUnload(key Key, now time.Time) {
	if it, ok := t.items[key]; ok && it.state == unloading {
		t.removeOrTombstone(key, it, now)
	}
}

// CancelUnload makes an item marked for unloading resident again, after its unload order was refused or not sent.
func (t *Tracker) CancelUnload(key Key) {
	if it, ok := t.items[key]; ok && it.state == unloading {
		it.state = resident
	}
}

// Acquire adds a user to an item if it is resident, and reports whether it is.
func (t *Tracker) Acquire(key Key, now time.Time) bool {
	it, ok := t.items[key]
	if !ok || it.state != resident {
		return false
	}
	it.users++
	it.lastUsed = now
	return true
}

// Release removes a user that Acquire added.
func (t *Tracker) Release(key Key, now time.Time) {
	if it, ok := t.items[key]; ok && it.users > 0 {
		it.users--
		it.lastUsed = now
	}
}

// Resident reports whether an item is loaded and not marked for unloading.
func (t *Tracker) Resident(key Key) bool {
	it, ok := t.items[key]
	return ok && it.state == resident
}

// Pending reports whether an order for the item is in flight, about to be sent or of unknown outcome.
func (t *Tracker) Pending(key Key) bool {
	it, ok := t.items[key]
	return ok && it.state != resident && it.state != tombstone
}

// CommittedBytes returns the bytes that are loaded or that orders may still load.
func (t *Tracker) CommittedBytes() uint64 {
	var total uint64
	for _, it := range t.items {
		total += it.bytes
	}
	return total
}

// CapacityBytes returns the bytes of accelerator memory that weights may use.
func (t *Tracker) CapacityBytes() uint64 { return t.capacityBytes }

// Residents returns the keys of the resident items, sorted by name.
func (t *Tracker) Residents() []Key {
	return t.keysWhere(func(it *item) bool { return it.state == resident })
}

// Idle returns the keys of the resident items without users, the least recently used first.
func (t *Tracker) Idle() []Key {
	idle := t.keysWhere(func(it *item) bool { return it.state == resident && it.users == 0 })
	sort.SliceStable(idle, func(i, j int) bool { return t.items[idle[i]].lastUsed.Before(t.items[idle[j]].lastUsed) })
	return idle
}

func (t *Tracker) keysWhere(match func(*item) bool) []Key {
	var keys []Key
	for key, it := range t.items {
		if match(it) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

// reconcileHeld updates an item that the engine reports. An item of unknown outcome or a tombstone becomes resident if
// its load is complete; on an engine that does not check fencing numbers, only after the orders for it have expired.
func (t *Tracker) reconcileHeld(key Key, reported engine.Resident, askedAt, now time.Time) {
	it, ok := t.items[key]
	if !ok {
		t.items[key] = &item{state: resident, bytes: reported.Bytes, lastUsed: now, changedAt: now, ordersExpireAt: now.Add(t.orderLifetime)}
		return
	}
	switch it.state {
	case unknown, tombstone:
		if !reported.Loading && (t.checksFence || !askedAt.Before(it.ordersExpireAt)) {
			it.state = resident
			it.changedAt = now
		}
	case loading, resident, unloading:
	}
}

// reconcileAbsent updates an item that the engine does not report.
func (t *Tracker) reconcileAbsent(key Key, it *item, askedAt time.Time) {
	switch it.state {
	case resident:
		t.removeOrTombstone(key, it, askedAt)
	case unknown, tombstone:
		if t.ordersSettled(it, askedAt) {
			delete(t.items, key)
		}
	case loading, unloading:
	}
}

// removeOrTombstone removes an item that the engine does not hold. While an order could still load it, it remains as a
// tombstone, which keeps its memory committed.
func (t *Tracker) removeOrTombstone(key Key, it *item, now time.Time) {
	if t.ordersSettled(it, now) {
		delete(t.items, key)
		return
	}
	it.state = tombstone
	it.changedAt = now
}

// ordersSettled reports whether no order for the item can take effect any more. On an engine that checks fencing
// numbers, that holds once the outcome of the last order is known, as a repeat of an earlier one is refused.
func (t *Tracker) ordersSettled(it *item, now time.Time) bool {
	if t.checksFence && it.state != unknown {
		return true
	}
	return !now.Before(it.ordersExpireAt)
}

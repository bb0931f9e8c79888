package residency

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"gypsumbank/engine"
)

var (
	// ErrNoMemory reports that an item does not fit beside what is committed.
	ErrNoMemory = errors.New("not enough memory on the accelerator")
	// ErrQuarantine reports that orders of an earlier incarnation may still arrive.
	ErrQuarantine = errors.New("orders of an earlier incarnation may still take effect")
	// ErrBusy reports that an item is used or changing.
	ErrBusy = errors.New("item is in use")
)

// Key names one version of a model or an adapter.
type Key struct {
	Kind    engine.Kind
	Name    string
	Version uint32
}

// String returns the name that the engine knows the item by.
func (k Key) String() string { return fmt.Sprintf("%s@%d", k.Name, k.Version) }

type state int

const (
	loading   state = iota // load sent, no answer yet
	resident               // load confirmed
	unloading              // unload sent, no answer yet
	unknown                // an order's fate is not known
	tombstone              // unloaded, but a repeated load may still arrive
)

type item struct {
	state    state
	bytes    uint64
	users    int
	lastUsed time.Time
	changed  time.Time // when the state last changed
	until    time.Time // end of the time in which an order for the item may still take effect
}

// Map counts every byte that is loaded or that an order still on its way could load; it is not safe for concurrent use.
type Map struct {
	size          uint64
	checksFence   bool
	orderLifetime time.Duration
	quarantined   bool      // orders of an earlier incarnation may take effect unseen
	quarantine    time.Time // a state asked for from then on shows all effects of such orders
	items         map[Key]*item
}

// New returns the map of an accelerator with size bytes for weights; orders that the engine does not fence may take
// effect until orderLifetime after they were sent.
func New(size uint64, checksFence bool, orderLifetime time.Duration) *Map {
	return &Map{
		size:          size,
		checksFence:   checksFence,
		orderLifetime: orderLifetime,
		items:         map[Key]*item{},
	}
}

// Adopt replaces the map by what a newly met engine holds and refuses loads while orders of others may still arrive.
func (m *Map) Adopt(residents []engine.Resident, now time.Time) {
	previous := m.items
	m.items = map[Key]*item{}
	m.quarantined = !m.checksFence
	m.quarantine = now.Add(m.orderLifetime)
	for _, found := range residents {
		key := Key{Kind: found.Kind, Name: found.Name, Version: found.Version}
		adopted := &item{state: resident, bytes: found.Bytes, lastUsed: now, changed: now, until: now.Add(m.orderLifetime)}
		if found.Loading {
			adopted.state = unknown
		}
		if known, ok := previous[key]; ok {
			adopted.users = known.users
			adopted.lastUsed = known.lastUsed
		}
		m.items[key] = adopted
	}
}

// Reconcile compares the map with the engine's state as asked for at the time asked: it counts items that it did not
// know, settles unknown ones and returns the keys that the engine has lost.
func (m *Map) Reconcile(residents []engine.Resident, asked, now time.Time) []Key {
	held := map[Key]engine.Resident{}
	for _, found := range residents {
		key := Key{Kind: found.Kind, Name: found.Name, Version: found.Version}
		held[key] = found
		m.settleHeld(key, found, asked, now)
	}
	var lost []Key
	for key, it := range m.items {
		if _, ok := held[key]; ok || !it.changed.Before(asked) {
			continue
		}
		if it.state == resident {
			lost = append(lost, key)
		}
		m.settleAbsent(key, it, asked)
	}
	if !asked.Before(m.quarantine) {
		m.quarantined = false
	}
	return lost
}

// Reserve commits the memory of an item before its load order is sent.
func (m *Map) Reserve(key Key, bytes uint64, now time.Time) error {
	if m.quarantined {
		return ErrQuarantine
	}
	if known, ok := m.items[key]; ok {
		if known.state != tombstone {
			return ErrBusy
		}
		if m.Committed()-known.bytes+max(bytes, known.bytes) > m.size {
			return ErrNoMemory
		}
		known.state = loading
		known.bytes = max(known.bytes, bytes)
		known.changed = now
		known.until = now.Add(m.orderLifetime)
		return nil
	}
	if m.Committed()+bytes > m.size {
		return ErrNoMemory
	}
	m.items[key] = &item{state: loading, bytes: bytes, lastUsed: now, changed: now, until: now.Add(m.orderLifetime)}
	return nil
}

// Loaded records that a load order was confirmed.
func (m *Map) Loaded(key Key, now time.Time) {
	if it, ok := m.items[key]; ok {
		it.state = resident
		it.changed = now
		it.lastUsed = now
	}
}

// Fenced records that the engine refuses all orders sent so far that it has not taken.
func (m *Map) Fenced(now time.Time) {
	for _, it := range m.items {
		if it.state == unknown {
			it.until = now
			it.changed = now
		}
	}
}

// HasUnknown reports whether the fate of any order is not known.
func (m *Map) HasUnknown() bool {
	for _, it := range m.items {
		if it.state == unknown {
			return true
		}
	}
	return false
}

// Refused records that the engine said that it did not take a load order.
func (m *Map) Refused(key Key, now time.Time) {
	if it, ok := m.items[key]; ok && it.state == loading {
		m.release(key, it, now)
	}
}

// MarkUnknown records that the answer to an order did not come.
func (m *Map) MarkUnknown(key Key, now time.Time) {
	if it, ok := m.items[key]; ok {
		it.state = unknown
		it.changed = now
		it.until = now.Add(m.orderLifetime)
	}
}

// Unload marks an unused item before its unload order is sent.
func (m *Map) Unload(key Key) error {
	it, ok := m.items[key]
	if !ok || it.state != resident || it.users > 0 {
		return ErrBusy
	}
	it.state = unloading
	return nil
}

// Unloaded records that an unload order was confirmed.
func (m *Map) Unloaded(key Key, now time.Time) {
	if it, ok := m.items[key]; ok && it.state == unloading {
		m.release(key, it, now)
	}
}

// Keep returns an item marked for unloading to use, if no unload order was sent.
func (m *Map) Keep(key Key) {
	if it, ok := m.items[key]; ok && it.state == unloading {
		it.state = resident
	}
}

// Use counts one more user of a resident item and reports whether it is resident.
func (m *Map) Use(key Key, now time.Time) bool {
	it, ok := m.items[key]
	if !ok || it.state != resident {
		return false
	}
	it.users++
	it.lastUsed = now
	return true
}

// Done counts one user less.
func (m *Map) Done(key Key, now time.Time) {
	if it, ok := m.items[key]; ok && it.users > 0 {
		it.users--
		it.lastUsed = now
	}
}

// Resident reports whether an item is loaded and not about to be dropped.
func (m *Map) Resident(key Key) bool {
	it, ok := m.items[key]
	return ok && it.state == resident
}

// Pending reports whether an order for the item is on its way or of unknown fate.
func (m *Map) Pending(key Key) bool {
	it, ok := m.items[key]
	return ok && it.state != resident && it.state != tombstone
}

// Committed returns the bytes that are loaded or may come to be.
func (m *Map) Committed() uint64 {
	var total uint64
	for _, it := range m.items {
		total += it.bytes
	}
	return total
}

// Size returns the bytes of the accelerator that weights may take.
func (m *Map) Size() uint64 { return m.size }

// Residents returns the resident keys in order of name.
func (m *Map) Residents() []Key {
	return m.keys(func(it *item) bool { return it.state == resident })
}

// Idle returns the resident keys without users, the least recently used first.
func (m *Map) Idle() []Key {
	idle := m.keys(func(it *item) bool { return it.state == resident && it.users == 0 })
	sort.SliceStable(idle, func(i, j int) bool { return m.items[idle[i]].lastUsed.Before(m.items[idle[j]].lastUsed) })
	return idle
}

func (m *Map) keys(keep func(*item) bool) []Key {
	var keys []Key
	for key, it := range m.items {
		if keep(it) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

func (m *Map) settleHeld(key Key, found engine.Resident, asked, now time.Time) {
	it, ok := m.items[key]
	if !ok {
		m.items[key] = &item{state: resident, bytes: found.Bytes, lastUsed: now, changed: now, until: now.Add(m.orderLifetime)}
		return
	}
	switch it.state {
	case unknown, tombstone:
		if !found.Loading && (m.checksFence || !asked.Before(it.until)) {
			it.state = resident
			it.changed = now
		}
	case loading, resident, unloading:
	}
}

func (m *Map) settleAbsent(key Key, it *item, asked time.Time) {
	switch it.state {
	case resident:
		m.release(key, it, asked)
	case unknown, tombstone:
		if m.certain(it, asked) {
			delete(m.items, key)
		}
	case loading, unloading:
	}
}

func (m *Map) release(key Key, it *item, now time.Time) {
	if m.certain(it, now) {
		delete(m.items, key)
		return
	}
	it.state = tombstone
	it.changed = now
}

// certain reports whether no order for the item can take effect any more.
func (m *Map) certain(it *item, now time.Time) bool {
	if m.checksFence && it.state != unknown {
		return true
	}
	return !now.Before(it.until)
}

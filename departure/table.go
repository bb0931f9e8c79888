package departure

import (
	"sync"
	"time"

	"gypsumbank/epoch"
	"gypsumbank/registry"
)

const (
	// holdTime is how long after a restore of the store earlier reads hold against it. By then targets have written their entries
	// again, and the entries of those that have ended have expired.
	holdTime = 10 * time.Second
	// retention is how long a run that is no longer listed is remembered. Copies are some seconds old.
	retention = time.Minute
	// maxDeparted bounds the remembered runs that are no longer listed.
	maxDeparted = 2048
)

// Table holds the runs of targets that the registry has listed lately and whether they have left. Its methods may be called by
// several goroutines.
type Table struct {
	now func() time.Time

	mu         sync.Mutex
	read       bool        // there was a read before
	epoch      epoch.Epoch // of the last read
	restoredAt time.Time   // of the first read in this epoch; zero if there was none before it
	runs       map[run]record
	departed   int // runs that are no longer listed
}

// run identifies one start of a target.
type run struct {
	id   string
	born int64
}

type record struct {
	draining   bool
	departedAt time.Time // when it was first not listed; zero if it was listed last
}

// New returns an empty table; now is its clock.
func New(now func() time.Time) *Table { return &Table{now: now, runs: map[run]record{}} }

// Correct returns the targets of a read of the registry by what earlier reads have shown: for some time after a restore of the
// store, runs that were draining stay so and runs that had been removed are left out. It reports whether the read is the first
// one after a restore. ok is false if the read is from before a restore that is known.
func (t *Table) Correct(targets []registry.Target, readIn epoch.Epoch) (corrected []registry.Target, restored, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if readIn < t.epoch {
		return nil, false, false
	}
	now := t.now()
	restored = t.read && readIn > t.epoch
	if restored {
		t.restoredAt = now
	}
	t.read, t.epoch = true, readIn
	holds := !t.restoredAt.IsZero() && now.Sub(t.restoredAt) < holdTime
	corrected = make([]registry.Target, 0, len(targets))
	listed := make(map[run]bool, len(targets))
	for _, target := range targets {
		key := run{target.ID, target.Born}
		known := t.runs[key]
		if holds && !known.departedAt.IsZero() {
			continue
		}
		target.Draining = target.Draining || (holds && known.draining)
		listed[key] = true
		t.set(key, record{draining: target.Draining})
		corrected = append(corrected, target)
	}
	if !holds { // else the entry may have been written after the copy, and will be again
		t.markDeparted(listed, now)
	}
	return corrected, restored, true
}

// markDeparted marks the runs that are not listed and forgets those that left long ago; the caller holds the lock.
func (t *Table) markDeparted(listed map[run]bool, now time.Time) {
	for key, known := range t.runs {
		switch {
		case listed[key]:
		case known.departedAt.IsZero():
			known.departedAt = now
			t.set(key, known)
		case now.Sub(known.departedAt) > retention:
			t.forget(key)
		}
	}
	for t.departed > maxDeparted {
		t.forgetOldest()
	}
}

// set replaces the record of a run; the caller holds the lock.
func (t *Table) set(key run, next record) {
	t.forget(key)
	if !next.departedAt.IsZero() {
		t.departed++
	}
	t.runs[key] = next
}

// forget removes the record of a run, if there is one; the caller holds the lock.
func (t *Table) forget(key run) {
	if !t.runs[key].departedAt.IsZero() {
		t.departed--
	}
	delete(t.runs, key)
}

// forgetOldest removes the run that left first; the caller holds the lock.
func (t *Table) forgetOldest() {
	var oldest run
	var at time.Time
	for key, known := range t.runs {
		if !known.departedAt.IsZero() && (at.IsZero() || known.departedAt.Before(at)) {
			oldest, at = key, known.departedAt
		}
	}
	t.forget(oldest)
}

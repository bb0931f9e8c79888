package servedversions

import (
	"maps"
	"time"

	"gypsumbank/epoch"
	"gypsumbank/registry"
)

const (
	// MaxGap is the time between two reads of the registry from which on a version may have come and gone unseen.
	MaxGap = 3500 * time.Millisecond
	// absence is how long a version must not be listed, in reads without a gap, before it is marked as gone. Every process that reads
	// without a gap has seen its absence by then and does not take it for recorded any more.
	absence = 10 * time.Second
	// confirmDelay is the time after which a write that was in progress during a read has taken effect or never will.
	confirmDelay = 5 * time.Second
)

// Tracker holds what one process knows of the row and of the registry. It has no lock.
type Tracker struct {
	epoch     epoch.Epoch
	listed    Listing
	readAt    time.Time         // of the last read of the registry
	readSince time.Time         // of the first read since when there was no gap above MaxGap
	seenAt    map[Key]time.Time // when a version was last listed
	recorded  map[Key]bool      // listed versions that the row has as served
	known     Record            // as last read or written
	relayed   bool              // the last read was made by an agent, which keeps the row
	doubt     bool              // the row is to be read again, as others may have changed it
	confirmAt time.Time         // when the row is to be read again, as a write may have been in progress; zero if it need not be
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{seenAt: map[Key]time.Time{}, recorded: map[Key]bool{}, listed: Listing{}}
}

// Observe records a read of the registry by this process. agentsKeep tells that agents have lately read the registry for it: then they
// keep the row, unless the read lists a version that they have not told of.
func (t *Tracker) Observe(listed Listing, readIn epoch.Epoch, readAt time.Time, agentsKeep bool) {
	relayed := t.relayed
	t.observe(listed, readIn, readAt)
	t.relayed = relayed && agentsKeep && t.Covered()
	t.doubt = t.doubt || (relayed && !t.relayed)
}

// ObserveRelayed records a read of the registry by an agent, which has seen to it that the row has the listed versions.
func (t *Tracker) ObserveRelayed(listed Listing, readIn epoch.Epoch, readAt time.Time) {
	t.observe(listed, readIn, readAt)
	t.relayed, t.doubt, t.confirmAt = true, false, time.Time{}
	t.recorded = maps.Clone(listed)
}

func (t *Tracker) observe(listed Listing, readIn epoch.Epoch, readAt time.Time) {
	if readIn != t.epoch {
		t.epoch, t.known = readIn, New(readIn)
		clear(t.recorded)
		clear(t.seenAt)
		t.readSince, t.confirmAt = time.Time{}, time.Time{}
	}
	if t.readSince.IsZero() || readAt.Sub(t.readAt) > MaxGap {
		t.readSince, t.doubt = readAt, t.doubt || !t.readSince.IsZero()
	}
	t.listed, t.readAt = listed, readAt
	maps.DeleteFunc(t.recorded, func(k Key, _ bool) bool { return !listed[k] })
	for k := range listed {
		t.seenAt[k] = readAt
	}
	maps.DeleteFunc(t.seenAt, func(_ Key, at time.Time) bool { return readAt.Sub(at) > Window })
}

// Covered reports whether the row has all listed versions.
func (t *Tracker) Covered() bool { return len(t.recorded) == len(t.listed) }

// Allows reports whether streams that callers may take up may begin at a version: the row has it, or the service's targets name none.
func (t *Tracker) Allows(k Key) bool {
	if t.recorded[k] {
		return true
	}
	for listed := range t.listed {
		if listed.Service == k.Service {
			return false
		}
	}
	return k.Version == registry.SoftwareVersion("")
}

// Due reports whether the row is to be read, and perhaps written. A process that relies on agents need not.
func (t *Tracker) Due(now time.Time) bool {
	if t.relayed {
		return false
	}
	if !t.Covered() || t.doubt || (!t.confirmAt.IsZero() && !now.Before(t.confirmAt)) {
		return true
	}
	for name, s := range t.known.Services {
		for version, gone := range s.GoneMs {
			if k := (Key{name, version}); gone == 0 && !t.listed[k] && t.absent(k) {
				return true
			}
		}
	}
	return false
}

// absent reports whether a version has not been listed for long enough to be marked as gone.
func (t *Tracker) absent(k Key) bool {
	since := t.readSince
	if at := t.seenAt[k]; at.After(since) {
		since = at
	}
	return !t.relayed && t.readAt.Sub(since) >= absence
}

// Read is a read of the row that has begun.
type Read struct {
	listed  Listing
	beganAt time.Time
}

// Begin returns the read that begins now: what it finds holds for the versions that are listed so far.
func (t *Tracker) Begin(now time.Time) Read { return Read{listed: t.listed, beganAt: now} }

// Apply records what a read of the row has found, in an epoch and at a time of the store's clock, and returns the record that
// is to be written in its place, if any is.
func (t *Tracker) Apply(read Read, found Record, nowMs int64) (next Record, write bool) {
	if found.Epoch != t.epoch {
		t.doubt = true
		return found, false
	}
	fresh := false
	t.known, t.doubt = found, false
	if !t.confirmAt.IsZero() && !read.beganAt.Before(t.confirmAt) {
		t.confirmAt = time.Time{}
	}
	for k := range t.listed {
		switch {
		case !read.listed[k]:
		case !found.Serves(k):
			delete(t.recorded, k)
		case !t.recorded[k]:
			t.recorded[k], fresh = true, true
		}
	}
	if fresh {
		t.confirmAt = read.beganAt.Add(confirmDelay)
	}
	return found.update(t.listed, t.absent, nowMs)
}

// Written records that the store has confirmed the write of a record.
func (t *Tracker) Written(written Record) {
	if written.Epoch != t.epoch {
		return
	}
	t.known = written
	for k := range t.listed {
		if written.Serves(k) {
			t.recorded[k] = true
		}
	}
}

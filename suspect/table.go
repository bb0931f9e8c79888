package suspect

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/wire"
)

const (
	// BlockAfterCrashes is the number of crashes from which on requests with the same content are refused.
	BlockAfterCrashes = 2

	retention  = 10 * time.Minute
	maxEntries = 10000
)

// Table counts crashes by the fingerprint of the request content. Entries expire after retention and the table holds at
// most maxEntries of them. Its methods may be called by several goroutines.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[uint64]entry
}

// entry is the record of one content.
type entry struct {
	crashes     uint32    // 0 once the content has been cleared
	lastEventAt time.Time // of the last crash or clearance
}

// New returns an empty table; now is its clock.
func New(now func() time.Time) *Table {
	return &Table{now: now, entries: map[uint64]entry{}}
}

// Fingerprint returns a hash that is the same for each submission of the same content by the same customer: of a completion the
// model, adapter and prompt, of a call the service, method, path and body.
func Fingerprint(customer string, content ...string) uint64 {
	return xxhash.Sum64String(customer + "\x00" + strings.Join(content, "\x00"))
}

// Crashes returns the number of targets that crashed while they ran the content.
func (t *Table) Crashes(fingerprint uint64) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookup(fingerprint).crashes
}

// Blocked reports whether requests with the content must be refused.
func (t *Table) Blocked(fingerprint uint64) bool { return t.Crashes(fingerprint) >= BlockAfterCrashes }

// Raise raises the crash count of a content to crashes; a count that is higher already stays.
func (t *Table) Raise(fingerprint uint64, crashes uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if crashes > t.lookup(fingerprint).crashes {
		t.store(fingerprint, entry{crashes: crashes, lastEventAt: t.now()})
	}
}

// Clear resets the crash count of a content that has run to its end. A content with known crashes runs exclusively,
// with no other request in its engine's batch, so the success shows that the crash had another cause. A blocked content
// stays blocked.
func (t *Table) Clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.lookup(fingerprint); current.crashes > 0 && current.crashes < BlockAfterCrashes {
		t.store(fingerprint, entry{lastEventAt: t.now()})
	}
}

// Merge adds the entries of another process's table that have not expired: for each content the entry with the later
// event wins, except that a content which either process has blocked is blocked.
func (t *Table) Merge(suspects []*wire.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, suspect := range suspects {
		lastEventAt := time.UnixMilli(suspect.GetLastEventUnixMs())
		current := t.lookup(suspect.GetFingerprint())
		if t.now().Sub(lastEventAt) > retention || current.crashes >= BlockAfterCrashes {
			continue
		}
		if suspect.GetCrashes() >= BlockAfterCrashes || lastEventAt.After(current.lastEventAt) {
			t.store(suspect.GetFingerprint(), entry{crashes: suspect.GetCrashes(), lastEventAt: lastEventAt})
		}
	}
}

// Entries returns at most limit entries, blocked contents before others and otherwise in no particular order.
func (t *Table) Entries(limit int) []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocked, others []*wire.Suspect
	for fingerprint := range t.entries {
		e := t.lookup(fingerprint)
		if e.lastEventAt.IsZero() {
			continue // expired
		}
		message := &wire.Suspect{Fingerprint: fingerprint, Crashes: e.crashes, LastEventUnixMs: e.lastEventAt.UnixMilli()}
		if e.crashes >= BlockAfterCrashes {
			blocked = append(blocked, message)
			continue
		}
		others = append(others, message)
	}
	all := append(blocked, others...)
	return all[:min(limit, len(all))]
}

// lookup returns the entry of a content, or a zero entry if there is none or it has expired; the caller holds the lock.
func (t *Table) lookup(fingerprint uint64) entry {
	e, ok := t.entries[fingerprint]
	if ok && t.now().Sub(e.lastEventAt) > retention {
		delete(t.entries, fingerprint)
		return entry{}
	}
	return e
}

// store sets the entry of a content, and evicts the oldest entry if the table is full; the caller holds the lock.
func (t *Table) store(fingerprint uint64, e entry) {
	if len(t.entries) >= maxEntries {
		t.evictOldest()
	}
	t.entries[fingerprint] = e
}

// evictOldest removes the entry whose last event is longest ago; the caller holds the lock.
func (t *Table) evictOldest() {
	var oldest uint64
	var oldestAt time.Time
	for fingerprint, e := range t.entries {
		if oldestAt.IsZero() || e.lastEventAt.Before(oldestAt) {
			oldest, oldestAt = fingerprint, e.lastEventAt
		}
	}
	delete(t.entries, oldest)
}

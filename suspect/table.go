package suspect

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/wire"
)

const (
	// BlockAfterCrashes is the number of crashes after which a content is refused.
	BlockAfterCrashes = 2

	retention  = 10 * time.Minute
	maxEntries = 10000
)

// Table counts crashes by the fingerprint of a request's content.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[uint64]entry
}

// entry holds the crashes of a content, none once it was cleared, and the time of the latest crash or clearance.
type entry struct {
	crashes uint32
	last    time.Time
}

// New returns an empty table that reads the time from now.
func New(now func() time.Time) *Table {
	return &Table{now: now, entries: map[uint64]entry{}}
}

// Fingerprint identifies the content of a request over resubmissions.
func Fingerprint(customer, model, adapter, prompt string) uint64 {
	return xxhash.Sum64String(strings.Join([]string{customer, model, adapter, prompt}, "\x00"))
}

// Crashes returns how many targets crashed while they ran the content.
func (t *Table) Crashes(fingerprint uint64) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live(fingerprint).crashes
}

// Blocked reports whether the content is refused.
func (t *Table) Blocked(fingerprint uint64) bool { return t.Crashes(fingerprint) >= BlockAfterCrashes }

// Raise sets the count of a content to at least crashes.
func (t *Table) Raise(fingerprint uint64, crashes uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if crashes > t.live(fingerprint).crashes {
		t.put(fingerprint, entry{crashes: crashes, last: t.now()})
	}
}

// Clear records that a content has run to its end apart from others, unless it is refused already.
func (t *Table) Clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.live(fingerprint); known.crashes > 0 && known.crashes < BlockAfterCrashes {
		t.put(fingerprint, entry{last: t.now()})
	}
}

// Merge takes over what another process has learnt later; a content that is refused stays so.
func (t *Table) Merge(suspects []*wire.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, suspect := range suspects {
		last := time.UnixMilli(suspect.GetLastEventUnixMs())
		known := t.live(suspect.GetFingerprint())
		if t.now().Sub(last) > retention || known.crashes >= BlockAfterCrashes {
			continue
		}
		if suspect.GetCrashes() >= BlockAfterCrashes || last.After(known.last) {
			t.put(suspect.GetFingerprint(), entry{crashes: suspect.GetCrashes(), last: last})
		}
	}
}

// Entries returns at most limit contents, those that are refused first.
func (t *Table) Entries(limit int) []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocked, others []*wire.Suspect
	for fingerprint := range t.entries {
		live := t.live(fingerprint)
		if live.last.IsZero() {
			continue
		}
		message := &wire.Suspect{Fingerprint: fingerprint, Crashes: live.crashes, LastEventUnixMs: live.last.UnixMilli()}
		if live.crashes >= BlockAfterCrashes {
			blocked = append(blocked, message)
			continue
		}
		others = append(others, message)
	}
	all := append(blocked, others...)
	return all[:min(limit, len(all))]
}

func (t *Table) live(fingerprint uint64) entry {
	found, ok := t.entries[fingerprint]
	if ok && t.now().Sub(found.last) > retention {
		delete(t.entries, fingerprint)
		return entry{}
	}
	return found
}

func (t *Table) put(fingerprint uint64, value entry) {
	if len(t.entries) >= maxEntries {
		t.evictOldest()
	}
	t.entries[fingerprint] = value
}

func (t *Table) evictOldest() {
	var oldest uint64
	var at time.Time
	for fingerprint, value := range t.entries {
		if at.IsZero() || value.last.Before(at) {
			oldest, at = fingerprint, value.last
		}
	}
	delete(t.entries, oldest)
}

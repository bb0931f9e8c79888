package quarantine

import (
	"cmp"
	"slices"
	"time"

	"gypsumbank/request"
	"gypsumbank/wire"
)

const (
	// maxCrashesPerMessage and maxEntriesPerMessage bound a message; what is left out is in the next one.
	maxCrashesPerMessage = 32
	maxEntriesPerMessage = 64
)

// Changes returns the entries and, if withCrashes is set, the crashes that have changed after a revision of the table, as far
// as they fit into one message, and the revision to continue from. The message is nil if there are none.
func (t *Table) Changes(after uint64, withCrashes bool) (*wire.Quarantine, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision == after {
		return nil, after
	}
	now := t.now()
	limit := t.revision
	message := &wire.Quarantine{}
	entries, limit := oldestChanges(t.entries, func(e *entry) uint64 { return e.revision }, after, limit, maxEntriesPerMessage)
	if withCrashes {
		var runs []uint64
		runs, limit = oldestChanges(t.crashes, func(c *crash) uint64 { return c.revision }, after, limit, maxCrashesPerMessage)
		for _, run := range runs {
			message.Crashes = append(message.Crashes, encodeCrash(run, t.crashes[run], now))
		}
	}
	for _, hash := range entries {
		if e := t.entries[hash]; e.revision <= limit {
			message.Entries = append(message.Entries, &wire.QuarantineEntry{Content: hash, Version: e.version, Blocked: e.blocked, Times: e.times, AgeMs: ageMs(e.at, now)})
		}
	}
	if len(message.Crashes) == 0 && len(message.Entries) == 0 {
		return nil, limit
	}
	return message, limit
}

// oldestChanges returns the keys of up to most items with revisions above after and up to limit, the lowest first, and the
// revision up to which all items are among them.
func oldestChanges[T any](items map[uint64]T, revision func(T) uint64, after, limit uint64, most int) ([]uint64, uint64) {
	var keys []uint64
	for key, item := range items {
		if r := revision(item); r > after && r <= limit {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Compare(revision(items[a]), revision(items[b])) })
	if len(keys) > most {
		keys = keys[:most]
		limit = revision(items[keys[most-1]])
	}
	return keys, limit
}

func encodeCrash(run uint64, c *crash, now time.Time) *wire.Crash {
	message := &wire.Crash{Run: run, AgeMs: ageMs(c.at, now)}
	for hash, rank := range c.contents {
		message.Contents = append(message.Contents, &wire.RequestContent{Hash: hash, Rank: rank})
	}
	return message
}

func ageMs(at, now time.Time) uint32 { return uint32(max(0, now.Sub(at)).Milliseconds()) }

// Merge adds what another process has sent. It returns the contents that are blocked now and were not before. A content that
// the other process has blocked and that was answered here lately is cleared.
func (t *Table) Merge(message *wire.Quarantine) []request.Content {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var blocked []request.Content
	for _, received := range message.GetEntries() {
		if t.mergeEntry(received, now) {
			blocked = append(blocked, request.Content{Hash: received.GetContent()})
		}
	}
	var added []request.Content // of all crashes, which are weighed together whatever their order
	for _, received := range message.GetCrashes() {
		contents := make([]request.Content, 0, len(received.GetContents()))
		for _, content := range received.GetContents() {
			contents = append(contents, request.Content{Hash: content.GetHash(), Rank: content.GetRank()})
		}
		added = append(added, t.addCrash(received.GetRun(), contents, now.Add(-milliseconds(received.GetAgeMs())))...)
	}
	return append(blocked, t.blockCauses(added, now)...)
}

// mergeEntry adds a received entry if it holds, and reports whether its content is blocked now and was not before; the caller
// holds the lock.
func (t *Table) mergeEntry(received *wire.QuarantineEntry, now time.Time) bool {
	hash := received.GetContent()
	current := t.entries[hash]
	next := entry{version: received.GetVersion(), blocked: received.GetBlocked(), times: received.GetTimes(), at: now.Add(-milliseconds(received.GetAgeMs()))}
	if current != nil && !next.supersedes(current) {
		return false
	}
	wasBlocked := current != nil && current.blockLeft(now) > 0
	if next.blocked && t.answered.has(hash, now) {
		next.version, next.blocked, next.at = next.version+1, false, now
	}
	if !next.blocked {
		t.removeSuspect(hash)
	}
	t.setEntry(hash, next)
	return next.blocked && !wasBlocked
}

// supersedes reports whether the entry holds rather than other. Of two with the same version, the one that clears does.
func (e *entry) supersedes(other *entry) bool {
	if e.version != other.version {
		return e.version > other.version
	}
	return other.blocked && !e.blocked
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

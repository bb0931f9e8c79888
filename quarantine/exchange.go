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
			message.Entries = append(message.Entries, encodeEntry(hash, e, now))
		}
	}
	if len(message.Crashes) == 0 && len(message.Entries) == 0 {
		return nil, limit
	}
	return message, limit
}

func encodeEntry(key uint64, e *entry, now time.Time) *wire.QuarantineEntry {
	message := &wire.QuarantineEntry{Content: key, Version: e.version, Blocked: e.blocked, Times: e.times, AgeMs: ageMs(e.at, now), Members: e.members, Retracted: e.retracted}
	if e.blocked {
		message.FirstCrashAgeMs, message.Runs = ageMs(e.evidence.since, now), e.evidence.runs
	}
	return message
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
	positions := make(map[uint64]uint32, len(c.contents))
	for hash, rank := range c.contents {
		positions[hash] = uint32(len(message.Contents))
		message.Contents = append(message.Contents, &wire.RequestContent{Hash: hash, Rank: rank})
	}
	for _, contents := range c.requests {
		encoded := &wire.CrashRequest{}
		for _, hash := range contents {
			encoded.Contents = append(encoded.Contents, positions[hash])
		}
		message.Requests = append(message.Requests, encoded)
	}
	return message
}

// decodeRequests returns the requests of a crash: those that it tells of and, of contents that are in none of them, one each.
func decodeRequests(message *wire.Crash) [][]request.Content {
	contents := message.GetContents()
	var requests [][]request.Content
	listed := make([]bool, len(contents))
	for _, encoded := range message.GetRequests() {
		var decoded []request.Content
		for _, position := range encoded.GetContents() {
			if int(position) < len(contents) {
				decoded = append(decoded, decodeContent(contents[position]))
				listed[position] = true
			}
		}
		requests = append(requests, decoded)
	}
	for i, content := range contents {
		if !listed[i] {
			requests = append(requests, []request.Content{decodeContent(content)})
		}
	}
	return requests
}

func decodeContent(message *wire.RequestContent) request.Content {
	return request.Content{Hash: message.GetHash(), Rank: message.GetRank()}
}

func ageMs(at, now time.Time) uint32 { return uint32(max(0, now.Sub(at)).Milliseconds()) }

// Merge adds what another process has sent. It returns what is blocked now and was not before. A content that
// the other process has blocked and that was answered here lately is cleared.
func (t *Table) Merge(message *wire.Quarantine) []request.Content {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var blocked []request.Content
	for _, received := range message.GetEntries() {
		blocked = append(blocked, t.mergeEntry(received, now)...)
	}
	var added []request.Content // of all crashes, which are weighed together whatever their order
	for _, received := range message.GetCrashes() {
		added = append(added, t.addCrash(received.GetRun(), decodeRequests(received), now.Add(-milliseconds(received.GetAgeMs())))...)
	}
	return append(blocked, t.blockCauses(added, now)...)
}

// mergeEntry adds a received entry if it holds, and returns what is blocked now and was not before; the caller holds the lock.
func (t *Table) mergeEntry(received *wire.QuarantineEntry, now time.Time) []request.Content {
	key := received.GetContent()
	current := t.entries[key]
	next := decodeEntry(received, now)
	isSet := len(next.members) > 0
	if isSet && !isValidSet(key, next.members) || current != nil && !next.supersedes(current) {
		return nil
	}
	wasBlocked := current != nil && current.blockLeft(now) > 0
	if next.blocked && !isSet && t.isSound(key, next.evidence.since, now) {
		next.version, next.blocked, next.at = next.version+1, false, now
	}
	t.setEntry(key, next)
	blocked := t.narrowByEntry(key, &next, now)
	if e := t.entries[key]; e.blockLeft(now) > 0 && !wasBlocked {
		blocked = append(blocked, request.Content{Hash: key})
	}
	return blocked
}

// decodeEntry returns a received entry.
func decodeEntry(received *wire.QuarantineEntry, now time.Time) entry {
	next := entry{
		members: received.GetMembers(), version: received.GetVersion(), blocked: received.GetBlocked(), times: received.GetTimes(), at: now.Add(-milliseconds(received.GetAgeMs())),
	}
	if next.blocked {
		firstCrashAge := max(received.GetAgeMs(), received.GetFirstCrashAgeMs())
		next.evidence = evidence{since: now.Add(-milliseconds(firstCrashAge)), runs: received.GetRuns()}
		return next
	}
	next.retracted = received.GetRetracted()
	return next
}

// narrowByEntry narrows what is blocked by a received entry: several contents by those that were answered here, and others by a content that was answered elsewhere. It
// returns what is blocked in its place; the caller holds the lock.
func (t *Table) narrowByEntry(key uint64, received *entry, now time.Time) []request.Content {
	switch isSet := len(received.members) > 0; {
	case received.blocked && isSet:
		_, blocked := t.narrowSets(t.soundContents(received.members, received.evidence.since, now), now)
		return blocked
	case !received.blocked && !received.retracted && !isSet:
		t.removeSuspect(key)
		_, blocked := t.narrowSets([]request.Content{{Hash: key}}, now)
		return blocked
	}
	return nil
}

// isValidSet reports whether a received entry of several contents is what its key says.
func isValidSet(key uint64, members []uint64) bool {
	return len(members) > 1 && len(members) <= maxContentsPerCrash && slices.IsSorted(members) && keyOf(members) == key
}

// soundContents returns those of the contents that are not the cause of crashes since a time; the caller holds the lock.
func (t *Table) soundContents(hashes []uint64, since, now time.Time) []request.Content {
	var sound []request.Content
	for _, hash := range hashes {
		if t.isSound(hash, since, now) {
			sound = append(sound, request.Content{Hash: hash})
		}
	}
	return sound
}

// isSound reports whether a request with a content was answered here lately or since the first of some crashes; the caller holds the lock.
func (t *Table) isSound(hash uint64, since, now time.Time) bool {
	return t.answered.has(hash, now) || t.answered.last(hash).After(since)
}

// supersedes reports whether the entry holds rather than other. Of two with the same version, the one that clears does.
func (e *entry) supersedes(other *entry) bool {
	if e.version != other.version {
		return e.version > other.version
	}
	return other.blocked && !e.blocked
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

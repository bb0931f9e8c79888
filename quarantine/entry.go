package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/request"
)

// entry says whether a content, or requests that have all of several contents, are blocked. Of two entries with one key, the one with the higher
// version holds.
type entry struct {
	members []uint64 // hashes of the contents, sorted; nil for a single one, whose hash is the key
	version uint32
	blocked bool // false once a request with the content has been answered, or if retracted
	// retracted tells that more contents are blocked together in place of these, so that none of them was answered.
	retracted bool
	times     uint32
	at        time.Time // of the change to this version
	evidence  evidence  // for the block
	revision  uint64    // of the table at the last change
}

// evidence is what a block goes by.
type evidence struct {
	since time.Time // of the first crash that counted
	runs  []uint64  // those that crashed; nil if that is not known
}

// newEvidence returns the evidence of some crashes.
func newEvidence(crashes []*crash) evidence {
	found := evidence{since: crashes[0].at}
	for _, c := range crashes {
		found.runs = append(found.runs, c.run)
		if c.at.Before(found.since) {
			found.since = c.at
		}
	}
	return found
}

// keyOf returns the key of the entry of some contents.
func keyOf(members []uint64) uint64 {
	if len(members) == 1 {
		return members[0]
	}
	hash := xxhash.New()
	_, _ = hash.WriteString("contents") // writes to a hash do not fail
	for _, member := range members {
		var bytes [8]byte
		for i := range bytes {
			bytes[i] = byte(member >> (8 * i))
		}
		_, _ = hash.Write(bytes[:])
	}
	return hash.Sum64()
}

// includesAll reports whether all members are among the contents.
func includesAll(contents []request.Content, members []uint64) bool {
	for _, member := range members {
		if !slices.ContainsFunc(contents, func(c request.Content) bool { return c.Hash == member }) {
			return false
		}
	}
	return true
}

// membersOf returns the contents of an entry.
func (e *entry) membersOf(key uint64) []uint64 {
	if len(e.members) == 0 {
		return []uint64{key}
	}
	return e.members
}

// blockLeft returns for how long the entry blocks its contents.
func (e *entry) blockLeft(now time.Time) time.Duration {
	if !e.blocked {
		return 0
	}
	return max(0, e.blockDuration()-now.Sub(e.at))
}

// blockDuration returns how long the contents are blocked in all.
func (e *entry) blockDuration() time.Duration {
	duration := blockTime
	for range e.times - min(e.times, 1) {
		duration = min(2*duration, maxBlockTime)
	}
	return duration
}

// block blocks requests that have all of the members, once more if they were blocked before. It returns what stands for them; the
// caller holds the lock.
func (t *Table) block(members []uint64, rank uint32, found evidence, now time.Time) request.Content {
	key := keyOf(members)
	next := newEntry(members)
	next.version, next.blocked, next.times, next.at, next.evidence = 1, true, 1, now, found
	if e := t.entries[key]; e != nil {
		next.version, next.times = e.version+1, e.times+1
	}
	t.setEntry(key, next)
	return request.Content{Hash: key, Rank: rank}
}

// newEntry returns an entry of some contents.
func newEntry(members []uint64) entry {
	if len(members) == 1 {
		return entry{}
	}
	return entry{members: members}
}

// narrowSets has answered contents taken out of what is blocked: the rest of the members stays blocked for as long as all were. It returns what is
// not blocked any more and what is blocked in its place; the caller holds the lock.
func (t *Table) narrowSets(answered []request.Content, now time.Time) (unblocked, blocked []request.Content) {
	for _, content := range answered {
		for _, key := range slices.Clone(t.sets[content.Hash]) {
			e := t.entries[key]
			if e == nil {
				continue // evicted meanwhile
			}
			next := newEntry(e.members)
			next.version, next.times, next.at = e.version+1, e.times, now
			t.setEntry(key, next)
			unblocked = append(unblocked, request.Content{Hash: key})
			if restKey, ok := t.blockRest(t.notAnswered(e, answered, now), e, now); ok {
				blocked = append(blocked, request.Content{Hash: restKey})
			}
		}
	}
	return unblocked, blocked
}

// notAnswered returns the members of an entry that are not among the answered contents and were not answered since its first crash. It
// records that the others were, for processes that know of the crashes; the caller holds the lock.
func (t *Table) notAnswered(of *entry, answered []request.Content, now time.Time) []uint64 {
	var rest []uint64
	for _, member := range of.members {
		switch {
		case t.answeredSince(member, of.evidence.since):
		case includesAll(answered, []uint64{member}):
			t.setCleared(member, now)
		default:
			rest = append(rest, member)
		}
	}
	return rest
}

// setCleared records that a request with a content was answered; the caller holds the lock.
func (t *Table) setCleared(hash uint64, now time.Time) {
	t.removeSuspect(hash)
	next := entry{version: 1, at: now}
	if e := t.entries[hash]; e != nil {
		next.version, next.times = e.version+1, e.times
	}
	t.setEntry(hash, next)
}

// answeredSince reports whether an entry tells that a request with a content was answered after a time; the caller holds the lock.
func (t *Table) answeredSince(hash uint64, at time.Time) bool {
	e := t.entries[hash]
	return e != nil && len(e.members) == 0 && !e.blocked && !e.retracted && !e.at.Before(at)
}

// blockRest blocks contents as an entry does in whose place they come, and reports whether it was not blocked; the caller holds the lock.
func (t *Table) blockRest(rest []uint64, of *entry, now time.Time) (key uint64, ok bool) {
	if len(rest) == 0 || of.blockLeft(now) == 0 {
		return 0, false
	}
	key = keyOf(rest)
	next := newEntry(rest)
	next.version, next.blocked, next.times, next.at, next.evidence = 1, true, of.times, of.at, of.evidence
	if e := t.entries[key]; e != nil {
		if e.blockLeft(now) > 0 {
			return 0, false
		}
		next.version = e.version + 1
	}
	t.setEntry(key, next)
	return key, true
}

// retract has lists of contents, each of which includes the members of an entry, blocked in place of these. It returns what is blocked now; the caller
// holds the lock.
func (t *Table) retract(key uint64, e *entry, lists [][]uint64, now time.Time) []request.Content {
	next := newEntry(e.members)
	next.version, next.times, next.at, next.retracted = e.version+1, e.times, now, true
	t.setEntry(key, next)
	var blocked []request.Content
	for _, members := range lists {
		if restKey, ok := t.blockRest(members, e, now); ok {
			blocked = append(blocked, request.Content{Hash: restKey})
		}
	}
	return blocked
}

// setEntry replaces the entry with a key; the caller holds the lock.
func (t *Table) setEntry(key uint64, next entry) {
	if t.entries[key] == nil && len(t.entries) >= maxEntries {
		t.evictEntry()
	}
	t.removeEntry(key)
	t.revision++
	next.revision, t.entriesRevision = t.revision, t.revision
	t.entries[key] = &next
	if !next.blocked {
		return
	}
	for _, member := range next.members {
		t.sets[member] = append(t.sets[member], key)
	}
}

// removeEntry removes the entry with a key; the caller holds the lock.
func (t *Table) removeEntry(key uint64) {
	e := t.entries[key]
	if e == nil {
		return
	}
	delete(t.entries, key)
	for _, member := range e.members {
		t.sets[member] = slices.DeleteFunc(t.sets[member], func(other uint64) bool { return other == key })
		if len(t.sets[member]) == 0 {
			delete(t.sets, member)
		}
	}
}

// evictEntry removes the oldest entry, one that does not block if there is any; the caller holds the lock.
func (t *Table) evictEntry() {
	var oldest uint64
	var found *entry
	for key, e := range t.entries {
		if found == nil || (found.blocked && !e.blocked) || (found.blocked == e.blocked && e.at.Before(found.at)) {
			oldest, found = key, e
		}
	}
	t.removeEntry(oldest)
}

package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/registry"
	"gypsumbank/request"
)

const (
	// crashesToBlock is the number of crashes from which on a content is blocked.
	crashesToBlock = 3
	// minCrashSpacing separates crashes that count against a prompt part: targets that end at the same time may have a cause outside
	// of the requests, and a part may be in progress at many of them.
	minCrashSpacing = 250 * time.Millisecond
	// blockTime is how long a content is blocked at first. It doubles with each further time, up to maxBlockTime.
	blockTime    = 10 * time.Minute
	maxBlockTime = 4 * time.Hour
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	// entryRetention is how long an entry is kept after its block has ended or it was cleared.
	entryRetention = time.Hour

	maxCrashes          = 128
	maxContentsPerCrash = 64
	maxEntries          = 512
)

// Table holds the latest crashes of targets with the contents of the requests in progress there, and the contents that are
// blocked since several crashes have them in common. All state is bounded. Its methods may be called by several goroutines.
type Table struct {
	now func() time.Time

	mu       sync.Mutex
	crashes  map[uint64]*crash   // by run
	mentions map[uint64][]uint64 // runs by the hash of each content of their crashes
	entries  map[uint64]*entry   // by the hash of the content
	answered answeredContents
	revision uint64 // number of changes of crashes and entries

	entriesRevision uint64 // revision at the last change of an entry
}

// crash is the end of one run of a target while requests were in progress there.
type crash struct {
	at       time.Time
	contents map[uint64]uint32 // rank by hash; those that may be the cause
	revision uint64            // of the table at the last change
}

// entry says whether a content is blocked. Of two entries for a content, the one with the higher version holds.
type entry struct {
	version  uint32
	blocked  bool // false once a request with the content has been answered
	times    uint32
	at       time.Time // of the change to this version
	revision uint64    // of the table at the last change
}

// New returns an empty table; now is its clock.
func New(now func() time.Time) *Table {
	return &Table{now: now, crashes: map[uint64]*crash{}, mentions: map[uint64][]uint64{}, entries: map[uint64]*entry{}}
}

// Run returns a hash that identifies one run of a target.
func Run(target registry.Target) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(target.ID) // writes to a hash do not fail
	var born [8]byte
	for i := range born {
		born[i] = byte(target.Born >> (8 * i))
	}
	_, _ = hash.Write(born[:])
	return hash.Sum64()
}

// Blocked returns for how long requests with any of the contents are to be refused; 0 if they need not be.
func (t *Table) Blocked(contents []request.Content) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := time.Duration(0)
	now := t.now()
	for _, content := range contents {
		if e := t.entries[content.Hash]; e != nil {
			longest = max(longest, e.blockLeft(now))
		}
	}
	return longest
}

// Blame records that a run of a target has crashed while requests with the contents had not begun to be answered, or only
// just. Contents that were answered lately are left out. It returns the contents that are blocked now and were not before.
func (t *Table) Blame(run uint64, contents []request.Content) []request.Content {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	suspects := make([]request.Content, 0, len(contents))
	for _, content := range contents {
		if !t.answered.has(content.Hash, now) {
			suspects = append(suspects, content)
		}
	}
	return t.blockCauses(t.addCrash(run, suspects, now), now)
}

// Evidence is what is known against a content.
type Evidence struct {
	Content request.Content
	Crashes int // that the content was in progress at and that no blocked content explains
	Counted int // of these, that count towards a block
}

// Leading returns the evidence against the one of the contents that the most crashes have in common.
func (t *Table) Leading(contents []request.Content) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leading Evidence
	for _, content := range contents {
		times := t.unexplainedCrashes(content)
		if len(times) > leading.Crashes || (len(times) == leading.Crashes && content.Rank > leading.Content.Rank) {
			leading = Evidence{Content: content, Crashes: len(times), Counted: countCrashes(content, times)}
		}
	}
	return leading
}

// Clear records that a request with the contents has been answered, so that none of them is the cause of earlier crashes. It
// returns those that were blocked.
func (t *Table) Clear(contents []request.Content) []request.Content {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unblocked []request.Content
	now := t.now()
	for _, content := range contents {
		t.answered.add(content, now)
		e := t.entries[content.Hash]
		if !t.removeSuspect(content.Hash) && (e == nil || !e.blocked) {
			continue
		}
		next := entry{version: 1, at: now}
		if e != nil {
			next.version, next.times = e.version+1, e.times
			if e.blocked {
				unblocked = append(unblocked, content)
			}
		}
		t.setEntry(content.Hash, next)
	}
	return unblocked
}

// blockLeft returns for how long the entry blocks its content.
func (e *entry) blockLeft(now time.Time) time.Duration {
	if !e.blocked {
		return 0
	}
	return max(0, e.blockDuration()-now.Sub(e.at))
}

// blockDuration returns how long the content is blocked in all.
func (e *entry) blockDuration() time.Duration {
	duration := blockTime
	for range e.times - min(e.times, 1) {
		duration = min(2*duration, maxBlockTime)
	}
	return duration
}

// addCrash adds contents to the record of a crash, which is new unless another process has told of it. It returns those that
// the record did not have; the caller holds the lock.
func (t *Table) addCrash(run uint64, contents []request.Content, at time.Time) []request.Content {
	t.dropOld()
	c := t.crashes[run]
	if c == nil {
		c = &crash{at: at, contents: map[uint64]uint32{}}
	}
	var added []request.Content
	for _, content := range contents {
		if _, known := c.contents[content.Hash]; known || len(c.contents) >= maxContentsPerCrash {
			continue
		}
		if e := t.entries[content.Hash]; e != nil && !e.blocked && !e.at.Before(c.at) {
			continue // answered since the crash
		}
		c.contents[content.Hash] = content.Rank
		t.mentions[content.Hash] = append(t.mentions[content.Hash], run)
		added = append(added, content)
	}
	if len(added) > 0 {
		t.revision++
		c.revision = t.revision
		t.crashes[run] = c
	}
	return added
}

// removeCrash removes the record of a crash; the caller holds the lock.
func (t *Table) removeCrash(run uint64) {
	for hash := range t.crashes[run].contents {
		t.mentions[hash] = slices.DeleteFunc(t.mentions[hash], func(r uint64) bool { return r == run })
		if len(t.mentions[hash]) == 0 {
			delete(t.mentions, hash)
		}
	}
	delete(t.crashes, run)
}

// removeSuspect removes a content from the records of all crashes and reports whether it was in any; the caller holds the lock.
func (t *Table) removeSuspect(hash uint64) bool {
	runs := t.mentions[hash]
	for _, run := range runs {
		delete(t.crashes[run].contents, hash)
	}
	delete(t.mentions, hash)
	return len(runs) > 0
}

// countCrashes returns how many crashes at the given times count against a content. Against a whole request each of them does, as
// it is at several targets only if it was sent again.
func countCrashes(content request.Content, times []time.Time) int {
	if content.IsWhole() {
		return len(times)
	}
	return countSpaced(times)
}

// blockCauses blocks those of the suspects that enough crashes have in common. Each time it takes the one that most crashes have
// and, of several, the one that the fewest requests share; the crashes that it explains do not count for the others. It returns
// the contents that are blocked now; the caller holds the lock.
func (t *Table) blockCauses(suspects []request.Content, now time.Time) []request.Content {
	var blocked []request.Content
	for {
		cause, ok := t.likelyCause(suspects)
		if !ok {
			return blocked
		}
		next := entry{version: 1, blocked: true, times: 1, at: now}
		if e := t.entries[cause.Hash]; e != nil {
			next.version, next.times = e.version+1, e.times+1
		}
		t.setEntry(cause.Hash, next)
		blocked = append(blocked, cause)
	}
}

// likelyCause returns the suspect to block next; the caller holds the lock.
func (t *Table) likelyCause(suspects []request.Content) (cause request.Content, ok bool) {
	most := 0
	for _, content := range suspects {
		count := countCrashes(content, t.unexplainedCrashes(content))
		if count < t.crashesToBlock(content.Hash) {
			continue
		}
		if count > most || (count == most && content.Rank > cause.Rank) {
			cause, most = content, count
		}
	}
	return cause, most > 0
}

// unexplainedCrashes returns the times of the crashes that have a content and no cause that is blocked; the caller holds the lock.
func (t *Table) unexplainedCrashes(content request.Content) []time.Time {
	runs := t.mentions[content.Hash]
	times := make([]time.Time, 0, len(runs))
	for _, run := range runs {
		if c := t.crashes[run]; !t.explained(c, content) {
			times = append(times, c.at)
		}
	}
	return times
}

// crashesToBlock returns the number of crashes from which on a content is blocked: 1 if it was blocked before and has not been
// answered since; the caller holds the lock.
func (t *Table) crashesToBlock(hash uint64) int {
	if e := t.entries[hash]; e != nil && e.blocked {
		return 1
	}
	return crashesToBlock
}

// explained reports whether a crash of a content has a cause that was blocked then or has been blocked since. Another content explains no
// crash of one that may as well be the cause: reports of a crash come from several gateways, so the one that was blocked first may have
// been in progress beside the cause. The caller holds the lock.
func (t *Table) explained(c *crash, content request.Content) bool {
	for hash, rank := range c.contents {
		e := t.entries[hash]
		if e == nil || !e.blocked || !c.at.Before(e.at.Add(e.blockDuration())) {
			continue
		}
		if hash == content.Hash || content.Rank < rank || !t.inAllCrashesOf(hash, content.Hash) {
			return true
		}
	}
	return false
}

// inAllCrashesOf reports whether a content was in progress at each crash of a blocked one; the caller holds the lock.
func (t *Table) inAllCrashesOf(blocked, hash uint64) bool {
	for _, run := range t.mentions[blocked] {
		if _, ok := t.crashes[run].contents[hash]; !ok {
			return false
		}
	}
	return true
}

// setEntry replaces the entry of a content; the caller holds the lock.
func (t *Table) setEntry(hash uint64, next entry) {
	if t.entries[hash] == nil && len(t.entries) >= maxEntries {
		t.evictEntry()
	}
	t.revision++
	next.revision, t.entriesRevision = t.revision, t.revision
	t.entries[hash] = &next
}

// EntriesRevision returns a number that rises when a content is blocked or unblocked.
func (t *Table) EntriesRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entriesRevision
}

// evictEntry removes the oldest entry, one that does not block if there is any; the caller holds the lock.
func (t *Table) evictEntry() {
	var oldest uint64
	var found *entry
	for hash, e := range t.entries {
		if found == nil || (found.blocked && !e.blocked) || (found.blocked == e.blocked && e.at.Before(found.at)) {
			oldest, found = hash, e
		}
	}
	delete(t.entries, oldest)
}

// dropOld removes crashes and entries that are past their retention, and the oldest crash if there are too many; the caller
// holds the lock.
func (t *Table) dropOld() {
	now := t.now()
	var oldest uint64
	for run, c := range t.crashes {
		if now.Sub(c.at) > crashRetention {
			t.removeCrash(run)
			continue
		}
		if o := t.crashes[oldest]; o == nil || c.at.Before(o.at) {
			oldest = run
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.removeCrash(oldest)
	}
	for hash, e := range t.entries {
		if now.Sub(e.at) > entryRetention+e.blockDuration() {
			delete(t.entries, hash)
		}
	}
}

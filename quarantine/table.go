package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/registry"
	"gypsumbank/request"
)

const (
	// crashesToBlock is the number of crashes from which on a content is blocked.
	crashesToBlock = 3
	// crashesToNarrow is the same for one of several contents that are blocked together. A single crash may have another cause.
	crashesToNarrow = 2
	// maxCommonLists bounds what is blocked for one cause.
	maxCommonLists = 4
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

// Table holds the latest crashes of targets with the contents of the requests in progress there, and what is blocked since several
// crashes have it in common: a content, or several together. All state is bounded. Its methods may be called by several goroutines.
type Table struct {
	now func() time.Time

	mu       sync.Mutex
	crashes  map[uint64]*crash   // by run
	mentions map[uint64][]uint64 // runs by the hash of each content of their crashes
	entries  map[uint64]*entry   // by key
	sets     map[uint64][]uint64 // keys of the blocked entries of several contents, by the hash of each of these
	answered answeredContents
	revision uint64 // number of changes of crashes and entries

	entriesRevision uint64 // revision at the last change of an entry
}

// New returns an empty table; now is its clock.
func New(now func() time.Time) *Table {
	return &Table{now: now, crashes: map[uint64]*crash{}, mentions: map[uint64][]uint64{}, entries: map[uint64]*entry{}, sets: map[uint64][]uint64{}}
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

// Blocked returns for how long a request with the contents is to be refused; 0 if it need not be.
func (t *Table) Blocked(contents []request.Content) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := time.Duration(0)
	now := t.now()
	for _, content := range contents {
		if e := t.entries[content.Hash]; e != nil {
			longest = max(longest, e.blockLeft(now))
		}
		for _, key := range t.sets[content.Hash] {
			if e := t.entries[key]; includesAll(contents, e.members) {
				longest = max(longest, e.blockLeft(now))
			}
		}
	}
	return longest
}

// Members returns the contents that a request must have to be refused by the entry of a content that Blame, Clear or Merge has returned.
func (t *Table) Members(content request.Content) []request.Content {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[content.Hash]
	if e == nil || len(e.members) == 0 {
		return []request.Content{content}
	}
	members := make([]request.Content, 0, len(e.members))
	for _, hash := range e.members {
		members = append(members, request.Content{Hash: hash})
	}
	return members
}

// Blame records that a run of a target has crashed while requests with the contents had not begun to be answered, or only
// just. Contents that were answered lately are left out. It returns the contents that are blocked now and were not before.
func (t *Table) Blame(run uint64, contents []request.Content) []request.Content {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	return t.blockCauses(t.addCrash(run, t.suspects(contents, now), now), now)
}

// suspects returns the contents of each of several requests, without those that were answered lately. The contents of a request end with the whole of it;
// the caller holds the lock.
func (t *Table) suspects(contents []request.Content, now time.Time) [][]request.Content {
	var requests [][]request.Content
	var current []request.Content
	for i, content := range contents {
		if !t.answered.has(content.Hash, now) {
			current = append(current, content)
		}
		if content.IsWhole() || i == len(contents)-1 {
			requests = append(requests, current)
			current = nil
		}
	}
	return requests
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
		crashes := t.unexplainedCrashes(content)
		if len(crashes) > leading.Crashes || (len(crashes) == leading.Crashes && content.Rank > leading.Content.Rank) {
			leading = Evidence{Content: content, Crashes: len(crashes), Counted: countCrashes(content, crashes)}
		}
	}
	return leading
}

// Clear records that a request with the contents has been answered, so that none of them is the cause of earlier crashes. It
// returns what was blocked and is not any more, and what is blocked in its place: the rest of several contents of which some were answered.
func (t *Table) Clear(contents []request.Content) (unblocked, blocked []request.Content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, content := range contents {
		t.answered.add(content, now)
		e := t.entries[content.Hash]
		wasBlocked := e != nil && e.blocked
		if wasBlocked {
			unblocked = append(unblocked, content)
		}
		if wasBlocked || len(t.mentions[content.Hash]) > 0 {
			t.setCleared(content.Hash, now)
		}
	}
	narrowed, blocked := t.narrowSets(contents, now)
	return append(unblocked, narrowed...), blocked
}

// EntriesRevision returns a number that rises when a content is blocked or unblocked.
func (t *Table) EntriesRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entriesRevision
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
			t.removeEntry(hash)
		}
	}
}

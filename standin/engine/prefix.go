package engine

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	client "gypsumbank/engine"
)

const (
	blockChars     = 64 // prompt characters in one cache block
	perMille       = 1000
	maxCacheEvents = 4096
)

// CacheEvent reports that a prompt block was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"` // a gap in the numbers shows that events were lost
	Block      uint64 `json:"block"`    // hash of the prompt up to the end of the block
	Stored     bool   `json:"stored"`   // false if the block was evicted
	recordedAt time.Time
}

// prefixCache simulates an engine's cache of prompt prefixes: a set of prompt blocks with eviction of the least
// recently used one, and a lagging stream of cache events of which a share is lost.
type prefixCache struct {
	maxBlocks    int // 0 turns the cache off
	eventLag     time.Duration
	lostPerMille int // events lost, in thousandths
	rng          *rand.Rand
	lastUse      map[uint64]uint64 // by hash of the block: the value of uses at its last use
	uses         uint64            // uses of blocks so far
	sequence     uint64            // events so far, lost ones included
	events       []CacheEvent      // the last maxCacheEvents that were not lost
}

func newPrefixCache(config Config) *prefixCache {
	return &prefixCache{
		maxBlocks:    config.CacheBlocks,
		eventLag:     config.EventLag,
		lostPerMille: config.LostEventsPerMille,
		rng:          rand.New(rand.NewPCG(config.Seed, 1)),
		lastUse:      map[uint64]uint64{},
	}
}

// lookupAndStore stores the full blocks of a prompt and returns the number of tokens in its leading blocks that were
// cached before. A block's hash covers the model, the adapter and the prompt up to the end of the block.
func (c *prefixCache) lookupAndStore(request client.Request) int {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Model + request.Adapter)
	cachedTokens := 0
	leading := true
	for start := 0; start+blockChars <= len(request.Prompt); start += blockChars {
		_, _ = digest.WriteString(request.Prompt[start : start+blockChars])
		cached := c.storeBlock(digest.Sum64())
		leading = leading && cached
		if leading {
			cachedTokens += blockChars / charsPerToken
		}
	}
	return cachedTokens
}

// storeBlock stores a block, or marks it as used, and returns whether it was cached before.
func (c *prefixCache) storeBlock(block uint64) bool {
	if c.maxBlocks <= 0 {
		return false
	}
	c.uses++
	_, cached := c.lastUse[block]
	c.lastUse[block] = c.uses
	if cached {
		return true
	}
	c.recordEvent(block, true)
	if len(c.lastUse) > c.maxBlocks {
		c.evictLeastRecentlyUsed()
	}
	return false
}

func (c *prefixCache) evictLeastRecentlyUsed() {
	var leastRecent uint64
	first := true
	for block, lastUse := range c.lastUse {
		if first || lastUse < c.lastUse[leastRecent] {
			leastRecent = block
			first = false
		}
	}
	delete(c.lastUse, leastRecent)
	c.recordEvent(leastRecent, false)
}

// recordEvent gives an event its sequence number and keeps it, unless it is one of those to be lost.
func (c *prefixCache) recordEvent(block uint64, stored bool) {
	c.sequence++
	if c.rng.IntN(perMille) < c.lostPerMille {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Block: block, Stored: stored, recordedAt: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that are at least eventLag old.
func (c *prefixCache) eventsAfter(after uint64) []CacheEvent {
	events := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > after && time.Since(event.recordedAt) >= c.eventLag {
			events = append(events, event)
		}
	}
	return events
}

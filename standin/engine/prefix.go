package engine

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	client "gypsumbank/engine"
)

const (
	blockChars     = 64
	perMille       = 1000
	maxCacheEvents = 4096
)

// CacheEvent tells that a prompt block entered or left the prefix cache.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	Block      uint64 `json:"block"`
	Stored     bool   `json:"stored"`
	recordedAt time.Time
}

type prefixCache struct {
	maxBlocks    int
	eventLag     time.Duration
	lostPerMille int
	rng          *rand.Rand
	lastUse      map[uint64]uint64
	uses         uint64
	sequence     uint64
	events       []CacheEvent
}

func newPrefixCache(config Config) *prefixCache {
	return &prefixCache{
		maxBlocks:    config.CacheBlocks,
		eventLag:     config.EventLag,
		lostPerMille: config.EventGapPerMille,
		rng:          rand.New(rand.NewPCG(config.Seed, 1)),
		lastUse:      map[uint64]uint64{},
	}
}

// lookupAndStore stores the blocks of a prompt and returns the number of its leading tokens that were cached.
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

func (c *prefixCache) eventsAfter(after uint64) []CacheEvent {
	events := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > after && time.Since(event.recordedAt) >= c.eventLag {
			events = append(events, event)
		}
	}
	return events
}

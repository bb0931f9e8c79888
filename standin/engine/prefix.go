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
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Stored   bool   `json:"stored"`
	at       time.Time
}

type prefixCache struct {
	limit    int
	lag      time.Duration
	gap      int
	rng      *rand.Rand
	blocks   map[uint64]uint64
	clock    uint64
	sequence uint64
	log      []CacheEvent
}

func newPrefixCache(config Config) *prefixCache {
	return &prefixCache{
		limit:  config.CacheBlocks,
		lag:    config.EventLag,
		gap:    config.LostEventsPerMille,
		rng:    rand.New(rand.NewPCG(config.Seed, 1)),
		blocks: map[uint64]uint64{},
	}
}

// touch stores the blocks of a prompt and returns the number of its leading tokens that were cached.
func (c *prefixCache) touch(request client.Request) int {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Model + request.Adapter)
	cached := 0
	leading := true
	for start := 0; start+blockChars <= len(request.Prompt); start += blockChars {
		_, _ = digest.WriteString(request.Prompt[start : start+blockChars])
		hit := c.store(digest.Sum64())
		leading = leading && hit
		if leading {
			cached += blockChars / charsPerToken
		}
	}
	return cached
}

func (c *prefixCache) store(block uint64) bool {
	if c.limit <= 0 {
		return false
	}
	c.clock++
	_, hit := c.blocks[block]
	c.blocks[block] = c.clock
	if hit {
		return true
	}
	c.publish(block, true)
	if len(c.blocks) > c.limit {
		c.evict()
	}
	return false
}

func (c *prefixCache) evict() {
	var oldest uint64
	first := true
	for block, used := range c.blocks {
		if first || used < c.blocks[oldest] {
			oldest = block
			first = false
		}
	}
	delete(c.blocks, oldest)
	c.publish(oldest, false)
}

func (c *prefixCache) publish(block uint64, stored bool) {
	c.sequence++
	if c.rng.IntN(perMille) < c.gap {
		return
	}
	c.log = append(c.log, CacheEvent{Sequence: c.sequence, Block: block, Stored: stored, at: time.Now()})
	if len(c.log) > maxCacheEvents {
		c.log = c.log[1:]
	}
}

func (c *prefixCache) since(after uint64) []CacheEvent {
	events := []CacheEvent{}
	for _, event := range c.log {
		if event.Sequence > after && time.Since(event.at) >= c.lag {
			events = append(events, event)
		}
	}
	return events
}

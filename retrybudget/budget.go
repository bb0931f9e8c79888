package retrybudget

import (
	"sync"
	"time"
)

const bucketsPerWindow = 10

// Limits bound the retries of all gateways together.
type Limits struct {
	Ratio  float64       // retries for each request in a window
	Extra  float64       // retries in a window beyond the ratio
	Window time.Duration // any span of this length counts
}

// margin keeps a gateway below its part, since the windows of others are not in step.
const margin = 0.7

// Budget counts the requests and retries of one gateway by service.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	services map[string]*counts
}

type counts struct {
	requests, retries [bucketsPerWindow]float64
	current           int64
}

// New returns a budget with nothing counted.
func New(limits Limits) *Budget { return &Budget{limits: limits, services: map[string]*counts{}} }

// SetLimits replaces the limits; the counts stay unless the window changes.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.limits.Window {
		b.services = map[string]*counts{}
	}
	b.limits = limits
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.roll(service, now)
	c.requests[c.current%bucketsPerWindow]++
}

// Take counts a retry and reports whether it is within this gateway's part, which shares the extra with the other
// gateways.
func (b *Budget) Take(service string, gateways int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.roll(service, now)
	allowed := margin * (b.limits.Ratio*sum(c.requests) + b.limits.Extra/float64(max(1, gateways)))
	if sum(c.retries)+1 > allowed {
		return false
	}
	c.retries[c.current%bucketsPerWindow]++
	return true
}

// roll returns the counts of a service with the buckets that have left the window emptied.
func (b *Budget) roll(service string, now time.Time) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	bucket := now.UnixNano() / int64(b.limits.Window/bucketsPerWindow)
	for steps := 0; c.current < bucket && steps < bucketsPerWindow; steps++ {
		c.current++
		c.requests[c.current%bucketsPerWindow] = 0
		c.retries[c.current%bucketsPerWindow] = 0
	}
	c.current = max(c.current, bucket)
	return c
}

func sum(buckets [bucketsPerWindow]float64) float64 {
	total := 0.0
	for _, n := range buckets {
		total += n
	}
	return total
}

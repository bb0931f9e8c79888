package retrybudget

import (
	"maps"
	"sync"
	"time"
)

// bucketsPerWindow is the number of buckets by which the sliding window is approximated.
const bucketsPerWindow = 10

// Limits bound the retries that all gateways together send to one service.
type Limits struct {
	PerRequest     float64       // retries allowed for each request in a window
	ExtraPerWindow float64       // retries allowed in a window besides those of PerRequest
	Window         time.Duration // length of the sliding window; the limits hold for any span of this length
}

// safetyFactor keeps a gateway below its share of the limits, since the windows of the gateways are not aligned in time.
const safetyFactor = 0.7

// Budget counts the requests and retries that one gateway sends to each service. Its methods are safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	services map[string]*serviceCounts
}

// serviceCounts holds the requests and retries of a service in a ring of buckets.
type serviceCounts struct {
	requests, retries [bucketsPerWindow]float64
	currentBucket     int64
}

// New returns a budget with empty counts.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, services: map[string]*serviceCounts{}}
}

// SetLimits replaces the limits. The counts are kept unless the length of the window changes.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.limits.Window {
		b.services = map[string]*serviceCounts{}
	}
	b.limits = limits
}

// CountRequest counts a request to a service, which raises its retry limit.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.advance(service, now)
	counts.requests[counts.currentBucket%bucketsPerWindow]++
}

// AllowRetry reports whether a retry is within this gateway's share of the limits and, if so, counts it. The given number
// of gateways split ExtraPerWindow evenly.
func (b *Budget) AllowRetry(service string, gateways int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.advance(service, now)
	allowed := safetyFactor * (b.limits.PerRequest*sum(counts.requests) + b.limits.ExtraPerWindow/float64(max(1, gateways)))
	if sum(counts.retries)+1 > allowed {
		return false
	}
	counts.retries[counts.currentBucket%bucketsPerWindow]++
	return true
}

// advance returns the counts of a service after clearing the buckets that have left the window; the caller holds the lock.
func (b *Budget) advance(service string, now time.Time) *serviceCounts {
	counts := b.services[service]
	bucket := now.UnixNano() / int64(b.limits.Window/bucketsPerWindow)
	if counts == nil {
		b.forgetUnused(bucket)
		counts = &serviceCounts{}
		b.services[service] = counts
	}
	for steps := 0; counts.currentBucket < bucket && steps < bucketsPerWindow; steps++ {
		counts.currentBucket++
		counts.requests[counts.currentBucket%bucketsPerWindow] = 0
		counts.retries[counts.currentBucket%bucketsPerWindow] = 0
	}
	counts.currentBucket = max(counts.currentBucket, bucket)
	return counts
}

// forgetUnused drops the services all of whose counts have left the window; the caller holds the lock.
func (b *Budget) forgetUnused(currentBucket int64) {
	maps.DeleteFunc(b.services, func(_ string, counts *serviceCounts) bool {
		return currentBucket-counts.currentBucket >= bucketsPerWindow
	})
}

func sum(buckets [bucketsPerWindow]float64) float64 {
	total := 0.0
	for _, count := range buckets {
		total += count
	}
	return total
}

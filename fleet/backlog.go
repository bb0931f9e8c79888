package fleet

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time constant of the average load of a target.
	loadTimeConstant = 2 * time.Second
	// maxBacklogCostMs is the upper bound of backlogCost.
	maxBacklogCostMs = 200
)

// loadAverage is the time average of a measure of a target's load: the prefill work that waits there, in ms, or the number of requests.
type loadAverage struct {
	average   float64
	current   float64 // since updatedAt
	updatedAt time.Time
}

// set records that the load is now current.
func (b *loadAverage) set(current float64, now time.Time) {
	b.average, b.current, b.updatedAt = b.valueAt(now), current, now
}

// valueAt returns the average at a time at or after the last update.
func (b *loadAverage) valueAt(now time.Time) float64 {
	if b.updatedAt.IsZero() {
		return 0
	}
	left := math.Exp(-float64(max(0, now.Sub(b.updatedAt))) / float64(loadTimeConstant))
	return b.current + (b.average-b.current)*left
}

// backlogCost returns a cost in ms of a target for a request with a short prompt: while prompts wait there to be prefilled,
// each step of the batch takes several times as long, and the events of its streams come late.
func (s *targetState) backlogCost(now time.Time) float64 {
	return min(maxBacklogCostMs, s.backlog.valueAt(now))
}

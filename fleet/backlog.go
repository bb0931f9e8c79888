package fleet

import (
	"math"
	"time"
)

const (
	// backlogTimeConstant is the time constant of a target's average backlog.
	backlogTimeConstant = 2 * time.Second
	// maxBacklogCostMs is the upper bound of backlogCost.
	maxBacklogCostMs = 200
)

// backlog is the time average of the prefill work that waits at a target, in ms.
type backlog struct {
	averageMs float64
	currentMs float64 // since updatedAt
	updatedAt time.Time
}

// set records that the waiting work is now currentMs.
func (b *backlog) set(currentMs float64, now time.Time) {
	b.averageMs, b.currentMs, b.updatedAt = b.valueAt(now), currentMs, now
}

// valueAt returns the average at a time at or after the last update.
func (b *backlog) valueAt(now time.Time) float64 {
	if b.updatedAt.IsZero() {
		return 0
	}
	left := math.Exp(-float64(max(0, now.Sub(b.updatedAt))) / float64(backlogTimeConstant))
	return b.currentMs + (b.averageMs-b.currentMs)*left
}

// backlogCost returns a cost in ms of a target for a request with a short prompt: while prompts wait there to be prefilled,
// each step of the batch takes several times as long, and the events of its streams come late.
func (s *targetState) backlogCost(now time.Time) float64 {
	return min(maxBacklogCostMs, s.backlog.valueAt(now))
}

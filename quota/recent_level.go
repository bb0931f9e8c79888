package quota

import (
	"time"

	"gypsumbank/quotalevels"
)

// recentLevel is the lowest level that was enough in the current interval and the one before it.
type recentLevel struct {
	length  time.Duration // of an interval
	endsAt  time.Time     // when the current one does
	current quotalevels.Level
	before  quotalevels.Level
}

// begin begins with a level that is taken to have been needed so far.
func (r *recentLevel) begin(level quotalevels.Level, now time.Time) {
	r.endsAt, r.current, r.before = now.Add(r.length), level, level
}

// rotate begins a new interval once the current one is over.
func (r *recentLevel) rotate(now time.Time) {
	if now.Before(r.endsAt) {
		return
	}
	r.before = r.current
	if now.Sub(r.endsAt) >= r.length {
		r.before = 0
	}
	r.endsAt, r.current = now.Add(r.length), 0
}

// highest returns the level that was enough in both intervals.
func (r *recentLevel) highest() quotalevels.Level { return max(r.current, r.before) }

package quarantine

import (
	"slices"
	"time"
)

// countSpaced returns how many of the times count if each must be minCrashSpacing after the last one that counts.
func countSpaced(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range times {
		if count == 0 || at.Sub(last) >= minCrashSpacing {
			count++
			last = at
		}
	}
	return count
}

// Package occupancy decides which order an engine gets next, so that it comes to hold what requests need and never more
// than its memory. It has no network, clock or goroutine.
package occupancy

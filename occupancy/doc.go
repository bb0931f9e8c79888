// Package occupancy turns requests to hold models and adapters into a sequence of load and unload orders for one engine
// that never exceeds its memory or adapter slots. It uses no network, clock or goroutine.
package occupancy

// Package fleet keeps a gateway's view of the targets, chooses the target of each request and plans which models the
// targets load. It uses no network, clock or goroutine.
package fleet

// Package fleet keeps a gateway's view of the targets, chooses the target of each request and plans which models the
// targets load. A plain service is one whose targets are not model engines. The package uses no network, clock or
// goroutine.
package fleet

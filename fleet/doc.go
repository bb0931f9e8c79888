// Package fleet holds what a gateway knows of the targets, how old that is, and chooses among them. It has no network,
// clock or goroutine.
package fleet

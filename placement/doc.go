// Package placement assigns models to targets by rendezvous hashing. Processes with the same inputs compute the same
// assignment without exchanging messages.
package placement

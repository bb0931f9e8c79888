// Package agent observes the engine beside it, tells gateways what the engine holds and does, and is the only process
// that gives the engine orders.
package agent

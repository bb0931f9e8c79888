// Package standby decides which runs are worth a copy of their KV cache at a second engine, at which engine, and when an attempt is given up
// on news of its engine. It has no state, clock or goroutine.
package standby

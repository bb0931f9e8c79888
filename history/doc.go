// Package history orders what processes have read from the platform's store by the store's own history, whoever read it and whenever
// it arrived.
package history

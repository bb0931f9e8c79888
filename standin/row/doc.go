// Package row provides a test double of a single row of the platform's store, for tests of processes that coordinate
// through a row with compare-and-swap.
package row

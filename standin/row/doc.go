// Package row stands in for a row of the platform's store in tests of what processes agree on through it.
package row

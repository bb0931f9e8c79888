// Package completeness says how far an answer that has ended is known to be whole.
package completeness

// Package pause sleeps for a duration or until a context ends.
package pause

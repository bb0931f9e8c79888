// Package pause waits for a time or the end of a context.
package pause

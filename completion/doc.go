// Package completion reads requests for completions and writes answers in the shapes that callers expect.
package completion

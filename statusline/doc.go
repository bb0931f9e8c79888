// Package statusline says which HTTP statuses are those of an answer, and rejects answers without one, which a client library may take for a success.
package statusline

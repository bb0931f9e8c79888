// Package keepalive decides when a server closes the connections on which callers may send further requests. A connection is closed as idle only by
// the goroutine that reads it, after it has seen that no byte of a further request is there; once one has been read, the request is answered.
package keepalive

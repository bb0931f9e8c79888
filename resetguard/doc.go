// Package resetguard lets the peer of a connection tell an answer that was broken off from one that ended in order, where only the end of the
// connection marks the end of the answer.
package resetguard

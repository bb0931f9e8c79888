// Package reply tells what became of a request that was sent to a target.
package reply

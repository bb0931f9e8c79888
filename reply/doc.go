// Package reply defines the possible results of sending a request to a target.
package reply

// Package waitlist orders the requests of a gateway that wait for room at the targets which hold their model.
package waitlist

// Package limiter enforces the limits of the customers' plans at one entry.
package limiter

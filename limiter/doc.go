// Package limiter holds customers to the limits of their plans.
package limiter

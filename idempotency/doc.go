// Package idempotency decides whether a call with an idempotency key may run at one replica of a plain service.
package idempotency

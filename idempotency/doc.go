// Package idempotency makes calls of a plain service with an idempotency key run at most once.
//
// The keys of a service are spread over a fixed number of slots, and each slot is owned by one replica of the service.
// The owner of a key's slot decides whether a call may run. It writes a claim to the table before the call runs and the
// outcome afterwards, so that a later owner knows both. If the table cannot be reached for long, calls run without a
// claim; the owner's heartbeat in the table then tells a later owner that claims may be missing.
package idempotency

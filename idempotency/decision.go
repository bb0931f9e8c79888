package idempotency

import (
	"time"

	"gypsumbank/service"
)

// Decision is the result of Begin for a call: Run, Replay, Unknown, NotOwner, NotReady or Mismatch.
type Decision interface{ decision() }

// Run means that the call may run now and nowhere else. It must be ended with Finish.
type Run struct{ record *record }

// Replay means that the call has run before. Answer is nil if it was too large to keep.
type Replay struct{ Answer *service.Answer }

// Unknown means that the call may have run before and that its answer is not available.
type Unknown struct{ Detail string }

// NotOwner means that the call was not run because this target does not own the key's slot. Owner is the owner in the
// assignment read last, or empty.
type NotOwner struct{ Owner string }

// NotReady means that the call was not run and may be retried.
type NotReady struct {
	Detail     string
	RetryAfter time.Duration
}

// Mismatch means that the call was not run because the key was used before with another request.
type Mismatch struct{}

func (Run) decision()      {}
func (Replay) decision()   {}
func (Unknown) decision()  {}
func (NotOwner) decision() {}
func (NotReady) decision() {}
func (Mismatch) decision() {}

package idempotency

import (
	"time"

	"gypsumbank/service"
)

// Decision is what Begin decides about a call: Run, Replay, Unknown, NotOwner, NotReady or Mismatch.
type Decision interface{ decision() }

// Run says that the caller holds the only right to run the call and must end it with Finish.
type Run struct{ record *record }

// Replay says that the call has run; Answer is nil if it was too large to keep.
type Replay struct{ Answer *service.Answer }

// Unknown says that the call may have run and that its answer is not to be had.
type Unknown struct{ Detail string }

// NotOwner says that the call was not run because another target owns the key.
type NotOwner struct{ Owner string }

// NotReady says that the call was not run and may be tried again later.
type NotReady struct {
	Detail     string
	RetryAfter time.Duration
}

// Mismatch says that the key was used before with another request, so the call was not run.
type Mismatch struct{}

func (Run) decision()      {}
func (Replay) decision()   {}
func (Unknown) decision()  {}
func (NotOwner) decision() {}
func (NotReady) decision() {}
func (Mismatch) decision() {}

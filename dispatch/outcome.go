package dispatch

import (
	"time"

	"gypsumbank/fleet"
	"gypsumbank/sender"
)

// Outcome is the final result of a dispatch: Answered, Refused, Failed or Abandoned.
type Outcome interface{ isOutcome() }

// Answered holds a response to forward to the caller. Its assignment must be ended.
type Answered struct {
	Response   *sender.Response
	Assignment *fleet.Assignment
}

// Refused reports that the request has not run and will not run.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Failed reports that there is no response, or no complete one, and that the request may have run.
type Failed struct {
	Reason   Reason
	TimedOut bool
}

// Abandoned reports that the caller has disconnected.
type Abandoned struct{}

func (Answered) isOutcome()  {}
func (Refused) isOutcome()   {}
func (Failed) isOutcome()    {}
func (Abandoned) isOutcome() {}

// Reason is why a request was not served, as written to logs, metrics and the response to the caller.
type Reason string

// The reasons of the dispatcher and of the gateway.
const (
	NoTarget       Reason = "no-target"
	NoModel        Reason = "model-not-loaded"
	NoAdapter      Reason = "adapter-not-loaded"
	Overload       Reason = "overload"
	AllRefused     Reason = "all-targets-refused"
	NoRetryBudget  Reason = "no-retry-budget"
	AnswerLost     Reason = "answer-lost"
	TimeoutNotRun  Reason = "timeout-not-run"
	TimeoutMayRun  Reason = "timeout-may-run"
	Stopping       Reason = "gateway-stops"
	NoRoutes       Reason = "no-routes-known"
	NoRoute        Reason = "no-such-route"
	BodyTooLarge   Reason = "body-too-large"
	UnreadableBody Reason = "unreadable-body"
	BodyStalled    Reason = "body-stalled"
	NoMemory       Reason = "no-memory"
	StreamBroken   Reason = "stream-broken"
	CrashesTargets Reason = "crashes-targets"
	UnknownVersion Reason = "stream-version-unknown"
	NoDescriptors  Reason = "no-descriptors"
	QuotaExceeded  Reason = "quota-exceeded"
	QuotaUnknown   Reason = "quota-unknown" // no agent that keeps it answers
	NoKey          Reason = "no-key"
	UnknownKey     Reason = "unknown-key"
	OldRoutes      Reason = "routes-too-old"
)

// finalOutcome returns refused, or a failure with the same reason if an earlier attempt may have run.
func (d *Dispatch) finalOutcome(refused Refused) Outcome {
	if d.possibleRuns > 0 {
		return Failed{Reason: refused.Reason}
	}
	return refused
}

// contextOutcome returns the outcome of a request whose caller has disconnected, whose deadline has passed or whose process stops.
func (d *Dispatch) contextOutcome() Outcome {
	if d.GraceOver() {
		return d.finalOutcome(Refused{Reason: Stopping, RetryAfter: StoppingRetryAfter})
	}
	if !d.TimedOut() {
		return Abandoned{}
	}
	if d.possibleRuns > 0 {
		return Failed{Reason: TimeoutMayRun, TimedOut: true}
	}
	return Refused{Reason: TimeoutNotRun, RetryAfter: defaultRetryAfter}
}

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
	StreamBroken   Reason = "stream-broken"
	CrashesTargets Reason = "crashes-targets"
	UnknownVersion Reason = "stream-version-unknown"
)

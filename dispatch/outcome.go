package dispatch

import (
	"time"

	"gypsumbank/fleet"
	"gypsumbank/sender"
)

// Outcome is one of Answered, Refused, Failed and Abandoned.
type Outcome interface{ sealed() }

// Answered is an answer to pass on; the assignment must be ended.
type Answered struct {
	Answer     *sender.Response
	Assignment *fleet.Assignment
}

// Refused tells that the request has not run and will not.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Failed tells that the request has no answer and may have run.
type Failed struct {
	Reason   Reason
	TimedOut bool
}

// Abandoned tells that the caller has left.
type Abandoned struct{}

func (Answered) sealed()  {}
func (Refused) sealed()   {}
func (Failed) sealed()    {}
func (Abandoned) sealed() {}

// Reason names in logs and metrics why a request was not answered.
type Reason string

// The reasons.
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
)

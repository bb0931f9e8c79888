package reply

import (
	"errors"

	"gypsumbank/registry"
	"gypsumbank/sender"
)

// ErrInvalid reports an answer that its target may go on with, but that must not be passed on.
var ErrInvalid = errors.New("answer is invalid")

// Result is how one attempt to send a request ended: Answered, NotRun, NotSent or NoUsableResponse.
type Result interface{ isResult() }

// Answered is a response that the target itself gave; its body is yet to be read.
type Answered struct {
	Response *sender.Response
	Notice   registry.Notice
}

// NotRun is a response in which the target declares that it has not run the request and will not run it.
type NotRun struct {
	// Misdirected is set if the request reached another target than intended, or one that lacks the model or adapter.
	Misdirected bool
	// OtherTargetID is the id of the target that responded, if it is not the intended one; empty otherwise.
	OtherTargetID string
	// Notice is what the intended target says of itself.
	Notice registry.Notice
}

// NotSent reports that the request has not run: at most the first bytes of its head have left this process.
type NotSent struct{ Err error }

// NoUsableResponse reports that there is no usable response; the request may have run or may still run.
type NoUsableResponse struct{ Err error }

func (Answered) isResult()         {}
func (NotRun) isResult()           {}
func (NotSent) isResult()          {}
func (NoUsableResponse) isResult() {}

package reply

import "gypsumbank/sender"

// Result is one of Answered, NotRun, NotSent and Broken.
type Result interface{ sealed() }

// Answered is the target's own answer; its body follows.
type Answered struct{ Response *sender.Response }

// NotRun is the target's word that it has not run the request and will not.
type NotRun struct {
	// Misdirected is set if another target, or one without the model or adapter, was asked.
	Misdirected bool
	// OtherTargetID is the id of the target that answered if it is not the one that was meant.
	OtherTargetID string
}

// NotSent tells that nothing of the request left this process.
type NotSent struct{ Err error }

// NoUsableResponse tells that there is no usable answer; the request may have run or may run yet.
type NoUsableResponse struct{ Err error }

func (Answered) sealed()         {}
func (NotRun) sealed()           {}
func (NotSent) sealed()          {}
func (NoUsableResponse) sealed() {}

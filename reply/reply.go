package reply

import "gypsumbank/sender"

// Reply is one of Answered, NotRun, NotSent and Broken.
type Reply interface{ sealed() }

// Answered is the target's own answer; its body follows.
type Answered struct{ Answer *sender.Answer }

// NotRun is the target's word that it has not run the request and will not.
type NotRun struct {
	// Misplaced is set if another target, or one without the model or adapter, was asked.
	Misplaced bool
	// Other is the id of the target that answered if it is not the one that was meant.
	Other string
}

// NotSent tells that nothing of the request left this process.
type NotSent struct{ Err error }

// Broken tells that there is no usable answer; the request may have run or may run yet.
type Broken struct{ Err error }

func (Answered) sealed() {}
func (NotRun) sealed()   {}
func (NotSent) sealed()  {}
func (Broken) sealed()   {}

package reply

import "gypsumbank/sender"

// Reply is the result of one attempt to send a request: Answered, NotRun, NotSent or Broken.
type Reply interface{ isReply() }

// Answered is a response that the target itself gave; its body is yet to be read.
type Answered struct{ Answer *sender.Answer }

// NotRun is a response in which the target declares that it has not run the request and will not run it.
type NotRun struct {
	// Misplaced is set if the request reached another target than intended, or one that lacks the model or adapter.
	Misplaced bool
	// Other is the id of the target that responded, if it is not the intended one; empty otherwise.
	Other string
}

// NotSent reports that no part of the request left this process.
type NotSent struct{ Err error }

// Broken reports that there is no usable response; the request may have run or may still run.
type Broken struct{ Err error }

func (Answered) isReply() {}
func (NotRun) isReply()   {}
func (NotSent) isReply()  {}
func (Broken) isReply()   {}

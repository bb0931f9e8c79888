package registry

import "time"

// Notice is what a target says of itself in an answer.
type Notice struct {
	Limit   RequestLimit
	Leaving bool          // it is about to end; it says so in all its answers
	Rest    time.Duration // for which it wants no requests from this gateway; 0 if it asks for none
}

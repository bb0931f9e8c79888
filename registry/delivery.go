package registry

import "time"

// Delivery tells how a request is sent to a target.
type Delivery struct {
	Target Target
	Left   time.Duration // until the answer is due
	Unique bool          // the request must not run twice
	KeptAt string        // address of a target that keeps more of the prompt, to fetch it from; or empty
}

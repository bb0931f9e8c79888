package registry

import "time"

// Delivery describes how a request is to be sent to a target.
type Delivery struct {
	Target Target
	Left   time.Duration // until the answer is due
	Unique bool          // the request must not run twice
	KeptAt string        // address of a target to fetch more of the prompt's KV cache from; empty for none
}

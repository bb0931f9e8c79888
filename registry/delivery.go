package registry

import "time"

// Delivery describes how a request is to be sent to a target.
type Delivery struct {
	Target        Target
	TimeLeft      time.Duration // until the answer is due
	AtMostOnce    bool          // the request must not run twice
	KVCacheSource string        // address of a target to fetch more of the prompt's KV cache from; empty for none
}

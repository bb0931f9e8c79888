package registry

import "time"

// Delivery tells how a request is sent to a target.
type Delivery struct {
	Target        Target
	TimeLeft      time.Duration // until the answer is due
	AtMostOnce    bool          // the request must not run twice
	KVCacheSource string        // address of a target that keeps more of the prompt, to fetch it from; or empty
}

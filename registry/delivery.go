package registry

import "time"

// Delivery describes how a request is to be sent to a target.
type Delivery struct {
	Target        Target
	TimeLeft      time.Duration // until the answer is due
	AtMostOnce    bool          // the request must not run twice
	KVCacheSource string        // address of a target to fetch more of the prompt's KV cache from; empty for none
	BackupAddress string        // address of a target to copy the run's KV cache to as it grows; empty for none
	Copy          *RunCopy      // KV cache that a run goes on from; nil for a new run
}

// RunCopy is a copy of a run's KV cache, from which the run can go on.
type RunCopy struct {
	Address string // of the target that names the copy
	Name    string // id of the run's request, or the handle of a move
}

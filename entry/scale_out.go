package entry

import (
	"context"
	"time"

	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const (
	scaleOutInterval = 5 * time.Second // minimum time between two requests for a further copy of one model
	prepareTimeout   = 30 * time.Second
)

// scaleOut requests a further copy of a job's model in the background if every target that holds the model is slow or
// has no free slot and another target has spare capacity.
func (e *Entry) scaleOut(ctx context.Context, job *job) {
	e.mu.Lock()
	recent := time.Since(e.lastScaleOut[job.model]) < scaleOutInterval
	e.mu.Unlock()
	if recent {
		return
	}
	vm, ok := e.router.ScaleOutTarget(job.model)
	if !ok {
		return
	}
	e.mu.Lock()
	e.lastScaleOut[job.model] = time.Now()
	e.mu.Unlock()
	e.recordEvent(job.event(timeline.CopyAsked, vm.Name, "all holders are slow or have more work than slots"))
	go e.loadFurtherCopy(context.WithoutCancel(ctx), vm, job.model)
}

// loadFurtherCopy makes a target load a model ahead of requests.
func (e *Entry) loadFurtherCopy(ctx context.Context, vm vmlist.VM, model string) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	client := wire.NewDRPCSidecarClient(e.node.Dialer().Conn(ctx, vm.Address))
	if _, err := client.Prepare(ctx, &wire.PrepareRequest{Model: model}); err != nil {
		e.log.WithError(err).WithField("target", vm.Name).Debug("further copy of a model not loaded")
	}
}

package entry

import (
	"context"
	"time"

	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const (
	scaleOutInterval = 5 * time.Second // time between two further copies of one model
	prepareTimeout   = 30 * time.Second
)

// scaleOut asks for a further copy of a job's model if all targets that hold it are slow or have more work than slots.
func (e *Entry) scaleOut(ctx context.Context, job *job) {
	e.mu.Lock()
	recent := time.Since(e.copied[job.model]) < scaleOutInterval
	e.mu.Unlock()
	if recent {
		return
	}
	vm, ok := e.router.ScaleOutTarget(job.model)
	if !ok {
		return
	}
	e.mu.Lock()
	e.copied[job.model] = time.Now()
	e.mu.Unlock()
	e.record(job.event(timeline.CopyAsked, vm.Name, "all holders are slow or have more work than slots"))
	go e.prepare(context.WithoutCancel(ctx), vm, job.model)
}

func (e *Entry) prepare(ctx context.Context, vm vmlist.VM, model string) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	client := wire.NewDRPCSidecarClient(e.node.Dialer().Conn(ctx, vm.Address))
	if _, err := client.Prepare(ctx, &wire.PrepareRequest{Model: model}); err != nil {
		e.log.WithError(err).WithField("target", vm.Name).Debug("no further copy")
	}
}

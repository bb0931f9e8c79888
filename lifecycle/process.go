package lifecycle

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Component is a long-running function of a process that returns when its context ends.
type Component func(ctx context.Context) error

// Process is a set of components that run together, with a function that drains the process before they stop.
type Process struct {
	drain      func()
	components []Component
}

// New returns a process that calls drain before it stops its components.
func New(drain func(), components ...Component) *Process {
	return &Process{drain: drain, components: components}
}

// Run runs all components. When ctx ends, it drains while they keep running, and then stops them. When a component
// fails, Run stops the others at once, without a drain, and returns the error.
func (p *Process) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	for _, component := range p.components {
		group.Go(func() error { return component(runCtx) })
	}
	select {
	case <-ctx.Done():
		p.drain()
	case <-runCtx.Done():
	}
	stop()
	return group.Wait()
}

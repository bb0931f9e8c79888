package lifecycle

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Component is a part of a process that runs until its context ends.
type Component func(ctx context.Context) error

// Process is a set of parts with a drain.
type Process struct {
	drain func()
	parts []Component
}

// New returns a process that calls drain before its parts are ended.
func New(drain func(), parts ...Component) *Process { return &Process{drain: drain, parts: parts} }

// Run runs all parts. When ctx ends it drains while they go on, and ends them then; when one fails it ends the others at
// once and returns that error.
func (p *Process) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	for _, part := range p.parts {
		group.Go(func() error { return part(serving) })
	}
	select {
	case <-ctx.Done():
		p.drain()
	case <-serving.Done():
	}
	stop()
	return group.Wait()
}

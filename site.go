package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gypsumbank/logs"
	"gypsumbank/platform"
	"gypsumbank/reload"
	"gypsumbank/settings"
)

// boundsVariable is the environment variable with the bounds of the deployment, as the platform has them. They are not in the settings file since not
// every deployment has all of them.
const boundsVariable = "GYPSUMBANK_BOUNDS"

const (
	// memoryLimitFraction is the fraction of the configured memory that becomes the runtime's soft limit, above which it
	// collects garbage more often.
	memoryLimitFraction = 0.75
	// gcPercent is the growth of the heap in percent that starts a garbage collection. It can be high, as the live heap
	// is a few MB.
	gcPercent = 400
)

// siteProcess is a gateway or an agent: a process on the users' platform, to which changed settings are applied while
// it runs.
type siteProcess interface {
	Run(ctx context.Context) error
	Apply(config *settings.Config)
}

// runSiteProcess runs a process with the settings file at path, which must hold the given section, and applies changes
// of the file while the process runs.
func runSiteProcess(ctx context.Context, env Env, path, section string, newProcess func(*settings.Config, *logrus.Entry) siteProcess) error {
	watcher, err := reload.New(path)
	if err != nil {
		return err
	}
	bounds, err := platform.BoundSettings(os.Getenv(boundsVariable))
	if err != nil {
		return fmt.Errorf("%s: %w", boundsVariable, err)
	}
	config, err := settings.NewWithBounds(path, watcher.Content(), bounds)
	if err != nil {
		return err
	}
	if err := checkSection(config, path, section); err != nil {
		return err
	}
	tuneRuntime(config.Limits)
	out := logs.NewWriter(env.Out)
	defer out.Close()
	log := logs.New(config.Log, config.Node, out)
	log.WithField("bounds", bounds).Info("bounds of the deployment")
	process := newProcess(config, log)
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	group, watchCtx := errgroup.WithContext(watchCtx)
	group.Go(func() error { return watcher.Run(watchCtx, process.Apply, log) })
	err = process.Run(ctx)
	stopWatching()
	return errors.Join(err, group.Wait())
}

// tuneRuntime configures the Go runtime for a VM with one processor and little memory.
func tuneRuntime(limits settings.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	limitHeap(limits)
}

// limitHeap has the runtime collect garbage more often where the heap comes close to the memory of the process.
func limitHeap(limits settings.Limits) {
	if limits.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMiB) * memoryLimitFraction * (1 << 20)))
	}
}

package main

import (
	"context"
	"errors"
	"runtime"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gypsumbank/logs"
	"gypsumbank/reload"
	"gypsumbank/settings"
)

const (
	// softMemoryShare is the part of the memory limit above which garbage is collected more often.
	softMemoryShare = 0.6
	// garbagePercent is the growth of the heap between collections; the live heap is a few MB.
	garbagePercent = 400
)

// siteProcess is a process on the users' platform.
type siteProcess interface {
	Run(ctx context.Context) error
	Apply(config *settings.Config)
}

// runSite runs a process of the users' platform by the section of the file at path and puts changes of it in force.
func runSite(ctx context.Context, env Env, path, section string, start func(*settings.Config, *logrus.Entry) siteProcess) error {
	config, err := loadConfig(path, section)
	if err != nil {
		return err
	}
	tune(config.Limits)
	out := logs.NewWriter(env.Out)
	defer out.Close()
	log := logs.New(config.Log, config.Node, out)
	process := start(config, log)
	watcher, err := reload.New(path, process.Apply, log)
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	group, watching := errgroup.WithContext(watching)
	group.Go(func() error { return watcher.Run(watching) })
	err = process.Run(ctx)
	stop()
	return errors.Join(err, group.Wait())
}

// tune fits the runtime to a VM with one processor and little memory.
func tune(limits settings.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(garbagePercent)
	if limits.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMiB) * softMemoryShare * (1 << 20)))
	}
}

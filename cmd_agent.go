package main

import (
	"context"
	"errors"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"gypsumbank/agent"
	"gypsumbank/logs"
	"gypsumbank/reload"
)

var cmdAgent = command{
	name: "agent",
	help: "Run an agent, which observes an engine on the users' platform and gives it its orders.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			config, err := loadConfig(*path, "agent")
			if err != nil {
				return err
			}
			tune(config.Limits)
			out := logs.NewWriter(env.Out)
			defer out.Close()
			log := logs.New(config.Log, config.Node, out)
			process := agent.New(config, log)
			watcher, err := reload.New(*path, process.Apply, log)
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
	},
}

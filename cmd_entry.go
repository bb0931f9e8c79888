package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/entry"
	"gypsumbank/logs"
)

var cmdEntry = command{
	name: "entry",
	help: "Run an entry, which routes callers' requests to targets through their sidecars.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			config, err := loadConfig(*path, "entry")
			if err != nil {
				return err
			}
			limitHeap(config.Limits)
			out := logs.NewWriter(env.Err)
			defer out.Close()
			e, err := entry.New(config, logs.New(config.Log, config.Node, out))
			if err != nil {
				return err
			}
			return e.Run(ctx)
		}
	},
}

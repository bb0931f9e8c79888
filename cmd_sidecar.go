package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/logs"
	"gypsumbank/sidecar"
)

var cmdSidecar = command{
	name: "sidecar",
	help: "Run the sidecar of one target, a model engine or a replica of a service.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			config, err := loadConfig(*path, "sidecar")
			if err != nil {
				return err
			}
			limitHeap(config.Limits)
			out := logs.NewWriter(env.Err)
			defer out.Close()
			s, err := sidecar.New(config, logs.New(config.Log, config.Node, out))
			if err != nil {
				return err
			}
			return s.Run(ctx)
		}
	},
}

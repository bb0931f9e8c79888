package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/gateway"
	"gypsumbank/logs"
)

var cmdGateway = command{
	name: "gateway",
	help: "Run a gateway, which serves callers on the users' platform.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			config, err := loadConfig(*path, "gateway")
			if err != nil {
				return err
			}
			tune(config.Limits)
			return gateway.New(config, logs.New(config.Log, config.Node, env.Out)).Run(ctx)
		}
	},
}

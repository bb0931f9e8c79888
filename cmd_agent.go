package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/agent"
	"gypsumbank/logs"
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
			return agent.New(config, logs.New(config.Log, config.Node, env.Out)).Run(ctx)
		}
	},
}

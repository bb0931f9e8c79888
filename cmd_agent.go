package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"gypsumbank/agent"
	"gypsumbank/settings"
)

var cmdAgent = command{
	name: "agent",
	help: "Run an agent, which observes an engine on the users' platform and gives it its orders.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return runSite(ctx, env, *path, "agent", func(config *settings.Config, log *logrus.Entry) siteProcess {
				return agent.New(config, log)
			})
		}
	},
}

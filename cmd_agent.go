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
	help: "Run an agent, which reports the state of an engine on the users' platform and passes load and unload orders to it.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return runSiteProcess(ctx, env, *path, "agent", func(config *settings.Config, log *logrus.Entry) siteProcess {
				return agent.New(config, log)
			})
		}
	},
}

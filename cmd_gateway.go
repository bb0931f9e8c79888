package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"gypsumbank/gateway"
	"gypsumbank/settings"
)

var cmdGateway = command{
	name: "gateway",
	help: "Run a gateway, which routes callers' requests to targets on the users' platform.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return runSiteProcess(ctx, env, *path, "gateway", func(config *settings.Config, log *logrus.Entry) siteProcess {
				return gateway.New(config, log)
			})
		}
	},
}

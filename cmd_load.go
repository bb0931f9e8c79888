package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/experiment"
)

var cmdLoad = command{
	name: "load",
	help: "Drive a running deployment with an experiment and report what callers saw.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		entries := clause.Flag("entry", "URL of an entry; may be given more than once.").Required().PlaceHolder("URL").Strings()
		asJSON := clause.Flag("json", "Print the report as JSON.").Bool()
		seed := clause.Flag("seed", "Seed in place of the one in the file.").Uint64()
		path := clause.Arg("experiment", "File with the experiment.").Required().String()
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			data, err := os.ReadFile(*path)
			if err != nil {
				return fmt.Errorf("experiment: %w", err)
			}
			plan, err := experiment.New(*path, data)
			if err != nil {
				return err
			}
			if *seed > 0 {
				plan.Seed = *seed
			}
			report, err := plan.Run(ctx, *entries, env.Err)
			if err != nil {
				return err
			}
			if *asJSON {
				return report.WriteJSON(env.Out)
			}
			return report.WriteText(env.Out)
		}
	},
}

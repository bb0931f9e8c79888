package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/deployment"
	"gypsumbank/experiment"
	"gypsumbank/logs"
	"gypsumbank/settings"
)

// loadOptions are the arguments of the command load.
type loadOptions struct {
	entries    *[]string
	deployment *string
	policies   *[]string
	seeds      *[]uint64
	scale      *float64
	asJSON     *bool
	path       *string
}

var cmdLoad = command{
	name: "load",
	help: "Drive a deployment with an experiment and report what callers saw.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		options := loadOptions{
			entries:    clause.Flag("entry", "URL of an entry of a running deployment; may be given more than once.").PlaceHolder("URL").Strings(),
			deployment: clause.Flag("deployment", "Start this deployment on stand-ins for each run: small, namib or magnolia.").Enum("small", "namib", "magnolia"),
			policies:   clause.Flag("policy", "Policy of a started deployment: default, first-come, no-avoidance, round-robin or least-in-flight; may be given more than once.").Default("default").Enums("default", "first-come", "no-avoidance", "round-robin", "least-in-flight"),
			seeds:      clause.Flag("seed", "Seed in place of the one in the file; may be given more than once.").Uint64List(),
			scale:      clause.Flag("scale", "Factor on all rates.").Default("1").Float64(),
			asJSON:     clause.Flag("json", "Print a JSON object a run.").Bool(),
			path:       clause.Arg("experiment", "File with the experiment.").Required().String(),
		}
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error { return runLoad(ctx, options, env) }
	},
}

func runLoad(ctx context.Context, options loadOptions, env Env) error {
	data, err := os.ReadFile(*options.path)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	plan, err := experiment.New(*options.path, data)
	if err != nil {
		return err
	}
	plan.Scale(*options.scale)
	if (len(*options.entries) == 0) == (*options.deployment == "") {
		return fmt.Errorf("load: give either --entry or --deployment")
	}
	seeds := *options.seeds
	if len(seeds) == 0 {
		seeds = []uint64{plan.Seed}
	}
	for _, seed := range seeds {
		plan.Seed = seed
		for _, policy := range *options.policies {
			report, err := runOnce(ctx, plan, policy, options, env)
			if err != nil {
				return err
			}
			if err := printReport(report, *options.asJSON, env); err != nil {
				return err
			}
		}
	}
	return nil
}

func runOnce(ctx context.Context, plan *experiment.Plan, policy string, options loadOptions, env Env) (*experiment.Report, error) {
	if *options.deployment == "" {
		return plan.Run(ctx, *options.entries, nil, env.Err)
	}
	size := deployment.Sizes()[*options.deployment]()
	size.Policy = deployment.Policies()[policy]
	size.Seed = plan.Seed
	d, err := deployment.New(ctx, size, "", logs.New(settings.Log{Level: "off"}, settings.Node{}, env.Err))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if policy != "round-robin" && policy != "least-in-flight" {
		if err := d.WaitReady(ctx); err != nil {
			return nil, err
		}
	}
	var entries []string
	for i := range d.Entries() {
		entries = append(entries, d.URL(i))
	}
	before := d.ModelLoads()
	report, err := plan.Run(ctx, entries, d.SlowEngines, env.Err)
	if err != nil {
		return nil, err
	}
	report.Policy, report.ModelLoads, report.Targets = policy, d.ModelLoads()-before, size.ModelReplicas
	return report, nil
}

func printReport(report *experiment.Report, asJSON bool, env Env) error {
	if asJSON {
		return report.WriteJSON(env.Out)
	}
	return report.WriteText(env.Out)
}

package main

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/meter"
	"gypsumbank/operator"
	"gypsumbank/usage"
)

var cmdUsage = command{
	name: "usage",
	help: "Show every member's use of accelerator time next to its allowance.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		asJSON := clause.Flag("json", "Print JSON, including the use that each node counted.").Bool()
		window := clause.Flag("window", "Measure the use over this period from now, instead of since the start of the nodes.").Duration()
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*path, func(o *operator.Operator) error {
				report, err := measureUsage(ctx, o, *window)
				if err != nil {
					return err
				}
				if *asJSON {
					return report.WriteJSON(env.Out)
				}
				return report.WriteText(env.Out)
			})
		}
	},
}

// measureUsage reports the use that the nodes have counted so far or, if window is positive, the use during that time.
func measureUsage(ctx context.Context, o *operator.Operator, window time.Duration) (*usage.Report, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	usedBefore := map[string]meter.Use{}
	if window > 0 {
		countedBefore, err := collectUse(ctx, o)
		if err != nil {
			return nil, err
		}
		usedBefore = countedBefore.Totals()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(window):
		}
	}
	countedAfter, err := collectUse(ctx, o)
	if err != nil {
		return nil, err
	}
	return usage.New(current.Allowances().MemberShares(), usedBefore, countedAfter.Totals(), countedAfter.All()), nil
}

// collectUse merges the usage counters that all nodes report.
func collectUse(ctx context.Context, o *operator.Operator) (*meter.Meter, error) {
	reports, err := o.Reports(ctx)
	if err != nil {
		return nil, err
	}
	merged := meter.New("operator", 0)
	for _, report := range reports {
		merged.Merge(report.Status.GetUsage())
	}
	return merged, nil
}

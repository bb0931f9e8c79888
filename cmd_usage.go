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
	help: "Show every member's use beside its share.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		asJSON := clause.Flag("json", "Print JSON, with each node's part.").Bool()
		window := clause.Flag("window", "Measure over this time instead of since the start of the nodes.").Duration()
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*path, func(o *operator.Operator) error {
				report, err := usageOver(ctx, o, *window)
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

func usageOver(ctx context.Context, o *operator.Operator, window time.Duration) (*usage.Report, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	before := map[string]meter.Use{}
	if window > 0 {
		counted, err := countedUse(ctx, o)
		if err != nil {
			return nil, err
		}
		before = counted.Totals()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(window):
		}
	}
	after, err := countedUse(ctx, o)
	if err != nil {
		return nil, err
	}
	return usage.New(current.Allowances().MemberShares(), before, after.Totals(), after.All()), nil
}

// countedUse merges the counters that all nodes know of.
func countedUse(ctx context.Context, o *operator.Operator) (*meter.Meter, error) {
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

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/meter"
	"gypsumbank/operator"
)

const barWidth = 30

// memberUsage is the use of one member beside its share.
type memberUsage struct {
	Member             string  `json:"member"`
	ShareOfAllowance   float64 `json:"share-of-allowance"`
	ShareOfUse         float64 `json:"share-of-use"`
	AcceleratorSeconds float64 `json:"accelerator-seconds"`
	PromptTokens       uint64  `json:"prompt-tokens"`
	CompletionTokens   uint64  `json:"completion-tokens"`
	Requests           uint64  `json:"requests"`
}

var cmdUsage = command{
	name: "usage",
	help: "Show every member's use beside its share.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		asJSON := clause.Flag("json", "Print JSON.").Bool()
		window := clause.Flag("window", "Measure over this time instead of since the start of the nodes.").Duration()
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*path, func(o *operator.Operator) error {
				usage, err := usageOver(ctx, o, *window)
				if err != nil {
					return err
				}
				return printUsage(env.Out, usage, *asJSON)
			})
		}
	},
}

func usageOver(ctx context.Context, o *operator.Operator, window time.Duration) ([]memberUsage, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	before := map[string]meter.Use{}
	if window > 0 {
		if before, err = totals(ctx, o); err != nil {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(window):
		}
	}
	after, err := totals(ctx, o)
	if err != nil {
		return nil, err
	}
	return compareUsage(current.Allowances().Members(), before, after), nil
}

// totals merges the counters that all nodes know of.
func totals(ctx context.Context, o *operator.Operator) (map[string]meter.Use, error) {
	reports, err := o.Reports(ctx)
	if err != nil {
		return nil, err
	}
	merged := meter.New("operator", 0)
	for _, report := range reports {
		merged.Merge(report.Status.GetUsage())
	}
	return merged.Totals(), nil
}

func compareUsage(shares map[string]int64, before, after map[string]meter.Use) []memberUsage {
	var usage []memberUsage
	var allShares, allSeconds float64
	for member, share := range shares {
		used, earlier := after[member], before[member]
		row := memberUsage{
			Member:             member,
			ShareOfAllowance:   float64(share),
			AcceleratorSeconds: (used.Accelerator - earlier.Accelerator).Seconds(),
			PromptTokens:       used.PromptTokens - earlier.PromptTokens,
			CompletionTokens:   used.CompletionTokens - earlier.CompletionTokens,
			Requests:           used.Requests - earlier.Requests,
		}
		allShares += row.ShareOfAllowance
		allSeconds += row.AcceleratorSeconds
		usage = append(usage, row)
	}
	for i := range usage {
		usage[i].ShareOfAllowance /= allShares
		if allSeconds > 0 {
			usage[i].ShareOfUse = usage[i].AcceleratorSeconds / allSeconds
		}
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].Member < usage[j].Member })
	return usage
}

func printUsage(out io.Writer, usage []memberUsage, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(usage)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tALLOWANCE\tUSE\tACCELERATOR S\tTOKENS\tREQUESTS\t")
	for _, row := range usage {
		fmt.Fprintf(table, "%s\t%.1f%%\t%.1f%%\t%.1f\t%d\t%d\t%s\n",
			row.Member, 100*row.ShareOfAllowance, 100*row.ShareOfUse, row.AcceleratorSeconds,
			row.PromptTokens+row.CompletionTokens, row.Requests, bar(row))
	}
	return table.Flush()
}

// bar draws the use as a bar with a mark at the allowance.
func bar(row memberUsage) string {
	cells := []byte(strings.Repeat(" ", barWidth+1))
	for i := range int(row.ShareOfUse * barWidth) {
		cells[i] = '#'
	}
	cells[int(row.ShareOfAllowance*barWidth)] = '|'
	return "[" + string(cells) + "]"
}

package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/operator"
	"gypsumbank/wire"
)

const gib = 1 << 30

var cmdStatus = command{
	name: "status",
	help: "Show the state, list versions, load, memory and resident models of every node.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*path, func(o *operator.Operator) error {
				reports, err := o.Reports(ctx)
				if err != nil {
					return err
				}
				return printStatus(env.Out, reports)
			})
		}
	},
}

// printStatus prints one line per node; a node that did not answer is shown as unreachable, with the error.
func printStatus(out io.Writer, reports []operator.NodeReport) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tNODE\tROLE\tSTATE\tPLANS\tALLOWANCES\tRUNNING\tQUEUED\tMEMORY GIB\tRESIDENT")
	for _, report := range reports {
		if report.Err != nil {
			fmt.Fprintf(table, "%s\t%s\t%s\tunreachable\t\t\t\t\t\t%v\n", report.VM.AvailabilityZone, report.VM.Name, report.VM.Role, report.Err)
			continue
		}
		status := report.Status
		hint := status.GetHint()
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d/%d\t%d\t%s\t%s\n",
			status.GetInfo().GetZone(), status.GetInfo().GetName(), status.GetInfo().GetRole(), nodeState(status),
			status.GetPlansVersion(), status.GetAllowancesVersion(),
			hint.GetRunning(), hint.GetSlots(), hint.GetQueued(), memoryUse(hint), strings.Join(hint.GetResident(), " "))
	}
	return table.Flush()
}

func nodeState(status *wire.NodeStatus) string {
	switch {
	case !status.GetReady():
		return "starting"
	case status.GetHint().GetLeaving():
		return "leaving"
	case status.GetHint() != nil && !status.GetHint().GetTargetUp():
		return "target down"
	case !status.GetTableUp():
		return "ready, table down"
	}
	return "ready"
}

// memoryUse returns committed and total memory in GiB, or "" for a node without accelerator memory.
func memoryUse(hint *wire.Hint) string {
	if hint.GetMemoryBytes() == 0 {
		return ""
	}
	return fmt.Sprintf("%.1f/%.1f", float64(hint.GetCommittedBytes())/gib, float64(hint.GetMemoryBytes())/gib)
}

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

	"gypsumbank/operator"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const followInterval = time.Second

// timelineRow is one event with the node that recorded it.
type timelineRow struct {
	Time      time.Time `json:"time"`
	Clock     uint64    `json:"clock"`
	Node      string    `json:"node"`
	Kind      string    `json:"kind"`
	RequestID string    `json:"request-id,omitempty"`
	Customer  string    `json:"customer,omitempty"`
	Target    string    `json:"target,omitempty"`
	Model     string    `json:"model,omitempty"`
	Detail    string    `json:"detail,omitempty"`
}

// timelineFilter selects events; empty fields select all.
type timelineFilter struct {
	request  *string
	customer *string
	target   *string
	model    *string
	kind     *string
	since    *time.Duration
}

var cmdTimeline = command{
	name: "timeline",
	help: "Show the events of all processes in the order of cause and effect.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		asJSON := clause.Flag("json", "Print a JSON object a line.").Bool()
		follow := clause.Flag("follow", "Go on printing new events.").Short('f').Bool()
		filter := timelineFilter{
			request:  clause.Flag("request", "Only events of this request.").String(),
			customer: clause.Flag("customer", "Only events of this customer.").String(),
			target:   clause.Flag("target", "Only events about this target.").String(),
			model:    clause.Flag("model", "Only events about this model.").String(),
			kind:     clause.Flag("kind", "Only events of this kind.").String(),
			since:    clause.Flag("since", "Only events of this last time, such as 5m.").Duration(),
		}
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*path, func(o *operator.Operator) error {
				return followTimeline(ctx, o, filter, *asJSON, *follow, env.Out)
			})
		}
	},
}

func followTimeline(ctx context.Context, o *operator.Operator, filter timelineFilter, asJSON, follow bool, out io.Writer) error {
	seen := map[string]uint64{}
	for {
		rows, err := collectTimeline(ctx, o, filter, seen)
		if err != nil {
			return err
		}
		if err := printTimeline(out, rows, asJSON); err != nil {
			return err
		}
		if !follow {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(followInterval):
		}
	}
}

// collectTimeline asks every node for its new events and marks those that were lost.
func collectTimeline(ctx context.Context, o *operator.Operator, filter timelineFilter, seen map[string]uint64) ([]timelineRow, error) {
	vms, err := o.VMs(ctx)
	if err != nil {
		return nil, err
	}
	var rows []timelineRow
	for _, vm := range vms {
		reply, err := o.Timeline(ctx, vm, seen[vm.Name])
		if err != nil {
			rows = append(rows, gap(vm, "no answer: "+err.Error()))
			continue
		}
		if reply.GetDropped() > 0 && seen[vm.Name] > 0 {
			rows = append(rows, gap(vm, fmt.Sprintf("%d events overwritten", reply.GetDropped())))
		}
		for _, event := range reply.GetEvents() {
			seen[vm.Name] = event.GetSequence()
			if filter.keeps(event) {
				rows = append(rows, rowOf(vm, event))
			}
		}
	}
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].Clock < rows[j].Clock })
	return rows, nil
}

func gap(vm vmlist.VM, detail string) timelineRow {
	now := time.Now()
	return timelineRow{Time: now, Clock: timeline.ClockOf(now), Node: vm.Name, Kind: "gap", Detail: detail}
}

func rowOf(vm vmlist.VM, event *wire.Event) timelineRow {
	return timelineRow{
		Time:      timeline.Time(event.GetClock()),
		Clock:     event.GetClock(),
		Node:      vm.Name,
		Kind:      event.GetKind(),
		RequestID: event.GetRequestId(),
		Customer:  event.GetCustomer(),
		Target:    event.GetTarget(),
		Model:     event.GetModel(),
		Detail:    event.GetDetail(),
	}
}

func (f timelineFilter) keeps(event *wire.Event) bool {
	matches := func(wanted *string, value string) bool { return *wanted == "" || *wanted == value }
	recent := *f.since == 0 || time.Since(timeline.Time(event.GetClock())) <= *f.since
	return recent &&
		matches(f.request, event.GetRequestId()) &&
		matches(f.customer, event.GetCustomer()) &&
		matches(f.target, event.GetTarget()) &&
		matches(f.model, event.GetModel()) &&
		matches(f.kind, event.GetKind())
}

func printTimeline(out io.Writer, rows []timelineRow, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		for _, row := range rows {
			if err := encoder.Encode(row); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join([]string{
			row.Time.Format("15:04:05.000000"), row.Node, row.Kind, row.RequestID, row.Customer, row.Target, row.Model, row.Detail,
		}, "\t"))
	}
	return table.Flush()
}

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

// timelineRow is one event and the node that recorded it.
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

// timelineFilter selects the events that match all of its fields; an empty field matches every event.
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
	help: "Show the events of all nodes, ordered so that causes come before effects.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		path := configFlag(clause)
		asJSON := clause.Flag("json", "Print one JSON object per line.").Bool()
		follow := clause.Flag("follow", "Keep printing new events.").Short('f').Bool()
		filter := timelineFilter{
			request:  clause.Flag("request", "Show only events of this request.").String(),
			customer: clause.Flag("customer", "Show only events of this customer.").String(),
			target:   clause.Flag("target", "Show only events about this target.").String(),
			model:    clause.Flag("model", "Show only events about this model.").String(),
			kind:     clause.Flag("kind", "Show only events of this kind.").String(),
			since:    clause.Flag("since", "Show only events of this most recent period, such as 5m.").Duration(),
		}
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*path, func(o *operator.Operator) error {
				return followTimeline(ctx, o, filter, *asJSON, *follow, env.Out)
			})
		}
	},
}

// followTimeline prints the recorded events and, if follow is set, the new ones every followInterval until ctx ends.
func followTimeline(ctx context.Context, o *operator.Operator, filter timelineFilter, asJSON, follow bool, out io.Writer) error {
	lastSequence := map[string]uint64{}
	for {
		rows, err := collectTimeline(ctx, o, filter, lastSequence)
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

// collectTimeline fetches the new events of every node, in the order of their clocks. Rows of kind gap stand for nodes
// that did not answer and for events that were overwritten between two calls. It updates lastSequence, which holds the
// sequence number of the last event of each node.
func collectTimeline(ctx context.Context, o *operator.Operator, filter timelineFilter, lastSequence map[string]uint64) ([]timelineRow, error) {
	vms, err := o.VMs(ctx)
	if err != nil {
		return nil, err
	}
	var rows []timelineRow
	for _, vm := range vms {
		reply, err := o.Timeline(ctx, vm, lastSequence[vm.Name])
		if err != nil {
			rows = append(rows, gapRow(vm, "no answer: "+err.Error()))
			continue
		}
		if reply.GetDropped() > 0 && lastSequence[vm.Name] > 0 {
			rows = append(rows, gapRow(vm, fmt.Sprintf("%d events overwritten", reply.GetDropped())))
		}
		for _, event := range reply.GetEvents() {
			lastSequence[vm.Name] = event.GetSequence()
			if filter.matches(event) {
				rows = append(rows, eventRow(vm, event))
			}
		}
	}
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].Clock < rows[j].Clock })
	return rows, nil
}

// gapRow returns a row that says, under the present time, that events of a node are missing.
func gapRow(vm vmlist.VM, detail string) timelineRow {
	now := time.Now()
	return timelineRow{Time: now, Clock: timeline.ClockOf(now), Node: vm.Name, Kind: "gap", Detail: detail}
}

func eventRow(vm vmlist.VM, event *wire.Event) timelineRow {
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

// matches reports whether the filter selects an event.
func (f timelineFilter) matches(event *wire.Event) bool {
	accepts := func(wanted *string, value string) bool { return *wanted == "" || *wanted == value }
	withinWindow := *f.since == 0 || time.Since(timeline.Time(event.GetClock())) <= *f.since
	return withinWindow &&
		accepts(f.request, event.GetRequestId()) &&
		accepts(f.customer, event.GetCustomer()) &&
		accepts(f.target, event.GetTarget()) &&
		accepts(f.model, event.GetModel()) &&
		accepts(f.kind, event.GetKind())
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

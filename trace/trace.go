package trace

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"
)

// ErrUnknownRequest reports that no log mentions a request.
var ErrUnknownRequest = errors.New("no log mentions the request")

// before is how long before a request a change may have been its cause: a report's lifetime.
const before = 3 * time.Second

// Trace is the way of one request with what happened to the targets and models it met.
type Trace struct {
	request string
	own     []line // about the request
	around  []line // about its targets, its model and its gateways' dependencies
	foreign int
}

// New returns the trace of a request from logs in JSON; the error wraps ErrUnknownRequest or is one of reading.
func New(request string, logs ...io.Reader) (*Trace, error) {
	t := &Trace{request: request}
	var others []line
	for _, log := range logs {
		lines, foreign, err := read(log)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		t.foreign += foreign
		for _, l := range lines {
			if l.field("request") == request {
				t.own = append(t.own, l)
				continue
			}
			others = append(others, l)
		}
	}
	if len(t.own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, request)
	}
	sortByTime(t.own)
	t.around = t.related(others)
	sortByTime(t.around)
	return t, nil
}

func sortByTime(lines []line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
}

// begun returns when the request arrived, as far as its lines tell.
func (t *Trace) begun() time.Time {
	first := t.own[0]
	return first.at.Add(-first.ms("took-ms") - first.ms("waited-ms"))
}

func (t *Trace) ended() time.Time { return t.own[len(t.own)-1].at }

// related returns the lines of others that may have been causes: what changed about a target, the model or a dependency of
// a gateway of the request shortly before it or while it was under way.
func (t *Trace) related(others []line) []line {
	targets, models, nodes, adapters := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{"": true}
	for _, l := range t.own {
		adapters[l.field("adapter")] = true
		targets[l.field("target")] = true
		models[l.field("model")] = true
		nodes[l.node] = true
	}
	delete(targets, "")
	delete(models, "")
	from, to := t.begun().Add(-before), t.ended()
	var related []line
	for _, l := range others {
		if l.at.Before(from) || l.at.After(to) || l.field("request") != "" || !adapters[l.field("adapter")] {
			continue
		}
		if targets[l.field("target")] || models[l.field("model")] || models[l.field("evict")] || (nodes[l.node] && l.isDependency()) {
			related = append(related, l)
		}
	}
	return related
}

// isDependency reports whether a line tells of a dependency of its process.
func (l *line) isDependency() bool {
	switch l.text {
	case "agent lost", "agent regained", "routes in force", "gateway starts", "gateway drains", "gateway stops",
		"store lost while following routes", "store regained while following routes",
		"store lost while following targets", "store regained while following targets":
		return true
	}
	return false
}

// Write prints the way of the request, what happened around it, and the cause of its end.
func (t *Trace) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "request %s, %s after %s\n\n", t.request, t.end(), t.ended().Sub(t.begun()).Round(time.Millisecond))
	fmt.Fprintln(table, "MS\tNODE\t\tEVENT\tINPUTS")
	all := append(append([]line(nil), t.own...), t.around...)
	sortByTime(all)
	for _, l := range all {
		mark := ""
		if l.field("request") == t.request {
			mark = "*"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", l.at.Sub(t.begun()).Milliseconds(), l.node, mark, l.text, l.inputs())
	}
	fmt.Fprintf(table, "\ncause: %s\n", t.Cause())
	if t.foreign > 0 {
		fmt.Fprintf(table, "%d lines are no entries of a log in JSON\n", t.foreign)
	}
	return table.Flush()
}

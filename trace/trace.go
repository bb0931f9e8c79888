package trace

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"
)

// ErrUnknownRequest reports that no log line is about the request.
var ErrUnknownRequest = errors.New("no log mentions the request")

// causeWindow is how long before the start of a request an event may still have affected it. It is the lifetime of a
// load report.
const causeWindow = 3 * time.Second

// Trace holds the log lines about one request and those about the targets, models and gateways that it used.
type Trace struct {
	request       string
	requestLines  []logLine // about the request, in order of time
	relatedLines  []logLine // about its targets, its model and its gateways' dependencies, in order of time
	unparsedLines int       // lines that are not JSON log entries
}

// New returns the trace of a request from logs in JSON. The error wraps ErrUnknownRequest or the error of reading a
// log.
func New(request string, logs ...io.Reader) (*Trace, error) {
	t := &Trace{request: request}
	var otherLines []logLine
	for _, log := range logs {
		lines, unparsed, err := readLog(log)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		t.unparsedLines += unparsed
		for _, l := range lines {
			if l.field("request") == request {
				t.requestLines = append(t.requestLines, l)
				continue
			}
			otherLines = append(otherLines, l)
		}
	}
	if len(t.requestLines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, request)
	}
	sortByTime(t.requestLines)
	t.relatedLines = t.findRelated(otherLines)
	sortByTime(t.relatedLines)
	return t, nil
}

func sortByTime(lines []logLine) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time.Before(lines[j].time) })
}

// startTime returns when the request arrived, computed from the durations in its first line.
func (t *Trace) startTime() time.Time {
	first := t.requestLines[0]
	return first.time.Add(-first.duration("took-ms") - first.duration("waited-ms"))
}

// endTime returns the time of the last line about the request.
func (t *Trace) endTime() time.Time { return t.requestLines[len(t.requestLines)-1].time }

// findRelated returns the lines that may name a cause of the outcome: changes of a target, a model or a dependency of a
// gateway that the request used, from causeWindow before its start until its end. Lines about other requests and other
// adapters are left out.
func (t *Trace) findRelated(otherLines []logLine) []logLine {
	targets, models, nodes, adapters := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{"": true}
	for _, l := range t.requestLines {
		adapters[l.field("adapter")] = true
		targets[l.field("target")] = true
		models[l.field("model")] = true
		nodes[l.node] = true
	}
	delete(targets, "")
	delete(models, "")
	from, to := t.startTime().Add(-causeWindow), t.endTime()
	var related []logLine
	for _, l := range otherLines {
		if l.time.Before(from) || l.time.After(to) || l.field("request") != "" || !adapters[l.field("adapter")] {
			continue
		}
		if targets[l.field("target")] || models[l.field("model")] || models[l.field("evict")] || (nodes[l.node] && l.isDependency()) {
			related = append(related, l)
		}
	}
	return related
}

// isDependency reports whether a line is about the state of its process or of a service that its process depends on.
func (l *logLine) isDependency() bool {
	switch l.message {
	case "agent lost", "agent regained", "routes in force", "gateway starts", "gateway drains", "gateway stops",
		"store lost while following routes", "store regained while following routes",
		"store lost while following targets", "store regained while following targets":
		return true
	}
	return false
}

// Write prints the lines about the request, marked with an asterisk, the related lines, and the cause of its outcome.
func (t *Trace) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "request %s, %s after %s\n\n", t.request, t.outcome(), t.endTime().Sub(t.startTime()).Round(time.Millisecond))
	fmt.Fprintln(table, "MS\tNODE\t\tEVENT\tINPUTS")
	all := append(append([]logLine(nil), t.requestLines...), t.relatedLines...)
	sortByTime(all)
	for _, l := range all {
		mark := ""
		if l.field("request") == t.request {
			mark = "*"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", l.time.Sub(t.startTime()).Milliseconds(), l.node, mark, l.message, l.inputs())
	}
	fmt.Fprintf(table, "\ncause: %s\n", t.Cause())
	if t.unparsedLines > 0 {
		fmt.Fprintf(table, "%d lines are not JSON log entries\n", t.unparsedLines)
	}
	return table.Flush()
}

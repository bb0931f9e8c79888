package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Write writes the explanation as text.
func (e *Explanation) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "gateway\t%s at %s, routes version %d\n", e.Gateway, e.At.UTC().Format(time.RFC3339Nano), e.RoutesVersion)
	fmt.Fprintf(table, "outcome\t%s\n", e.outcomeText())
	e.writeRoute(table)
	e.writeQuota(table)
	for _, w := range e.Waits {
		fmt.Fprintf(table, "waits for\t%s\n", w.text())
	}
	for _, note := range e.Notes {
		fmt.Fprintf(table, "note\t%s\n", note)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if e.Choice == nil {
		return nil
	}
	return e.Choice.write(out)
}

func (e *Explanation) outcomeText() string {
	if e.Refusal != nil {
		text := fmt.Sprintf("refused with status %d, %s", e.Refusal.Status, e.Refusal.Reason)
		if e.Refusal.RetryAfterMs > 0 {
			text += fmt.Sprintf(", to be retried after %.0f ms", e.Refusal.RetryAfterMs)
		}
		return text
	}
	to := ""
	if e.Choice != nil && len(e.Choice.Candidates) > 0 {
		to = " to " + e.Choice.Candidates[0].Target
		if first := e.Choice.Candidates[0]; first.Share < 1 {
			to = fmt.Sprintf(" to one of several by their shares, most likely %s (%.0f%%)", first.Target, 100*first.Share)
		}
	}
	if e.Outcome == Waits {
		return "waits, and is then sent" + to
	}
	return "sent" + to
}

func (e *Explanation) writeRoute(out io.Writer) {
	if r := e.Route; r != nil {
		fmt.Fprintf(out, "route\t%s (%s%s, %s, up to %d attempts), service %s\n", r.Name, r.Host, r.Prefix, r.Kind, r.MaxAttempts, cmp.Or(r.Service, "none"))
		if len(r.Backends) > 1 {
			var shares []string
			for _, b := range r.Backends {
				shares = append(shares, fmt.Sprintf("%s %d", b.Service, b.Weight))
			}
			fmt.Fprintf(out, "weights\t%s; the id of the request decides\n", strings.Join(shares, ", "))
		}
	}
	if c := e.Customer; c != nil {
		fmt.Fprintf(out, "customer\t%s, key: %s, priority %d\n", cmp.Or(c.Name, "none"), c.KeyCheck, c.Priority)
	}
	if r := e.Request; r != nil {
		fmt.Fprintf(out, "request\t%s\n", r.text())
	}
}

func (r *Decoded) text() string {
	var words []string
	if r.Model != "" {
		words = append(words, fmt.Sprintf("model %s, %d prompt tokens in %d parts, at most %d output tokens", r.Model, r.PromptTokens, r.PromptParts, r.MaxOutputTokens))
	}
	if r.Adapter != "" {
		words = append(words, "adapter "+r.Adapter)
	}
	if r.Resumed {
		words = append(words, "goes on with a stream")
	}
	words = append(words, fmt.Sprintf("first byte within %.0f ms, end within %.0f ms", r.FirstByteMs, r.DeadlineMs))
	return strings.Join(words, ", ")
}

func (e *Explanation) writeQuota(out io.Writer) {
	q := e.Quota
	if q == nil {
		return
	}
	text := fmt.Sprintf("%g %s a second, burst %g; costs %g, %.0f held here, %.0f at %d of %d keepers: %s", q.PerSecond, q.Unit, q.Burst, q.Cost, q.Held, q.Expected, q.Reachable, q.Keepers, q.Prospect)
	if q.Keeper != "" {
		text += ", first " + q.Keeper
	}
	fmt.Fprintf(out, "quota\t%s\n", text)
}

func (w *Wait) text() string {
	text := w.Cause
	if w.Ahead > 0 {
		text += fmt.Sprintf(" behind %d others", w.Ahead)
	}
	if w.ExpectedMs > 0 {
		text += fmt.Sprintf(", about %.0f ms", w.ExpectedMs)
	}
	return text
}

func (c *Choice) write(out io.Writer) error {
	fmt.Fprintf(out, "\nchoice by %s, gateways: %d", map[bool]string{true: "shares", false: "least cost"}[c.DrawnByShare], c.Gateways)
	if c.SoftwareVersion != "" {
		fmt.Fprintf(out, ", only targets of software version %s", c.SoftwareVersion)
	}
	if c.LacksModel {
		fmt.Fprint(out, ", no target holds the model")
	}
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if len(c.Candidates) > 0 {
		fmt.Fprintln(table, "TARGET\tZONE\tSHARE\tCOST MS\tEXPECTED MS\tROOM\tCOSTS")
	}
	for _, candidate := range c.Candidates {
		fmt.Fprintf(table, "%s\t%s\t%.1f%%\t%.1f\t%.1f\t%s\t%s\n", candidate.Target, candidate.Zone, 100*candidate.Share, candidate.CostMs, candidate.ExpectedMs,
			map[bool]string{true: "yes", false: "no"}[candidate.HasRoom], candidate.costsText())
	}
	writeMore(table, c.MoreCandidates)
	if len(c.LeftOut) > 0 {
		fmt.Fprintln(table, "\nLEFT OUT\tZONE\tWHY")
	}
	for _, l := range c.LeftOut {
		why := l.Why
		if l.WaitMs > 0 {
			why += fmt.Sprintf(" for %.0f ms", l.WaitMs)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", l.Target, l.Zone, why)
	}
	writeMore(table, c.MoreLeftOut)
	return table.Flush()
}

func writeMore(out io.Writer, count int) {
	if count > 0 {
		fmt.Fprintf(out, "and %d more\n", count)
	}
}

// costsText returns the parts of the cost, the largest first.
func (c *Candidate) costsText() string {
	costs := slices.Clone(c.Costs)
	slices.SortStableFunc(costs, func(a, b Cost) int { return cmp.Compare(b.Ms, a.Ms) })
	var words []string
	for _, cost := range costs {
		words = append(words, fmt.Sprintf("%s %.1f", cost.Part, cost.Ms))
	}
	return strings.Join(words, ", ")
}

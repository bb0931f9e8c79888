package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
	micros        = 1000.0
)

// Report sums up what callers saw, by traffic and class.
type Report struct {
	Policy     string  `json:"policy,omitempty"`
	Seed       uint64  `json:"seed"`
	ModelLoads int     `json:"model-loads"` // during the run, where this program started the targets
	Targets    int     `json:"targets,omitempty"`
	Groups     []Group `json:"groups"`
}

// Group sums up the requests of one traffic and class; times are in milliseconds.
type Group struct {
	Traffic       string         `json:"traffic"`
	Class         string         `json:"class"`
	Sent          int            `json:"sent"`
	Whole         int            `json:"whole"`
	OnTime        int            `json:"on-time"`
	Failed        map[string]int `json:"failed,omitempty"`
	Tokens        int            `json:"tokens"`
	FirstTokenP50 float64        `json:"first-token-p50-ms"`
	FirstTokenP95 float64        `json:"first-token-p95-ms"`
	FirstTokenP99 float64        `json:"first-token-p99-ms"`
	GapP95        float64        `json:"gap-p95-ms"`
	WholeP50      float64        `json:"whole-p50-ms"`
	WholeP99      float64        `json:"whole-p99-ms"`
}

// WriteText prints the report as a table.
func (r *Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "policy %s, seed %d, %d model loads\n", r.Policy, r.Seed, r.ModelLoads)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "TRAFFIC\tCLASS\tSENT\tWHOLE\tON TIME\tTOKENS\tFIRST P50 MS\tP95\tP99\tGAP P95\tWHOLE P50 MS\tP99\tFAILED\t")
	for _, g := range r.Groups {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%v\t\n",
			g.Traffic, g.Class, g.Sent, g.Whole, g.OnTime, g.Tokens,
			g.FirstTokenP50, g.FirstTokenP95, g.FirstTokenP99, g.GapP95, g.WholeP50, g.WholeP99, g.Failed)
	}
	return table.Flush()
}

// WriteJSON prints the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

func (p *Plan) report(results []result) *Report {
	byGroup := map[[2]string][]result{}
	for _, r := range results {
		key := [2]string{r.shot.traffic.Name, r.shot.class}
		byGroup[key] = append(byGroup[key], r)
	}
	report := &Report{Seed: p.Seed}
	for key, group := range byGroup {
		report.Groups = append(report.Groups, summarize(key[0], key[1], group))
	}
	sort.Slice(report.Groups, func(i, j int) bool {
		a, b := report.Groups[i], report.Groups[j]
		return a.Traffic+"\x00"+a.Class < b.Traffic+"\x00"+b.Class
	})
	return report
}

func summarize(traffic, class string, results []result) Group {
	group := Group{Traffic: traffic, Class: class, Sent: len(results), Failed: map[string]int{}}
	first, gaps, whole := newHistogram(), newHistogram(), newHistogram()
	for _, r := range results {
		if failure := r.failure(); failure != "" {
			group.Failed[failure]++
			continue
		}
		group.Whole++
		group.Tokens += r.tokens
		if r.whole <= r.shot.traffic.Deadline {
			group.OnTime++
		}
		record(whole, r.whole)
		if r.tokens > 0 {
			record(first, r.firstToken)
		}
		for _, gap := range r.gaps {
			record(gaps, gap)
		}
	}
	group.FirstTokenP50, group.FirstTokenP95, group.FirstTokenP99 = at(first, 50), at(first, 95), at(first, 99)
	group.GapP95 = at(gaps, 95)
	group.WholeP50, group.WholeP99 = at(whole, 50), at(whole, 99)
	return group
}

func (r *result) failure() string {
	switch {
	case r.err != nil && r.status == 0:
		return "no answer"
	case r.err != nil:
		return "broken off"
	case r.status >= 300:
		return fmt.Sprintf("%d %s", r.status, r.outcome)
	}
	return ""
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(max(1, min(highestMicros, value.Microseconds())))
}

func at(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtPercentile(percentile)) / micros
}

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
	maxRecordedMicros = int64(time.Hour / time.Microsecond) // longer times are recorded as this one
	significantDigits = 3                                   // precision of the histograms
	microsPerMilli    = 1000.0
)

// Report summarises the requests of a run as their callers saw them, by traffic section and class.
type Report struct {
	Policy     string  `json:"policy,omitempty"`
	Seed       uint64  `json:"seed"`
	ModelLoads int     `json:"model-loads"`       // loads during the run; set only if this program started the targets
	Targets    int     `json:"targets,omitempty"` // number of model engines; set only if this program started them
	Groups     []Group `json:"groups"`
}

// Group summarises the requests of one traffic section and class. Tokens, OnTime and the times cover only the requests
// that were answered completely; times that end with a token or an answer start when the request was planned to be sent.
type Group struct {
	Traffic         string         `json:"traffic"`
	Class           string         `json:"class"`
	Sent            int            `json:"sent"`
	Completed       int            `json:"whole"`
	OnTime          int            `json:"on-time"`
	Failed          map[string]int `json:"failed,omitempty"`
	Tokens          int            `json:"tokens"`
	FirstTokenP50MS float64        `json:"first-token-p50-ms"`
	FirstTokenP95MS float64        `json:"first-token-p95-ms"`
	FirstTokenP99MS float64        `json:"first-token-p99-ms"`
	TokenGapP95MS   float64        `json:"gap-p95-ms"`
	LatencyP50MS    float64        `json:"whole-p50-ms"`
	LatencyP99MS    float64        `json:"whole-p99-ms"`
}

// WriteText writes the report to out as a table, with a row for each group.
func (r *Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "policy %s, seed %d, %d model loads\n", r.Policy, r.Seed, r.ModelLoads)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "TRAFFIC\tCLASS\tSENT\tWHOLE\tON TIME\tTOKENS\tFIRST P50 MS\tP95\tP99\tGAP P95\tWHOLE P50 MS\tP99\tFAILED\t")
	for _, g := range r.Groups {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%v\t\n",
			g.Traffic, g.Class, g.Sent, g.Completed, g.OnTime, g.Tokens,
			g.FirstTokenP50MS, g.FirstTokenP95MS, g.FirstTokenP99MS, g.TokenGapP95MS, g.LatencyP50MS, g.LatencyP99MS, g.Failed)
	}
	return table.Flush()
}

// WriteJSON writes the report to out as one indented JSON object.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// buildReport groups the results by traffic section and class, sorted by both.
func (p *Plan) buildReport(results []result) *Report {
	byGroup := map[[2]string][]result{}
	for _, r := range results {
		key := [2]string{r.request.traffic.Name, r.request.class}
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
	firstToken, tokenGaps, latency := newHistogram(), newHistogram(), newHistogram()
	for _, r := range results {
		if failure := r.failureReason(); failure != "" {
			group.Failed[failure]++
			continue
		}
		group.Completed++
		group.Tokens += r.tokens
		if r.latency <= r.request.traffic.Deadline {
			group.OnTime++
		}
		recordDuration(latency, r.latency)
		if r.tokens > 0 {
			recordDuration(firstToken, r.firstTokenLatency)
		}
		for _, gap := range r.tokenGaps {
			recordDuration(tokenGaps, gap)
		}
	}
	group.FirstTokenP50MS, group.FirstTokenP95MS, group.FirstTokenP99MS = percentileMillis(firstToken, 50), percentileMillis(firstToken, 95), percentileMillis(firstToken, 99)
	group.TokenGapP95MS = percentileMillis(tokenGaps, 95)
	group.LatencyP50MS, group.LatencyP99MS = percentileMillis(latency, 50), percentileMillis(latency, 99)
	return group
}

// failureReason returns why a request counts as failed, or an empty string if it was answered completely. The report
// lists the failed requests under these texts.
func (r *result) failureReason() string {
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

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

// recordDuration adds a duration to a histogram of microseconds, limited to the histogram's range.
func recordDuration(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(max(1, min(maxRecordedMicros, value.Microseconds())))
}

// percentileMillis returns a percentile, from 0 to 100, of a histogram of microseconds.
func percentileMillis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtPercentile(percentile)) / microsPerMilli
}

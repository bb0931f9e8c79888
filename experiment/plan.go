package experiment

import (
	"time"

	"gypsumbank/inifile"
)

const (
	maxRequestsPerSecond = 1e5
	maxAnswerTokens      = 1 << 20
)

// Plan describes the load of an experiment. The same plan with the same seed yields the same requests at the same
// offsets from the start.
type Plan struct {
	Duration time.Duration // requests are planned within this time; answers may end later
	Seed     uint64
	Traffic  []Traffic
	Slowdown *Slowdown // nil if all targets keep their speed
}

// Slowdown makes a share of the targets slower by a factor during a part of the run.
type Slowdown struct {
	TargetShare float64       // share of the targets, from 0 to 1
	Factor      float64       // multiple of a target's usual time for each step
	Offset      time.Duration // start of the slowdown, from the start of the run
	Duration    time.Duration
}

// Traffic describes the requests that one traffic section of an experiment sends with one customer's key.
type Traffic struct {
	Name                   string
	APIKey                 string
	Kind                   string // "completion" or "event"
	RequestsPerSecond      float64
	BurstRequestsPerSecond float64       // rate from BurstOffset for BurstDuration; 0 for no burst
	BurstOffset            time.Duration // start of the burst, from the start of the run
	BurstDuration          time.Duration
	Models                 []string
	PopularitySkew         float64 // exponent of a Zipf distribution over Models, of which the first is the most popular
	PromptChars            int
	SharedPromptShare      float64       // share of requests whose prompt starts with one of a few common prefixes
	AnswerTokens           int           // length of an answer that is not a straggler
	StragglerShare         float64       // share of requests with an answer of StragglerTokens
	StragglerTokens        int           // length of a straggler's answer
	Service                string        // service that events are sent to
	Deadline               time.Duration // longest latency of a complete answer that counts as on time
}

// New parses an experiment file. The name of the file is used in errors, which wrap inifile.ErrInvalid.
func New(name string, data []byte) (*Plan, error) {
	file, err := inifile.New(name, data)
	if err != nil {
		return nil, err
	}
	plan := &Plan{
		Duration: file.Duration("experiment", "duration", 10*time.Second, 100*time.Millisecond, 24*time.Hour),
		Seed:     uint64(file.Int("experiment", "seed", 1, 0, 1<<53)),
	}
	for _, traffic := range file.SectionNames("traffic") {
		plan.Traffic = append(plan.Traffic, parseTraffic(file, traffic))
	}
	if file.HasSection("slow") {
		plan.Slowdown = &Slowdown{
			TargetShare: file.Float("slow", "part", 0.25, 0, 1),
			Factor:      file.Float("slow", "factor", 3, 1, 1000),
			Offset:      file.Duration("slow", "start", 0, 0, 24*time.Hour),
			Duration:    file.Duration("slow", "length", 10*time.Second, 0, 24*time.Hour),
		}
	}
	if len(plan.Traffic) == 0 {
		file.AddProblem("traffic NAME", "section", "is missing; allowed: one section or more")
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return plan, nil
}

func parseTraffic(file *inifile.File, name string) Traffic {
	section := "traffic " + name
	traffic := Traffic{
		Name:                   name,
		APIKey:                 file.Required(section, "key", "the key of a customer"),
		Kind:                   file.Choice(section, "kind", "completion", "completion", "event"),
		RequestsPerSecond:      file.Float(section, "rate", 1, 0.001, maxRequestsPerSecond),
		BurstRequestsPerSecond: file.Float(section, "burst-rate", 0, 0, maxRequestsPerSecond),
		BurstOffset:            file.Duration(section, "burst-start", 0, 0, 24*time.Hour),
		BurstDuration:          file.Duration(section, "burst-length", 0, 0, 24*time.Hour),
		Models:                 file.List(section, "models"),
		PopularitySkew:         file.Float(section, "skew", 1, 0, 10),
		PromptChars:            int(file.Int(section, "prompt-chars", 200, 1, 1<<20)),
		SharedPromptShare:      file.Float(section, "shared-prompt", 0, 0, 1),
		AnswerTokens:           int(file.Int(section, "tokens", 30, 1, maxAnswerTokens)),
		StragglerShare:         file.Float(section, "straggler-share", 0, 0, 1),
		StragglerTokens:        int(file.Int(section, "straggler-tokens", 600, 1, maxAnswerTokens)),
		Service:                file.String(section, "service", "ledger"),
		Deadline:               file.Duration(section, "deadline", 5*time.Second, time.Millisecond, time.Hour),
	}
	if traffic.Kind == "completion" && len(traffic.Models) == 0 {
		file.AddProblem(section, "models", "is missing; allowed: names of models or adapters, separated by commas")
	}
	return traffic
}

// Scale multiplies the rates of all traffic, bursts included.
func (p *Plan) Scale(factor float64) {
	for i := range p.Traffic {
		p.Traffic[i].RequestsPerSecond *= factor
		p.Traffic[i].BurstRequestsPerSecond *= factor
	}
}

// requestsPerSecondAt returns the rate at an offset from the start of the run.
func (t Traffic) requestsPerSecondAt(offset time.Duration) float64 {
	if t.BurstRequestsPerSecond > 0 && offset >= t.BurstOffset && offset < t.BurstOffset+t.BurstDuration {
		return t.BurstRequestsPerSecond
	}
	return t.RequestsPerSecond
}

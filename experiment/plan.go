package experiment

import (
	"time"

	"gypsumbank/inifile"
)

const (
	maxRate   = 1e5
	maxTokens = 1 << 20
)

// Plan says what to send; the same plan and seed send the same requests at the same times.
type Plan struct {
	Duration time.Duration
	Seed     uint64
	Traffic  []Traffic
	Slow     *Slow
}

// Slow slows a part of the targets by a factor for a time.
type Slow struct {
	Part   float64
	Factor float64
	Start  time.Duration
	Length time.Duration
}

// Traffic is one stream of requests of one customer.
type Traffic struct {
	Name            string
	Key             string
	Kind            string // completion or event
	Rate            float64
	BurstRate       float64 // rate from BurstStart for BurstLength
	BurstStart      time.Duration
	BurstLength     time.Duration
	Models          []string
	Skew            float64 // exponent of the popularity of Models, the first the most popular
	PromptChars     int
	SharedPrompt    float64 // share of requests that start with one of a few common prefixes
	Tokens          int
	StragglerShare  float64
	StragglerTokens int
	Service         string
	Deadline        time.Duration // time to the whole answer that counts as on time
}

// New parses the text of an experiment; errors wrap inifile.ErrInvalid.
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
		plan.Slow = &Slow{
			Part:   file.Float("slow", "part", 0.25, 0, 1),
			Factor: file.Float("slow", "factor", 3, 1, 1000),
			Start:  file.Duration("slow", "start", 0, 0, 24*time.Hour),
			Length: file.Duration("slow", "length", 10*time.Second, 0, 24*time.Hour),
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
		Name:            name,
		Key:             file.Required(section, "key", "the key of a customer"),
		Kind:            file.Choice(section, "kind", "completion", "completion", "event"),
		Rate:            file.Float(section, "rate", 1, 0.001, maxRate),
		BurstRate:       file.Float(section, "burst-rate", 0, 0, maxRate),
		BurstStart:      file.Duration(section, "burst-start", 0, 0, 24*time.Hour),
		BurstLength:     file.Duration(section, "burst-length", 0, 0, 24*time.Hour),
		Models:          file.List(section, "models"),
		Skew:            file.Float(section, "skew", 1, 0, 10),
		PromptChars:     int(file.Int(section, "prompt-chars", 200, 1, 1<<20)),
		SharedPrompt:    file.Float(section, "shared-prompt", 0, 0, 1),
		Tokens:          int(file.Int(section, "tokens", 30, 1, maxTokens)),
		StragglerShare:  file.Float(section, "straggler-share", 0, 0, 1),
		StragglerTokens: int(file.Int(section, "straggler-tokens", 600, 1, maxTokens)),
		Service:         file.String(section, "service", "ledger"),
		Deadline:        file.Duration(section, "deadline", 5*time.Second, time.Millisecond, time.Hour),
	}
	if traffic.Kind == "completion" && len(traffic.Models) == 0 {
		file.AddProblem(section, "models", "is missing; allowed: names of models or adapters, separated by commas")
	}
	return traffic
}

// Scale multiplies all rates.
func (p *Plan) Scale(factor float64) {
	for i := range p.Traffic {
		p.Traffic[i].Rate *= factor
		p.Traffic[i].BurstRate *= factor
	}
}

// rateAt returns the requests a second at a time since the start.
func (t Traffic) rateAt(at time.Duration) float64 {
	if t.BurstRate > 0 && at >= t.BurstStart && at < t.BurstStart+t.BurstLength {
		return t.BurstRate
	}
	return t.Rate
}

package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

const (
	sharedPrefixes = 4
	straggling     = "straggler"
	short          = "short"
)

// shot is one request of the schedule.
type shot struct {
	at      time.Duration
	traffic *Traffic
	class   string
	model   string
	prompt  string
	event   string
}

// schedule draws all requests of a plan in order of time.
func (p *Plan) schedule() []shot {
	var shots []shot
	for i := range p.Traffic {
		traffic := &p.Traffic[i]
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)+1))
		at := time.Duration(0)
		for {
			wait := rng.ExpFloat64() / traffic.rateAt(at)
			at += time.Duration(wait * float64(time.Second))
			if at >= p.Duration {
				break
			}
			shots = append(shots, traffic.draw(rng, at, p.Seed, len(shots)))
		}
	}
	sort.SliceStable(shots, func(i, j int) bool { return shots[i].at < shots[j].at })
	return shots
}

func (t *Traffic) draw(rng *rand.Rand, at time.Duration, seed uint64, number int) shot {
	drawn := shot{at: at, traffic: t, class: short, event: fmt.Sprintf("%s-%d-%d", t.Name, seed, number)}
	if t.Kind == "event" {
		return drawn
	}
	tokens := t.Tokens
	if rng.Float64() < t.StragglerShare {
		drawn.class, tokens = straggling, t.StragglerTokens
	}
	drawn.model = t.Models[t.popular(rng)]
	drawn.prompt = t.prompt(rng, number, tokens)
	return drawn
}

func (t *Traffic) popular(rng *rand.Rand) int {
	total := 0.0
	for i := range t.Models {
		total += math.Pow(float64(i+1), -t.Skew)
	}
	point := rng.Float64() * total
	for i := range t.Models {
		point -= math.Pow(float64(i+1), -t.Skew)
		if point <= 0 {
			return i
		}
	}
	return len(t.Models) - 1
}

func (t *Traffic) prompt(rng *rand.Rand, number, tokens int) string {
	prefix := fmt.Sprintf("request %d ", number)
	if rng.Float64() < t.SharedPrompt {
		prefix = fmt.Sprintf("common %d ", rng.IntN(sharedPrefixes))
	}
	text := strings.Repeat(prefix, max(1, t.PromptChars/len(prefix)))
	return fmt.Sprintf("%s %d [[length=%d]]", text, number, tokens)
}

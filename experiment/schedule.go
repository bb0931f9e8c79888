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
	sharedPrefixCount = 4 // different prefixes that the requests with a shared prompt start with

	// Classes of requests in the report.
	classStraggler = "straggler"
	classShort     = "short"
)

// plannedRequest is one request of the schedule: a completion with model and prompt, or an event with eventID.
type plannedRequest struct {
	offset  time.Duration // time of sending since the start of the run
	traffic *Traffic
	class   string
	model   string
	prompt  string
	eventID string
}

// schedule returns all requests of the plan in order of time. The arrivals of each traffic section are a Poisson
// process with a random sequence of its own, seeded by the plan's seed and the number of the section.
func (p *Plan) schedule() []plannedRequest {
	var requests []plannedRequest
	for i := range p.Traffic {
		traffic := &p.Traffic[i]
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)+1))
		offset := time.Duration(0)
		for {
			waitSeconds := rng.ExpFloat64() / traffic.requestsPerSecondAt(offset)
			offset += time.Duration(waitSeconds * float64(time.Second))
			if offset >= p.Duration {
				break
			}
			requests = append(requests, traffic.drawRequest(rng, offset, p.Seed, len(requests)))
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].offset < requests[j].offset })
	return requests
}

// drawRequest returns a request with random model, length of the answer and prompt; number is unique in the schedule.
func (t *Traffic) drawRequest(rng *rand.Rand, offset time.Duration, seed uint64, number int) plannedRequest {
	request := plannedRequest{offset: offset, traffic: t, class: classShort, eventID: fmt.Sprintf("%s-%d-%d", t.Name, seed, number)}
	if t.Kind == "event" {
		return request
	}
	tokens := t.AnswerTokens
	if rng.Float64() < t.StragglerShare {
		request.class, tokens = classStraggler, t.StragglerTokens
	}
	request.model = t.Models[t.drawModelIndex(rng)]
	request.prompt = t.drawPrompt(rng, number, tokens)
	return request
}

// drawModelIndex draws an index of Models from a Zipf distribution with exponent PopularitySkew.
func (t *Traffic) drawModelIndex(rng *rand.Rand) int {
	total := 0.0
	for i := range t.Models {
		total += math.Pow(float64(i+1), -t.PopularitySkew)
	}
	remaining := rng.Float64() * total
	for i := range t.Models {
		remaining -= math.Pow(float64(i+1), -t.PopularitySkew)
		if remaining <= 0 {
			return i
		}
	}
	return len(t.Models) - 1
}

// drawPrompt returns a prompt of about PromptChars characters. Its suffix [[length=N]] sets the number of tokens that
// the stand-in engine answers with.
func (t *Traffic) drawPrompt(rng *rand.Rand, number, tokens int) string {
	prefix := fmt.Sprintf("request %d ", number)
	if rng.Float64() < t.SharedPromptShare {
		prefix = fmt.Sprintf("common %d ", rng.IntN(sharedPrefixCount))
	}
	text := strings.Repeat(prefix, max(1, t.PromptChars/len(prefix)))
	return fmt.Sprintf("%s %d [[length=%d]]", text, number, tokens)
}

package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/promptclass"
	"gypsumbank/request"
)

const (
	// promptMixTimeConstant is the time constant of the decaying numbers of requests in a promptMix.
	promptMixTimeConstant = 10 * time.Second
	// priorLongPrompts is the number of requests with long prompts that every service is credited with.
	priorLongPrompts = 2
	// separatedShare is the share of long prompts from which they are kept on other targets than short ones as far as
	// possible.
	separatedShare = 0.2
)

// promptMix counts this gateway's requests for a service, those with long prompts and all, as decaying numbers.
type promptMix struct {
	long, all float64
	decayedAt time.Time
	work      *promptclass.Mix // divides the holders among many gateways
}

func newPromptMix() *promptMix { return &promptMix{work: promptclass.NewMix()} }

// add counts a request.
func (m *promptMix) add(req *request.Request, now time.Time) {
	left := math.Exp(-float64(max(0, now.Sub(m.decayedAt))) / float64(promptMixTimeConstant))
	m.long, m.all, m.decayedAt = m.long*left, m.all*left+1, now
	if isLongPrompt(req) {
		m.long++
	}
	m.work.Add(req.PromptTokens, isLongPrompt(req), now)
}

// separation returns how far long and short prompts are kept apart, from 0 if there are hardly any long ones to 1.
func (m *promptMix) separation() float64 {
	if m == nil {
		return 1
	}
	return min(1, (m.long+priorLongPrompts)/(m.all+priorLongPrompts)/separatedShare)
}

// isLongPrompt reports whether the prefill of a request takes several steps of the engine's batch.
func isLongPrompt(req *request.Request) bool { return req.PromptTokens > longPromptTokens }

// mixingCostTokens is the maximum of mixingCost, as a number of tokens to prefill.
const mixingCostTokens = 4000

// holderRanks returns a rank between 0 and 1 for each holder of a model. The order is the same at each gateway and for
// each model, so that a target which prefills the long prompts of one model does so for its other models, too.
func holderRanks(holders []*targetState) map[string]float64 {
	ranks := make(map[string]float64, len(holders))
	if len(holders) < 2 {
		return ranks
	}
	ids := make([]string, 0, len(holders))
	for _, s := range holders {
		ids = append(ids, s.ID)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	for i, id := range ids {
		ranks[id] = float64(i) / float64(len(ids)-1)
	}
	return ranks
}

// mixingCost returns a cost in ms that keeps long prompts and the streams of short ones on different targets: it
// favours holders of high rank for long prompts and of low rank for others. An engine interleaves prefill with
// decoding, so a long prompt causes gaps in the streams of other requests. Where there are few long prompts, the cost is
// lower, as it would leave the holders of high rank idle. Among many gateways it is not used: divide keeps the classes apart.
func (f *Fleet) mixingCost(service string, req *request.Request, rank float64) float64 {
	maxCostMs := mixingCostTokens * f.prefillMsPerToken(req.Model) * f.promptMixes[service].separation()
	if isLongPrompt(req) {
		return maxCostMs * (1 - rank)
	}
	return maxCostMs * rank
}

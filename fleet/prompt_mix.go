package fleet

import (
	"math"
	"time"

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

package fleet

import (
	"time"

	"gypsumbank/request"
)

const (
	// tokenPaceWindow is the number of tokens over which the pace of a model or of a target is taken.
	tokenPaceWindow = 2000
	// minTargetTokens is the number of tokens below which the pace of a target tells too little.
	minTargetTokens = 20
)

// tokenPace measures in which time the tokens of streams come. Unlike decodePace it counts what came, not what was expected, so that a request
// which uses its whole limit of tokens can be foretold by it.
type tokenPace struct{ tookMs, tokens float64 }

// add records that tokens came within a time.
func (p *tokenPace) add(tokens int, took time.Duration) {
	p.tookMs += float64(took) / float64(time.Millisecond)
	p.tokens += float64(tokens)
	if p.tokens > tokenPaceWindow {
		keep := tokenPaceWindow / p.tokens
		p.tookMs, p.tokens = p.tookMs*keep, p.tokens*keep
	}
}

// msPerToken returns the average time for one token; 0 if fewer than a minimum have come.
func (p *tokenPace) msPerToken(minTokens float64) float64 {
	if p == nil || p.tokens < max(minTokens, 1) {
		return 0
	}
	return p.tookMs / p.tokens
}

// RecordEvents records that events of a stream have come within a time after an earlier event of it. Each counts as one token: it holds one at
// least, and how many more is not known, so that the time of a token is not taken for too short.
func (a *Assignment) RecordEvents(events int, took time.Duration) {
	model := a.request.Model
	if model == "" || events <= 0 {
		return
	}
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tokenPaces[model] == nil {
		f.tokenPaces[model] = &tokenPace{}
	}
	f.tokenPaces[model].add(events, took)
	a.state.tokenPace.add(events, took)
}

// LongestGeneration returns the time from the first byte of an answer of a target to the last for a number of tokens that all come; 0 if the target is not
// known, or the request has no model. GenerationTime is shorter where requests get fewer tokens than expected.
func (f *Fleet) LongestGeneration(targetID string, req *request.Request, tokens int, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[targetID]
	if s == nil || req.Model == "" {
		return 0
	}
	msPerToken := max(f.modelMsPerToken(req.Model)*s.performance.slowness(now), s.tokenPace.msPerToken(minTargetTokens))
	return durationFromMs(msPerToken * float64(tokens))
}

// modelMsPerToken returns the time in which a token of a model comes. If none of it has come in events, that is the longest of what is known of other
// models and of its answers as a whole. It is never less than that of an engine of the usual speed; the caller holds the lock.
func (f *Fleet) modelMsPerToken(model string) float64 {
	if measured := f.tokenPaces[model].msPerToken(0); measured > 0 {
		return max(measured, defaultDecodeMsPerToken)
	}
	longest := max(defaultDecodeMsPerToken, f.decodeMsPerToken(model))
	for _, pace := range f.tokenPaces {
		longest = max(longest, pace.msPerToken(0))
	}
	return longest
}

package fleet

import (
	"time"

	"gypsumbank/request"
)

const (
	// defaultDecodeMsPerToken is the time in which a request generates a token at an engine whose batch is full.
	defaultDecodeMsPerToken = 6.4
	// decodePriorTokens is the weight of the default in the average of a model.
	decodePriorTokens = 300
	// decodeWindowTokens is the number of tokens over which the average of a model is taken.
	decodeWindowTokens = 20000
	// defaultSlots is the number of slots of an engine that does not tell it.
	defaultSlots = 64
)

// decodePace measures in which time requests for a model generate their tokens, over the last decodeWindowTokens.
type decodePace struct{ tookMs, tokens float64 }

// add records an answer that took this long from its first byte to its end and was expected to have this many tokens.
func (p *decodePace) add(took time.Duration, tokens int) {
	p.tookMs += float64(took) / float64(time.Millisecond)
	p.tokens += float64(tokens)
	if p.tokens > decodeWindowTokens {
		keep := decodeWindowTokens / p.tokens
		p.tookMs, p.tokens = p.tookMs*keep, p.tokens*keep
	}
}

// msPerToken returns the average time for one expected token.
func (p *decodePace) msPerToken() float64 {
	return (p.tookMs + decodePriorTokens*defaultDecodeMsPerToken) / (p.tokens + decodePriorTokens)
}

// decodeMsPerToken returns the time in which a request for the model generates a token; the caller holds the lock.
func (f *Fleet) decodeMsPerToken(model string) float64 {
	if pace := f.decodePaces[model]; pace != nil {
		return pace.msPerToken()
	}
	return defaultDecodeMsPerToken
}

// GenerationTime returns the expected time from the first byte of an answer of a target to the last for a number of tokens; 0 if the target is not
// known, or the request has no model.
func (f *Fleet) GenerationTime(targetID string, req *request.Request, tokens int, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[targetID]
	if s == nil || req.Model == "" {
		return 0
	}
	return durationFromMs(f.decodeMsPerToken(req.Model) * float64(tokens) * s.performance.slowness(now))
}

// recordDecoding adds a complete answer to the average of its model; the caller holds the lock.
func (f *Fleet) recordDecoding(req *request.Request, took time.Duration) {
	tokens := req.ExpectedOutputTokens()
	if req.Model == "" || tokens == 0 {
		return
	}
	if f.decodePaces[req.Model] == nil {
		f.decodePaces[req.Model] = &decodePace{}
	}
	f.decodePaces[req.Model].add(took, tokens)
}

// decodeWorkMs returns the engine time that a request takes while it generates its tokens: the time for which it has a
// slot, divided by the number of slots.
func (f *Fleet) decodeWorkMs(service string, req *request.Request) float64 {
	slots := defaultSlots
	if engine := f.services[service].Engine; engine != nil && engine.Slots > 0 {
		slots = engine.Slots
	}
	return f.decodeMsPerToken(req.Model) * float64(req.ExpectedOutputTokens()) / float64(slots)
}

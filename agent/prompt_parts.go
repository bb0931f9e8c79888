package agent

import (
	"maps"
	"time"

	"gypsumbank/wire"
)

const (
	// partInterval is the time for which a prompt part that was passed on to the gateways isn't passed on again. It is below the some
	// nine seconds in which long prompts at the rate of a busy engine fill its KV cache.
	partInterval = 3 * time.Second
	// maxRememberedParts bounds the parts that are remembered for that.
	maxRememberedParts   = 4096
	maxQueuedPromptParts = 1024
)

// partsToPassOn returns the prompt parts that were not passed on within partInterval: requests with a shared part would have it sent to all
// gateways each time. The caller holds the lock.
func (w *watchers) partsToPassOn(parts []*wire.PromptPart) []*wire.PromptPart {
	if len(parts) == 0 || len(w.members) <= maxFewWatchers {
		return parts
	}
	now := w.now()
	if len(w.partsPassedOn) > maxRememberedParts {
		maps.DeleteFunc(w.partsPassedOn, func(_ uint64, at time.Time) bool { return now.Sub(at) >= partInterval })
	}
	if w.partsPassedOn == nil || len(w.partsPassedOn) > maxRememberedParts {
		w.partsPassedOn = map[uint64]time.Time{}
	}
	next := make([]*wire.PromptPart, 0, len(parts))
	for _, part := range parts {
		if at, ok := w.partsPassedOn[part.GetHash()]; ok && now.Sub(at) < partInterval {
			continue
		}
		w.partsPassedOn[part.GetHash()] = now
		next = append(next, part)
	}
	return next
}

// packParts returns the low 32 bits of the hashes of prompt parts, and their tokens. A gateway looks for a hash among the some 200 parts that
// fit into the KV cache of an engine: it finds another part's in one of 20 million searches, and then expects that part to be cached for one
// request.
func packParts(parts []*wire.PromptPart) (hashes, tokens []uint32) {
	hashes, tokens = make([]uint32, 0, len(parts)), make([]uint32, 0, len(parts))
	for _, part := range parts {
		hashes, tokens = append(hashes, uint32(part.GetHash())), append(tokens, part.GetTokens())
	}
	return hashes, tokens
}

// queuePromptParts queues prompt parts for a gateway and drops the oldest above maxQueuedPromptParts.
func (w *watcher) queuePromptParts(parts []*wire.PromptPart) {
	w.queuedPromptParts = append(w.queuedPromptParts, parts...)
	if excess := len(w.queuedPromptParts) - maxQueuedPromptParts; excess > 0 {
		w.queuedPromptParts = w.queuedPromptParts[excess:]
	}
}

package fleet

import (
	"time"

	"gypsumbank/request"
)

// prefixSources holds the two responsive targets with the longest cached prefixes of a prompt. There are two so that
// each of them has another target to fetch from.
type prefixSources struct {
	best, second             *targetState
	bestTokens, secondTokens int // lengths of the cached prefixes
	promptTokens             int
}

func newPrefixSources(holders []*targetState, req *request.Request, prefixHashes []uint64, now time.Time) prefixSources {
	sources := prefixSources{promptTokens: req.PromptTokens}
	for _, s := range holders {
		if s.unresponsiveCost(now) > 0 {
			continue
		}
		cached := req.PromptTokens - s.uncachedTokens(req, prefixHashes)
		switch {
		case cached > sources.bestTokens:
			sources.second, sources.secondTokens = sources.best, sources.bestTokens
			sources.best, sources.bestTokens = s, cached
		case cached > sources.secondTokens:
			sources.second, sources.secondTokens = s, cached
		}
	}
	return sources
}

// choose returns the address of the target from which s should fetch KV cache, and for how many tokens; uncached is the
// number of prompt tokens that s has not cached. The address is empty if prefilling them costs less than the fetch, or if the
// other target has another software version.
func (p prefixSources) choose(s *targetState, uncached int, prefillMsPerToken float64) (address string, tokens int) {
	source, cached := p.best, p.bestTokens
	if source == s {
		source, cached = p.second, p.secondTokens
	}
	if source == nil || source.SoftwareVersion != s.SoftwareVersion {
		return "", 0
	}
	tokens = cached - (p.promptTokens - uncached)
	if float64(tokens)*(prefillMsPerToken-fetchMsPerToken) < fetchBaseMs+fetchPenaltyMs {
		return "", 0
	}
	return source.Address, tokens
}

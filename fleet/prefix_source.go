package fleet

import (
	"time"

	"gypsumbank/request"
)

// prefixSource names the two targets that keep most of a prompt, so that each target has one besides itself.
type prefixSource struct {
	most, second       *state
	mostKept, nextKept int // tokens
	prompt             int // tokens
}

func newPrefixSource(holders []*state, req *request.Request, chain []uint64, now time.Time) prefixSource {
	k := prefixSource{prompt: req.PromptTokens}
	for _, s := range holders {
		if s.suspicion(now) > 0 {
			continue
		}
		kept := req.PromptTokens - s.unreadTokens(req, chain)
		switch {
		case kept > k.mostKept:
			k.second, k.nextKept = k.most, k.mostKept
			k.most, k.mostKept = s, kept
		case kept > k.nextKept:
			k.second, k.nextKept = s, kept
		}
	}
	return k
}

// worthFetching returns the address of a target from which one with unread tokens should fetch some, and how many, or
// nothing if reading them costs less.
func (k prefixSource) worthFetching(s *state, unread int, pace float64) (address string, tokens int) {
	source, kept := k.most, k.mostKept
	if source == s {
		source, kept = k.second, k.nextKept
	}
	if source == nil {
		return "", 0
	}
	tokens = kept - (k.prompt - unread)
	if float64(tokens)*(pace-fetchPace) < fetchMs+fetchPrice {
		return "", 0
	}
	return source.Address, tokens
}

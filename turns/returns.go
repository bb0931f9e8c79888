package turns

import "time"

const (
	// returnLifetime is for how long a refusal is remembered. It exceeds a third of the longest time for which callers of long
	// prompts wait, within which they come back.
	returnLifetime = 5 * time.Second
	// maxReturns bounds the refusals that are remembered.
	maxReturns = 4096
)

// Returns remembers the contents of refused requests, to recognise callers that come back.
type Returns struct{ refusedAt map[uint64]time.Time }

// NewReturns returns an empty memory.
func NewReturns() *Returns { return &Returns{refusedAt: map[uint64]time.Time{}} }

// Add records that a request was refused.
func (r *Returns) Add(content uint64, now time.Time) {
	if len(r.refusedAt) >= maxReturns {
		for known, at := range r.refusedAt {
			if now.Sub(at) >= returnLifetime {
				delete(r.refusedAt, known)
			}
		}
	}
	if len(r.refusedAt) < maxReturns {
		r.refusedAt[content] = now
	}
}

// Has reports whether a request with the content was refused lately.
func (r *Returns) Has(content uint64, now time.Time) bool {
	at, ok := r.refusedAt[content]
	return ok && now.Sub(at) < returnLifetime
}

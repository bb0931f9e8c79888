package quarantine

import (
	"time"

	"gypsumbank/request"
)

const (
	// answeredMemory is how long a content that was answered is taken to be sound at a crash. It is short: from the moment at which a
	// content begins to crash targets, its crashes do not count for this long.
	answeredMemory = 1500 * time.Millisecond
	// answeredPeriod is half of the longest time for which it is remembered when a content was answered.
	answeredPeriod = 30 * time.Second
	// maxAnswered bounds the prompt parts, and the whole requests, that are remembered in each of two periods.
	maxAnswered = 4096
)

// answeredContents remembers when contents were last answered, for the current period and the one before. A period ends early if
// there are many.
type answeredContents struct {
	began             time.Time
	current, previous map[uint64]time.Time
	parts, wholes     int // in current
}

// add records that a content is answered.
func (a *answeredContents) add(content request.Content, now time.Time) {
	count := &a.parts
	if content.IsWhole() {
		count = &a.wholes
	}
	if now.Sub(a.began) >= answeredPeriod || *count >= maxAnswered {
		a.rotate(now)
	}
	if _, known := a.current[content.Hash]; !known {
		*count++
	}
	a.current[content.Hash] = now
}

// last returns when a content was last answered; zero if that is not known.
func (a *answeredContents) last(hash uint64) time.Time {
	if at, ok := a.current[hash]; ok {
		return at
	}
	return a.previous[hash]
}

// has reports whether a content was answered lately.
func (a *answeredContents) has(hash uint64, now time.Time) bool {
	at := a.last(hash)
	return !at.IsZero() && now.Sub(at) < answeredMemory
}

// rotate begins a new period.
func (a *answeredContents) rotate(now time.Time) {
	a.previous = a.current
	if now.Sub(a.began) >= 2*answeredPeriod {
		a.previous = nil
	}
	a.current, a.began, a.parts, a.wholes = map[uint64]time.Time{}, now, 0, 0
}

package quarantine

import (
	"time"

	"gypsumbank/request"
)

const (
	// answeredMemory is how long, at least, a content that was answered is remembered. It is short: from the moment at which a
	// content begins to crash targets, its crashes do not count for this long.
	answeredMemory = time.Second
	// maxAnswered bounds the prompt parts, and the whole requests, that are remembered in each of two periods of answeredMemory.
	maxAnswered = 4096
)

// answeredContents holds the contents of the requests that were answered in the current period and in the one before.
type answeredContents struct {
	began             time.Time
	current, previous map[uint64]struct{}
	parts, wholes     int // in current
}

// add adds a content unless there are maxAnswered of its kind in the period already.
func (a *answeredContents) add(content request.Content, now time.Time) {
	a.rotate(now)
	count := &a.parts
	if content.IsWhole() {
		count = &a.wholes
	}
	if _, known := a.current[content.Hash]; known || *count >= maxAnswered {
		return
	}
	a.current[content.Hash] = struct{}{}
	*count++
}

// has reports whether a content was answered in the current period or in the one before.
func (a *answeredContents) has(hash uint64, now time.Time) bool {
	a.rotate(now)
	if _, ok := a.current[hash]; ok {
		return true
	}
	_, ok := a.previous[hash]
	return ok
}

// rotate begins a new period if the current one is over.
func (a *answeredContents) rotate(now time.Time) {
	age := now.Sub(a.began)
	if age < answeredMemory {
		return
	}
	a.previous = a.current
	if age >= 2*answeredMemory {
		a.previous = nil
	}
	a.current, a.began, a.parts, a.wholes = map[uint64]struct{}{}, now, 0, 0
}

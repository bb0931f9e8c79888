package history

import "gypsumbank/epoch"

// Span is the part of the store's history in which something was read: several versions if the store has changed between two
// pages. The zero value is before everything.
type Span struct {
	epoch       epoch.Epoch
	first, last int64
}

// New returns the span of a read that was made in an epoch of the store between two of its versions.
func New(readIn epoch.Epoch, first, last int64) Span {
	return Span{epoch: readIn, first: first, last: last}
}

// Epoch returns the epoch of the store that was read.
func (s Span) Epoch() epoch.Epoch { return s.epoch }

// First returns the version of the store at the begin of the read.
func (s Span) First() int64 { return s.first }

// Last returns the version of the store at the end of the read.
func (s Span) Last() int64 { return s.last }

// Follows reports whether nothing that was read is older than what was read in the other span.
func (s Span) Follows(other Span) bool {
	return s.epoch > other.epoch || (s.epoch == other.epoch && s.first >= other.last)
}

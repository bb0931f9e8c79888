package completeness

import "gypsumbank/framing"

// Completeness is how far an answer that has ended is known to be whole.
type Completeness int

// Degrees of completeness, each above the ones before.
const (
	// Broken is an answer that was broken off.
	Broken Completeness = iota
	// Unproven is an answer that ended in order with its connection, as one also does whose server ends midway.
	Unproven
	// Whole is an answer whose length, or whose last chunk, shows that it is whole.
	Whole
)

// Of returns the completeness of an answer whose body has been read until err, nil for its end.
func Of(f framing.Framing, err error) Completeness {
	switch {
	case err != nil:
		return Broken
	case f == framing.Connection:
		return Unproven
	}
	return Whole
}

// OfStream returns the completeness of a stream of events from that of its body: one that ends within an event was broken off, and so was one
// that nothing shows to be whole and that has not begun.
func (c Completeness) OfStream(begun, withinEvent bool) Completeness {
	if withinEvent || (c == Unproven && !begun) {
		return Broken
	}
	return c
}

// MayEnd reports whether an answer may be passed on to its end in a framing without claiming more than is known.
func (c Completeness) MayEnd(f framing.Framing) bool {
	return c == Whole || (c == Unproven && f == framing.Connection)
}

// String returns the name of the degree in logs and metrics.
func (c Completeness) String() string { return [...]string{"broken", "unproven", "whole"}[c] }

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

// Of returns the completeness of an answer that was read to the end of its body; partial is set if its content shows that more is due.
func Of(f framing.Framing, partial bool) Completeness {
	switch {
	case partial:
		return Broken
	case f == framing.Connection:
		return Unproven
	}
	return Whole
}

// MayEnd reports whether an answer may be passed on to its end in a framing without claiming more than is known.
func (c Completeness) MayEnd(f framing.Framing) bool {
	return c == Whole || (c == Unproven && f == framing.Connection)
}

// String returns the name of the degree in logs and metrics.
func (c Completeness) String() string { return [...]string{"broken", "unproven", "whole"}[c] }

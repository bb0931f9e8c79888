package dispatch

import (
	"maps"
	"time"

	"gypsumbank/fleet"
)

const (
	// maxTokenTime is the time for a token beyond which an estimate refuses nobody: twice that at an engine whose batch is full. Callers that give
	// wrong estimates, or a late first byte, make a model or an engine look slower, and a model whose requests are refused is not measured again.
	maxTokenTime = 12800 * time.Microsecond
	// maxGuessedTokens is the most output expected of a request that has a limit alone, which many callers set far above what they get.
	maxGuessedTokens = 300
	// minGenerationTime is the least time of an output that is subtracted: waits for a turn are foretold less exactly than that.
	minGenerationTime = 100 * time.Millisecond
)

// beginDeadline returns until when the answer of the chosen target has to begin: its caller waits for the first byte no longer, and where there
// are many gateways, its expected tokens must fit in the time after that. An answer that is cut at the deadline helps nobody and takes the
// engine's time from others; after a restart of everything many callers come back with little time left.
func (d *Dispatch) beginDeadline(choice fleet.Choice) time.Time {
	by := d.firstByteDeadline()
	if d.request.LastEventID != "" || !d.fleet.UsesTurns() {
		return by
	}
	tokens := d.request.ExpectedOutputTokens()
	if d.request.LengthHint == 0 {
		tokens = min(tokens, maxGuessedTokens)
	}
	generation := min(d.fleet.GenerationTime(choice.Target.ID, d.request, tokens, d.now()), time.Duration(tokens)*maxTokenTime)
	if begin := d.deadline.Add(-generation); generation >= minGenerationTime && begin.Before(by) {
		return begin
	}
	return by
}

// maxOtherHolders bounds the holders that are considered for one whose answer would end too late.
const maxOtherHolders = 2

// chooseInTime chooses a target. If the answer would begin in time there but end too late, as that target is slow, it chooses among the others; if it
// would at none, the first choice stays.
func (d *Dispatch) chooseInTime(now time.Time) (fleet.Choice, bool) {
	query := d.query()
	first, ok := d.fleet.Choose(query, now)
	if !ok || first.LacksModel || !d.endsTooLate(first, now) {
		return first, ok
	}
	query.Exclude = maps.Clone(d.excluded)
	query.Exclude[first.Target.ID] = true
	for range maxOtherHolders {
		other, ok := d.fleet.Choose(query, now)
		if !ok || other.LacksModel {
			break
		}
		if d.beginsInTime(other, now) {
			return other, true
		}
		query.Exclude[other.Target.ID] = true
	}
	return first, true
}

// beginsInTime reports whether the answer of the chosen target is expected to begin, and to end, in time.
func (d *Dispatch) beginsInTime(choice fleet.Choice, now time.Time) bool {
	return choice.Expected+minResponseTime <= d.beginDeadline(choice).Sub(now)
}

// endsTooLate reports whether the answer of the chosen target is expected to begin while its caller waits, but not to end in time.
func (d *Dispatch) endsTooLate(choice fleet.Choice, now time.Time) bool {
	return !d.beginsInTime(choice, now) && choice.Expected+minResponseTime <= d.firstByteDeadline().Sub(now)
}

// firstByteDeadline returns until when the caller waits for the answer to begin.
func (d *Dispatch) firstByteDeadline() time.Time {
	patience := d.route.StreamPatience()
	if patience == 0 || d.request.LastEventID != "" {
		return d.deadline
	}
	if by := d.request.Arrived.Add(patience); by.Before(d.deadline) {
		return by
	}
	return d.deadline
}

package standby

import (
	"slices"
	"time"
)

// Condition is what an agent says of its engine.
type Condition int

// The conditions.
const (
	Answers Condition = iota
	Silent            // it does not answer its agent
	Ended             // its process has ended
)

// String returns the name of the condition in logs and metrics.
func (c Condition) String() string { return [...]string{"answers", "silent", "ended"}[c] }

const (
	// inFlightTime is the time for which bytes that an engine sent before its end may still arrive.
	inFlightTime = 50 * time.Millisecond
	// silenceLimit is the time without a byte after which a stream of a silent engine goes on at its copy. Events are some 30 ms apart, pauses
	// for the prompts of others take up to 250 ms.
	silenceLimit = 300 * time.Millisecond
)

// Attempt is a request that is at an engine.
type Attempt struct {
	SentAt     time.Time
	LastByteAt time.Time // when a part of the answer's body was read last; zero before the first
	ReadingAt  time.Time // since when the next part is awaited; zero while the caller takes the last one: more may have arrived
	HasCopy    bool      // the run can go on at a second engine
}

// GiveUpAt returns when an attempt that awaits bytes is given up if none arrives until then, by news of its engine that came at a time. ok is false if it is not:
// silence alone is no reason to end an answer that has no copy, and bytes that keep coming disprove that the process has ended.
func GiveUpAt(a Attempt, condition Condition, newsAt time.Time) (at time.Time, ok bool) {
	switch condition {
	case Ended:
		if !a.SentAt.Before(newsAt) || a.LastByteAt.After(newsAt.Add(inFlightTime)) {
			return time.Time{}, false
		}
		return latest(newsAt, a.LastByteAt, a.ReadingAt).Add(inFlightTime), true
	case Silent:
		if !a.HasCopy || a.LastByteAt.IsZero() {
			return time.Time{}, false
		}
		return latest(newsAt, a.LastByteAt, a.ReadingAt).Add(silenceLimit), true
	case Answers:
	}
	return time.Time{}, false
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

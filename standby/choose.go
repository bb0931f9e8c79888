package standby

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reservedShare is the part of an engine's KV cache that copies leave to runs. Four prompts of 9,200 tokens, the most that usually arrive
	// at an engine before its next report, take a fifth of a cache of 167,000 to 197,000 tokens.
	reservedShare = 0.25
	// reservedSlotShare is the part of an engine's slots that must be free beside those of the copies there: all copies become runs at the
	// same time.
	reservedSlotShare = 0.125
	// minTimeLeft is the time that must be left beside the transfer: an end is noticed within some 400 ms, and the rest takes a few more steps.
	minTimeLeft = 600 * time.Millisecond
	// riskyErrorRate is exceeded for some seconds by an engine that has failed once lately.
	riskyErrorRate = 0.1
	// riskySlowness is the factor on the usual time to a first byte from which an engine counts as failing.
	riskySlowness = 2.5
	// otherZoneTransferFactor is the factor on the time of a transfer between availability zones.
	otherZoneTransferFactor = 2
	// riskyEngineWeight is the weight of an engine at risk as a second engine.
	riskyEngineWeight = 0.1
	bitsPerByte       = 8
	bitsPerMbit       = 1e6
)

// Reason is why a run is copied or not, as written to logs and metrics.
type Reason string

// The reasons.
const (
	Short       Reason = "short"          // copied, as the copy takes little
	AtRisk      Reason = "engine-at-risk" // copied, as the first engine may end soon
	NotNeeded   Reason = "not-needed"     // the request may be sent again without a copy
	UnknownSize Reason = "unknown-size"
	NoTime      Reason = "no-time"
	Long        Reason = "long" // the first engine is not at risk and the copy takes much
	NoEngine    Reason = "no-engine"
	NoRoom      Reason = "no-room"
)

// Limits are the properties of the engines of a service.
type Limits struct {
	KVTokens      int     // of an engine's KV cache
	Slots         int     // of an engine
	BytesPerToken float64 // of KV cache; 0 if not known
	LinkMbps      float64 // of each engine; 0 if not known
}

// Run is a run of a request that is about to begin.
type Run struct {
	RequestID    string
	Streaming    bool
	Repeatable   bool // another target may run the request again, or take its stream up
	PromptTokens int
	OutputTokens int // expected
	TimeLeft     time.Duration
}

// Tokens returns the size of the run's KV cache at its end.
func (r Run) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Health is what is known of an engine that makes its end more likely.
type Health struct {
	ErrorRate    float64 // share of answers that failed lately
	Slowness     float64 // factor on the usual time to the first byte
	Unresponsive bool    // its agent has missed a heartbeat, or a request has stalled there
	Leaving      bool
	Restarted    bool // it has started not long ago
}

// AtRisk reports whether the engine may end soon.
func (h Health) AtRisk() bool {
	return h.Unresponsive || h.Leaving || h.Restarted || h.ErrorRate > riskyErrorRate || h.Slowness > riskySlowness
}

// First is the engine that is to run the request.
type First struct {
	VM      string
	Zone    string
	Version string // of its software; empty if not known
	Health  Health
}

// Engine is an engine that may keep the copy.
type Engine struct {
	ID      string
	VM      string
	Zone    string
	Version string
	Holds   bool // the model and, if the request names one, the adapter
	Health  Health

	Slots         int
	FreeSlots     int // not taken by requests, nor by the copies that are known here
	KVTokens      int // 0 if not known
	FreeTokens    int // of KV cache, not taken by runs or copies
	CopiesOfFirst int // copies of runs of the first engine that this gateway has there
}

// Decision is the result of Choose.
type Decision struct {
	Reason   Reason
	Engine   int           // index of the engine to copy to; -1 for none
	Transfer time.Duration // of the whole copy; 0 without an engine
}

// Worth reports whether the run was found worth a copy, also if there is no engine or no room for it.
func (d Decision) Worth() bool { return d.Engine >= 0 || d.Reason == NoEngine || d.Reason == NoRoom }

// Choose decides whether a run is worth a copy and returns the engine to copy it to. Engines are chosen at random, in proportion to their room,
// so that many gateways that know the same do not choose the same one; the same run always gets the same one.
func Choose(run Run, limits Limits, first First, engines []Engine) Decision {
	reason := worth(run, limits, first)
	if reason != Short && reason != AtRisk {
		return Decision{Reason: reason, Engine: -1}
	}
	best, bestScore := -1, 0.0
	hasEligible, hasRoom := false, false
	for i := range engines {
		e := &engines[i]
		if !e.eligible(first) {
			continue
		}
		hasEligible = true
		if !e.hasRoom(run) {
			continue
		}
		hasRoom = true
		if run.TimeLeft < transferTime(run, limits, first.Zone, e.Zone)+minTimeLeft {
			continue
		}
		if score := e.score(run, first); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	switch {
	case best >= 0:
		return Decision{Reason: reason, Engine: best, Transfer: transferTime(run, limits, first.Zone, engines[best].Zone)}
	case hasRoom:
		return Decision{Reason: NoTime, Engine: -1}
	case hasEligible:
		return Decision{Reason: NoRoom, Engine: -1}
	}
	return Decision{Reason: NoEngine, Engine: -1}
}

// worth returns Short or AtRisk for a run that is worth a copy where there is room, and otherwise why it is not.
func worth(run Run, limits Limits, first First) Reason {
	switch {
	case !run.Streaming || run.Repeatable:
		return NotNeeded
	case run.PromptTokens <= 0:
		return UnknownSize
	case run.TimeLeft < minTimeLeft:
		return NoTime
	case isShort(run, limits):
		return Short
	case first.Health.AtRisk():
		return AtRisk
	}
	return Long
}

// isShort reports whether a copy takes no more than one slot's even share of the KV cache, so that as many copies as slots fit.
func isShort(run Run, limits Limits) bool {
	return limits.Slots > 0 && run.Tokens()*limits.Slots <= limits.KVTokens
}

// transferTime returns the time to copy the whole run between two availability zones, or within one; 0 if the link is not known.
func transferTime(run Run, limits Limits, from, to string) time.Duration {
	if limits.LinkMbps <= 0 {
		return 0
	}
	seconds := float64(run.Tokens()) * limits.BytesPerToken * bitsPerByte / (limits.LinkMbps * bitsPerMbit)
	if from != to {
		seconds *= otherZoneTransferFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// eligible reports whether the engine may go on with runs of the first one.
func (e *Engine) eligible(first First) bool {
	return e.Holds && !e.Health.Leaving && !e.Health.Unresponsive && e.VM != first.VM && e.Version == first.Version
}

// hasRoom reports whether the copy leaves enough KV cache and slots to runs.
func (e *Engine) hasRoom(run Run) bool {
	return e.usableTokens() >= run.Tokens() && float64(e.FreeSlots) >= 1+reservedSlotShare*float64(e.Slots)
}

// usableTokens returns the KV cache that copies may take.
func (e *Engine) usableTokens() int { return e.FreeTokens - int(reservedShare*float64(e.KVTokens)) }

// score returns the score of the engine for a run by weighted rendezvous hashing: the highest one wins.
func (e *Engine) score(run Run, first First) float64 {
	weight := float64(e.usableTokens()) / float64(1+e.CopiesOfFirst)
	if e.Zone != first.Zone {
		weight /= otherZoneTransferFactor
	}
	if e.Health.AtRisk() {
		weight *= riskyEngineWeight
	}
	uniform := (float64(xxhash.Sum64String(run.RequestID+"\x00"+e.ID)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

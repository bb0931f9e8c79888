package fleet

import (
	"math"
	"time"

	"gypsumbank/tally"
)

const (
	// slownessTimeConstant is the time constant with which measured slowness decays, so that a target which was slow
	// gets requests again.
	slownessTimeConstant = 3 * time.Second
	// rareSlownessTimeConstant is the same where there are many gateways, each of which sees an answer of the target only every few
	// seconds.
	rareSlownessTimeConstant = 10 * time.Second
	// failureTimeConstant is the same for the error rate. A target that has failed gets few requests that could show
	// its recovery.
	failureTimeConstant = 8 * time.Second
	// refusalTimeConstant is the same for the refusal rate, which follows the load of the target.
	refusalTimeConstant = 2 * time.Second
	// priorFirstByteMs and priorServed are the prior of both averages: every target is credited with first bytes on
	// time worth this many ms of expected time, and with this many complete answers.
	priorFirstByteMs = 100
	priorServed      = 5
	// priorAccepted is the number of requests that every target is credited with having accepted.
	priorAccepted = 1
	// maxSlowness limits the weight of a single answer: its time counts as at most this multiple of the expected time.
	maxSlowness = 8
)

// performance measures the slowness and error rate of a target as exponentially decaying averages over its answers.
type performance struct {
	tookMs, baselineMs float64 // decaying sums of the measured and of the expected times to the first byte
	served, failed     float64 // decaying numbers of answers
	accepted, refused  float64 // decaying numbers of requests that the target has run and refused
	decayedAt          time.Time
	rare               bool           // this gateway sees few of the target's answers
	unreported         tally.Report   // answers that the target's agent has not been told of
	others             tally.Estimate // what the other gateways' answers tell, as of othersAt
	othersAt           time.Time
}

// setOthers records what a state of the target's agent tells of the other gateways' answers; nothing with few gateways.
func (p *performance) setOthers(observation Observation, now time.Time) {
	p.others, p.othersAt = tally.Estimate{}, now
	if observation.Watchers >= tally.MinGateways {
		p.others = observation.Others
	}
}

// othersAsOf returns what the other gateways' answers tell. Without a state for reportLifetime this gateway's own answers count alone.
func (p *performance) othersAsOf(now time.Time) tally.Estimate {
	if now.Sub(p.othersAt) >= reportLifetime {
		return tally.Estimate{}
	}
	return p.others
}

// takeUnreported returns the answers since the last call.
func (p *performance) takeUnreported() tally.Report {
	report := p.unreported
	p.unreported = tally.Report{}
	return report
}

// slownessTimeConstant returns the time constant with which measured slowness decays.
func (p *performance) slownessTimeConstant() time.Duration {
	if p.rare {
		return rareSlownessTimeConstant
	}
	return slownessTimeConstant
}

// decay reduces the weight of earlier answers according to the time since the last call.
func (p *performance) decay(now time.Time) {
	age := max(0, now.Sub(p.decayedAt))
	slownessLeft := math.Exp(-float64(age) / float64(p.slownessTimeConstant()))
	failuresLeft := math.Exp(-float64(age) / float64(failureTimeConstant))
	p.tookMs, p.baselineMs = p.tookMs*slownessLeft, p.baselineMs*slownessLeft
	p.served, p.failed = p.served*failuresLeft, p.failed*failuresLeft
	refusalsLeft := math.Exp(-float64(age) / float64(refusalTimeConstant))
	p.accepted, p.refused = p.accepted*refusalsLeft, p.refused*refusalsLeft
	p.decayedAt = now
}

// addFirstByte adds the time to the first byte of an answer. baselineMs is the time expected of a target of usual
// speed: an expectation that includes the measured slowness of this target would hide part of it.
func (p *performance) addFirstByte(tookMs, baselineMs float64, now time.Time) {
	p.decay(now)
	tookMs = min(tookMs, maxSlowness*baselineMs)
	p.tookMs += tookMs
	p.baselineMs += baselineMs
	p.unreported.TookMs += tookMs
	p.unreported.ExpectedMs += baselineMs
}

// addResult adds the result of a request. Complete and failed answers count for the error rate, and those and refusals for
// the refusal rate.
func (p *performance) addResult(result Result, now time.Time) {
	p.decay(now)
	switch result {
	case Served:
		p.served++
		p.accepted++
		p.unreported.Served++
	case Failed, ServerError:
		p.failed++
		p.accepted++
		p.unreported.Failed++
	case Refused:
		p.refused++
	case Misdirected, Unreached, Abandoned:
	}
}

// slowness returns the factor, at least 1, by which first bytes take longer than expected of a target of usual speed: that of
// this gateway's answers or that of the others', whichever is larger. It works on a copy, like errorRate, so that a query changes nothing.
func (p performance) slowness(now time.Time) float64 {
	p.decay(now)
	return max(1, (p.tookMs+priorFirstByteMs)/(p.baselineMs+priorFirstByteMs), p.othersAsOf(now).Slowness)
}

// errorRate returns the expected share of answers that fail, between 0 and 1: that of this gateway's answers or that of the others',
// whichever is larger, so that complete answers to others don't hide a fault between this gateway and the target.
func (p performance) errorRate(now time.Time) float64 {
	p.decay(now)
	return max(p.failed/(p.failed+p.served+priorServed), p.othersAsOf(now).ErrorRate)
}

// refusalRate returns the share of requests that the target has lately refused, between 0 and 1.
func (p performance) refusalRate(now time.Time) float64 {
	p.decay(now)
	return p.refused / (p.refused + p.accepted + priorAccepted)
}

package pacer

import (
	"math/rand/v2"
	"time"
)

const (
	// limitShare is the part of a limit that the gateways use together, since they do not send in step, and turnsShare that part
	// while they have turns, as some of these fall on the same moment.
	limitShare = 0.8
	turnsShare = 0.5
	// minPerSecond is the rate, of all gateways, at which a target that takes nothing is asked whether that still holds.
	minPerSecond = 0.1
	// The platform accepts extraRequests above the limit within a few seconds. While there are no more than extraRequests and
	// gatewaysPerUnit for each request a second of the limit, all gateways may send at the same time after a pause.
	extraRequests   = 5
	gatewaysPerUnit = 2
	// turnLength is how long a gateway's turn is if there are more gateways.
	turnLength = time.Second
)

// Pacer tells when one gateway may send its next request to a target, so that all gateways together keep the target's limit
// without telling each other. Each takes an equal part. With many gateways, each has short turns at times of its own, as their
// parts are less than a request in the seconds over which a limit counts. It is not safe for concurrent use.
type Pacer struct {
	perSecond float64 // limit of all gateways
	phase     float64 // begin of the turns, as a part of the time between two
	lastSent  time.Time
}

// New returns a pacer for a limit in requests a second.
func New(perSecond float64) *Pacer {
	return &Pacer{perSecond: perSecond, phase: rand.Float64()}
}

// PerSecond returns the limit of all gateways in requests a second.
func (p *Pacer) PerSecond() float64 { return p.perSecond }

// SetLimit replaces the limit.
func (p *Pacer) SetLimit(perSecond float64) { p.perSecond = perSecond }

// Interval returns the time between two requests of one of the given number of gateways.
func (p *Pacer) Interval(gateways int) time.Duration {
	share := limitShare
	if p.hasTurns(gateways) {
		share = turnsShare
	}
	seconds := float64(max(1, gateways)) / (share * max(p.perSecond, minPerSecond))
	return time.Duration(seconds * float64(time.Second))
}

// Wait returns the time until the next request may be sent, 0 if it may be sent now.
func (p *Pacer) Wait(gateways int, now time.Time) time.Duration {
	interval := p.Interval(gateways)
	earliest := now
	if next := p.lastSent.Add(interval); !p.lastSent.IsZero() && next.After(now) {
		earliest = next
	}
	if !p.hasTurns(gateways) {
		return earliest.Sub(now)
	}
	return p.nextTurn(interval, earliest).Sub(now)
}

// hasTurns reports whether there are so many gateways that each may send only in its turns.
func (p *Pacer) hasTurns(gateways int) bool {
	return float64(gateways) > extraRequests+gatewaysPerUnit*p.perSecond
}

// nextTurn returns the first time from earliest on that is within a turn.
func (p *Pacer) nextTurn(interval time.Duration, earliest time.Time) time.Time {
	sinceTurn := time.Duration(earliest.UnixNano()-int64(p.phase*float64(interval))) % interval
	if sinceTurn < 0 {
		sinceTurn += interval
	}
	if sinceTurn < turnLength {
		return earliest
	}
	return earliest.Add(interval - sinceTurn)
}

// Take reports whether a request may be sent now and, if so, counts it.
func (p *Pacer) Take(gateways int, now time.Time) bool {
	if p.Wait(gateways, now) > 0 {
		return false
	}
	p.lastSent = now
	return true
}

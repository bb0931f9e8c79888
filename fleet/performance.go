package fleet

import (
	"math"
	"time"
)

const (
	// slownessMemory is the time constant over which slowness is averaged; a target that was slow is tried again after it.
	slownessMemory = 3 * time.Second
	// failureMemory is the same for failures; a target that failed gets few requests that could show it has recovered.
	failureMemory = 8 * time.Second
	// priorMs is the expected time, in ms, of answers in time that a target without measurements is credited with.
	priorMs = 100
	// priorServed is the number of whole answers that it is credited with.
	priorServed = 5
	// maxSlowness bounds how slow one answer can make a target appear.
	maxSlowness = 8
)

// performance is what answers have shown of a target, later ones counting more.
type performance struct {
	took, expected float64 // ms until first bytes, in sum
	served, failed float64 // answers
	at             time.Time
}

// fade reduces what counts of earlier answers to what is left of them at a time.
func (p *performance) fade(now time.Time) {
	age := max(0, now.Sub(p.at))
	slow := math.Exp(-float64(age) / float64(slownessMemory))
	failures := math.Exp(-float64(age) / float64(failureMemory))
	p.took, p.expected = p.took*slow, p.expected*slow
	p.served, p.failed = p.served*failures, p.failed*failures
	p.at = now
}

// began adds an answer by the time until its first byte and the one that is expected of a target of usual speed.
func (p *performance) began(took, expected float64, now time.Time) {
	p.fade(now)
	p.took += min(took, maxSlowness*expected)
	p.expected += expected
}

// ended adds an answer by its result.
func (p *performance) ended(result Result, now time.Time) {
	p.fade(now)
	switch result {
	case Served:
		p.served++
	case Failed:
		p.failed++
	case Refused, Unreached, Abandoned:
	}
}

// slowness returns how many times longer than expected answers take, at least 1.
func (p performance) slowness(now time.Time) float64 {
	p.fade(now)
	return max(1, (p.took+priorMs)/(p.expected+priorMs))
}

// errorRate returns the expected share of answers that fail.
func (p performance) errorRate(now time.Time) float64 {
	p.fade(now)
	return p.failed / (p.failed + p.served + priorServed)
}

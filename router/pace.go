package router

import (
	"math"
	"time"
)

const (
	paceHalfLife = 400 * time.Millisecond // time after which an earlier measurement counts half
	paceMemory   = 8 * time.Second        // age from which a measurement no longer counts
	paceRefresh  = 100 * time.Millisecond // age from which the usual pace is computed again
	paceMinimum  = 8                      // tokens before a measurement counts
)

// pace is the mean time between the tokens of a target, later ones counting more.
type pace struct {
	mean  float64 // seconds
	count int
	last  time.Time
}

func (p *pace) add(gap time.Duration, now time.Time) {
	if now.Sub(p.last) > paceMemory {
		*p = pace{}
	}
	p.count++
	weight := 1 - math.Exp2(-gap.Seconds()/paceHalfLife.Seconds())
	weight = max(weight, 1/float64(p.count))
	p.mean += weight * (gap.Seconds() - p.mean)
	p.last = now
}

// latest returns the mean in seconds, if it is recent and rests on enough tokens.
func (p *pace) latest(now time.Time) (float64, bool) {
	return p.mean, p.count >= paceMinimum && now.Sub(p.last) <= paceMemory
}

package router

import (
	"math"
	"time"
)

const (
	gapHalfLife      = 400 * time.Millisecond // sum of later gaps that halves the weight of a sample
	gapExpiry        = 8 * time.Second        // time without samples after which the average is discarded
	medianGapRefresh = 100 * time.Millisecond // age at which the median over all targets is recomputed
	minGapSamples    = 8                      // samples below which the average is not used
)

// gapAverage is the exponential moving average of the time between a target's tokens.
type gapAverage struct {
	meanS     float64
	samples   int
	sampledAt time.Time
}

// addSample adds the time between two tokens. The first samples are averaged with equal weights.
func (g *gapAverage) addSample(gap time.Duration, now time.Time) {
	if now.Sub(g.sampledAt) > gapExpiry {
		*g = gapAverage{}
	}
	g.samples++
	weight := 1 - math.Exp2(-gap.Seconds()/gapHalfLife.Seconds())
	weight = max(weight, 1/float64(g.samples))
	g.meanS += weight * (gap.Seconds() - g.meanS)
	g.sampledAt = now
}

// recentMean returns the mean in seconds, and whether it is recent and rests on enough samples.
func (g *gapAverage) recentMean(now time.Time) (float64, bool) {
	return g.meanS, g.samples >= minGapSamples && now.Sub(g.sampledAt) <= gapExpiry
}

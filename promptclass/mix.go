package promptclass

import (
	"math"
	"time"
)

const (
	// mixTimeConstant is the time constant of the decaying numbers of tokens in a Mix. Each of 30 gateways gets some 300 requests of a
	// deployment of 50 engines in it, so that their shares differ by a few percent.
	mixTimeConstant = time.Minute
	// initialLongTokens and initialShortTokens are the tokens that a Mix begins with, so that processes begin with the same division.
	initialLongTokens, initialShortTokens = 10000, 1000
	// shareHysteresis is the factor by which the ratio of the classes must be beyond the bound of a share to change it.
	shareHysteresis = 1.25
)

// Share is the number of sixths of the holders that short prompts get; 0 if the holders are not divided.
type Share int

// sixths is the number of shares into which holders are divided.
const sixths = 6

// The ratio of the tokens of short prompts to those of long ones is in one of the intervals between ratioBounds. Each has its share. Beyond
// the first and the last bound there are hardly any prompts of one class. One sixth reaches far down, as the streams of short prompts take
// slots as well. With a quarter in its place, up to 1.8 times as many long prompts of models with nine holders were late in a
// simulation, and hardly fewer streams paused.
var (
	ratioBounds    = []float64{1.0 / 200, 3.0 / 5, 5.0 / 3, 15}
	intervalShares = []Share{0, 1, 3, 4, 0}
)

// initialInterval is the interval before any prompt was measured.
const initialInterval = 1

// Mix measures how much of the prompt tokens is that of short prompts. Use NewMix.
type Mix struct {
	long, short float64 // decaying numbers of prompt tokens
	decayedAt   time.Time
	interval    int // in which the ratio is: the number of ratioBounds below it
}

// NewMix returns a mix without requests.
func NewMix() *Mix {
	return &Mix{long: initialLongTokens, short: initialShortTokens, interval: initialInterval}
}

// Add counts a prompt.
func (m *Mix) Add(tokens int, isLong bool, now time.Time) {
	left := 1.0
	if !m.decayedAt.IsZero() {
		left = math.Exp(-float64(max(0, now.Sub(m.decayedAt))) / float64(mixTimeConstant))
	}
	m.long, m.short, m.decayedAt = m.long*left, m.short*left, now
	if isLong {
		m.long += float64(tokens)
	} else {
		m.short += float64(tokens)
	}
	for m.interval < len(ratioBounds) && m.short > shareHysteresis*ratioBounds[m.interval]*m.long {
		m.interval++
	}
	for m.interval > 0 && shareHysteresis*m.short < ratioBounds[m.interval-1]*m.long {
		m.interval--
	}
}

// Share returns the share of the holders that short prompts get.
func (m *Mix) Share() Share { return intervalShares[m.interval] }

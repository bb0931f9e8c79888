package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// pausesResult tells what became of the streams of short prompts and of long prompts.
type pausesResult struct {
	longs, lateLongs int
	lateFirst        int             // short prompts whose first event was late
	pauses           []time.Duration // longest of each stream of a short prompt
	longMs           []float64       // to the first event
}

// add adds the result of another play.
func (r *pausesResult) add(other pausesResult) {
	r.longs, r.lateLongs, r.lateFirst = r.longs+other.longs, r.lateLongs+other.lateLongs, r.lateFirst+other.lateFirst
	r.pauses, r.longMs = append(r.pauses, other.pauses...), append(r.longMs, other.longMs...)
}

// over returns the share of streams that paused for longer than a time.
func (r pausesResult) over(limit time.Duration) float64 {
	n := 0
	for _, pause := range r.pauses {
		if pause > limit {
			n++
		}
	}
	return float64(n) / float64(len(r.pauses))
}

// lateLongShare returns the share of long prompts whose first event was late, or that were not served.
func (r pausesResult) lateLongShare() float64 { return float64(r.lateLongs) / float64(r.longs) }

func (r pausesResult) String() string {
	slices.Sort(r.longMs)
	n := len(r.longMs)
	return fmt.Sprintf(
		"%d streams, %d begin late, %.3f over 500 ms, %.3f over 300, %.3f over 150; %d long prompts, %.3f late, %.0f ms in the middle, %.0f ms at 95 in 100",
		len(r.pauses), r.lateFirst, r.over(pausesAllowed), r.over(300*time.Millisecond), r.over(150*time.Millisecond), r.longs, r.lateLongShare(), r.longMs[n/2], r.longMs[n*95/100])
}

// TestDividedHoldersKeepStreamsFromPausing plays loads with and without the division of holders. It guards against streams of short prompts
// that pause beside long prompts, for over 300 ms or even the 500 ms that their callers accept, and against long prompts that wait for that.
// The holders of models with one or two are not divided.
func TestDividedHoldersKeepStreamsFromPausing(t *testing.T) {
	t.Parallel()
	const (
		maxLate       = 0.002 // share of the streams that may pause for over 500 ms; 0.003 to 0.02 with turns granted by the clock
		maxLongerLate = 0.01  // by which the share of late long prompts may rise; single seeds differ by up to 0.025 in both directions
	)
	usual := pausesPlay{holders: append([]int{9, 7, 5, 4}, slices.Repeat([]int{2, 2, 3}, 4)...), rate: 3.1}
	burst, gone, one, two, nine := usual, usual, usual, usual, usual
	burst.burst, gone.gone = true, 3
	one.holders, two.holders, nine.holders = slices.Repeat([]int{1}, 18), slices.Repeat([]int{2}, 27), slices.Repeat([]int{9}, 6)
	cases := map[string]struct {
		pausesPlay
		maxPaused float64 // streams that pause for over 300 ms, as a share of those without the division
	}{
		"usual":        {usual, 0.8},
		"burst":        {burst, 0.9},
		"a third gone": {gone, 0.9},
		"one holder":   {one, 1},
		"two holders":  {two, 1},
		"nine holders": {nine, 0.1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var before, after pausesResult
			for seed := range uint64(pausesSeeds) {
				c.seed = seed
				before.add(c.run(false))
				after.add(c.run(true))
			}
			t.Logf("undivided: %s", before)
			t.Logf("divided:   %s", after)
			if after.over(pausesAllowed) > maxLate {
				t.Errorf("%.4f of the streams pause for over %s, want at most %.4f", after.over(pausesAllowed), pausesAllowed, maxLate)
			}
			if got, limit := after.over(300*time.Millisecond), c.maxPaused*before.over(300*time.Millisecond); got > limit {
				t.Errorf("%.3f of the streams pause for over 300 ms, want at most %.3f", got, limit)
			}
			if after.lateFirst > before.lateFirst {
				t.Errorf("%d short prompts begin late, %d without the division", after.lateFirst, before.lateFirst)
			}
			if got, limit := after.lateLongShare(), before.lateLongShare()+maxLongerLate; got > limit {
				t.Errorf("%.3f of the long prompts are late, want at most %.3f", got, limit)
			}
		})
	}
}

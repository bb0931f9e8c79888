package fleet

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

// faultPlays returns the loads of docs/design/shared-observations.md.
func faultPlays() []faultPlay {
	return []faultPlay{
		{
			name: "3 engines fail nine in ten", duration: 7 * time.Second, after: 6 * time.Second,
			isFaulty: func(e int) bool { return e == 4 || e == 21 || e == 38 },
			fails:    func(int, int) float64 { return 0.9 },
		},
		{
			name: "3 engines fail nine in ten, not counted before", duration: 7 * time.Second, after: 6 * time.Second,
			isFaulty:  func(e int) bool { return e == 4 || e == 21 || e == 38 },
			fails:     func(int, int) float64 { return 0.9 },
			uncounted: true,
		},
		{
			name: "a third slower by 4", duration: 5 * time.Second, after: 6 * time.Second, slow: 4,
			isFaulty: func(e int) bool { return e%3 == 2 },
		},
		{
			name: "1 engine fails for one zone", duration: 7 * time.Second, after: 6 * time.Second,
			isFaulty: func(e int) bool { return e == 21 },
			fails: func(_, g int) float64 {
				if g%3 == 1 {
					return 1
				}
				return 0
			},
		},
		{
			name: "link of one gateway", duration: 7 * time.Second, after: 6 * time.Second,
			isFaulty: func(int) bool { return true },
			fails: func(_, g int) float64 {
				if g == 7 {
					return 0.9
				}
				return 0
			},
		},
		{
			name: "link of one gateway to 3 engines", duration: 7 * time.Second, after: 6 * time.Second,
			isFaulty: func(e int) bool { return e == 4 || e == 21 || e == 38 },
			fails: func(_, g int) float64 {
				if g == 7 {
					return 0.9
				}
				return 0
			},
		},
		{
			name: "a third fails for 300 ms", duration: 300 * time.Millisecond, after: 6 * time.Second,
			isFaulty: func(e int) bool { return e%3 == 2 },
			fails:    func(int, int) float64 { return 1 },
		},
	}
}

// addTo adds figures, to be divided by their number.
func (r faultFigures) addTo(sum *faultFigures) {
	sum.requests += r.requests
	sum.failed += r.failed
	sum.during += r.during
	sum.late += r.late
	sum.meanFirstByteMs += r.meanFirstByteMs
	sum.soundShare += r.soundShare
	sum.usedAgain += r.usedAgain
	sum.usedAgainLatest = max(sum.usedAgainLatest, r.usedAgainLatest)
	sum.busiest += r.busiest
}

// playSeeds returns the mean figures of a play under several seeds, without and with the reports of others.
func (p faultPlay) playSeeds(seeds int) (before, after faultFigures) {
	var plays sync.WaitGroup
	all := make([][2]faultFigures, seeds)
	for seed := range seeds {
		play := p
		play.seed = uint64(seed)
		plays.Go(func() { all[seed] = [2]faultFigures{play.run(false), play.run(true)} })
	}
	plays.Wait()
	for _, each := range all {
		each[0].addTo(&before)
		each[1].addTo(&after)
	}
	for _, sum := range []*faultFigures{&before, &after} {
		sum.meanFirstByteMs /= float64(seeds)
		sum.soundShare /= float64(seeds)
		sum.usedAgain /= time.Duration(seeds)
		sum.busiest /= float64(seeds)
	}
	return before, after
}

// TestAnswersToOthersCount guards against gateways that each find out by themselves about engines that fail or are slow though their health
// is good, and against such that all leave an engine for a fault which does not concern them, or stay away once it is over. The loads and
// bounds are those of docs/hard-load-third.md, part C, at twice the usual load. With GYPSUMBANK_WEIGH more are played, also at the usual load,
// for the figures of docs/design/shared-observations.md.
func TestAnswersToOthersCount(t *testing.T) {
	t.Parallel()
	checks := map[string]func(t *testing.T, before, after faultFigures){
		"3 engines fail nine in ten": func(t *testing.T, before, after faultFigures) {
			if 3*after.failed > before.failed {
				t.Errorf("%d requests fail, want at most a third of %d", after.failed, before.failed)
			}
			if after.usedAgain > before.usedAgain+time.Second || after.usedAgainLatest > 4*time.Second {
				t.Errorf("engines are used again after %s, the last one after %s; without the reports of others after %s", after.usedAgain, after.usedAgainLatest, before.usedAgain)
			}
		},
		"3 engines fail nine in ten, not counted before": func(t *testing.T, before, after faultFigures) {
			if 5*after.failed > before.failed {
				t.Errorf("%d requests fail, want at most a fifth of %d", after.failed, before.failed)
			}
		},
		"a third slower by 4": func(t *testing.T, before, after faultFigures) {
			if after.during >= before.during || after.meanFirstByteMs > before.meanFirstByteMs {
				t.Errorf("%d requests are sent to slow engines and first bytes take %.0f ms, want less than %d and at most %.0f ms", after.during, after.meanFirstByteMs, before.during, before.meanFirstByteMs)
			}
			if after.usedAgain > before.usedAgain+1500*time.Millisecond || after.usedAgainLatest > 4*time.Second {
				t.Errorf("engines are used again after %s, the last one after %s; without the reports of others after %s", after.usedAgain, after.usedAgainLatest, before.usedAgain)
			}
		},
		"1 engine fails for one zone": func(t *testing.T, before, after faultFigures) {
			if after.soundShare < 0.6 {
				t.Errorf("gateways of other zones send the engine %.2f of their usual requests, want at least 0.6", after.soundShare)
			}
			if after.failed > before.failed {
				t.Errorf("%d requests fail, want at most %d", after.failed, before.failed)
			}
		},
		"link of one gateway": func(t *testing.T, before, after faultFigures) {
			if after.soundShare < 0.9*before.soundShare || after.meanFirstByteMs > 1.1*before.meanFirstByteMs {
				t.Errorf("other gateways send %.2f of their usual requests and first bytes take %.0f ms; without the reports of others %.2f and %.0f ms", after.soundShare, after.meanFirstByteMs, before.soundShare, before.meanFirstByteMs)
			}
		},
		"link of one gateway to 3 engines": func(t *testing.T, before, after faultFigures) {
			if after.soundShare < 0.9*before.soundShare {
				t.Errorf("other gateways send the engines %.2f of their usual requests, want nine tenths of %.2f", after.soundShare, before.soundShare)
			}
		},
		"a third fails for 300 ms": func(t *testing.T, before, after faultFigures) {
			if after.usedAgain > before.usedAgain+time.Second || after.usedAgainLatest > 4*time.Second {
				t.Errorf("engines are used again after %s, the last one after %s; without the reports of others after %s", after.usedAgain, after.usedAgainLatest, before.usedAgain)
			}
			if after.busiest > 1.2*before.busiest || after.late > before.late+before.requests/1000 {
				t.Errorf("busiest sound engine %.2f, %d late; without the reports of others %.2f and %d", after.busiest, after.late, before.busiest, before.late)
			}
		},
	}
	rates, seeds := []float64{6.2}, 1
	if os.Getenv("GYPSUMBANK_WEIGH") != "" {
		rates, seeds = []float64{3.1, 6.2}, 8
	}
	for _, play := range faultPlays() {
		for _, rate := range rates {
			t.Run(fmt.Sprint(play.name, "/", rate), func(t *testing.T) {
				t.Parallel()
				play.rate = rate
				before, after := play.playSeeds(seeds)
				t.Logf("%s at %.1f/s, without the reports of others: %s", play.name, rate, before)
				t.Logf("%s at %.1f/s, with them:                     %s", play.name, rate, after)
				if rate == 6.2 {
					checks[play.name](t, before, after)
				}
			})
		}
	}
}

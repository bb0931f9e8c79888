package tally

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	run   = Run{TargetID: "e", Born: 1}
)

// newTally returns a tally of the run with reports of one second of a usual load: 30 gateways in three zones, of which every tenth has had an
// answer in time.
func newTally() *Tally {
	t := New()
	t.Begin(run)
	for g := 0; g < 30; g += 10 {
		t.Add(gateway(g), zone(g), run, Report{Served: 1, TookMs: 100, ExpectedMs: 100}, start)
	}
	return t
}

func gateway(g int) string { return fmt.Sprint("g", g) }

func zone(g int) string { return string(rune('a' + g%3)) }

// TestAFewFailuresInAllAreKnownToAll guards against gateways that learn of a failing target only by failures of their own: after three
// failures at different gateways, each costs as much as a first failure of one's own did.
func TestAFewFailuresInAllAreKnownToAll(t *testing.T) {
	table := newTally()
	for g := 1; g <= 3; g++ {
		table.Add(gateway(g), zone(g), run, Report{Failed: 1}, start)
	}
	for g := 4; g < 30; g++ {
		if got := table.Others(gateway(g), zone(g), start).ErrorRate; got < 0.15 {
			t.Errorf("error rate %.2f for gateway %d after three failures, want at least 0.15", got, g)
		}
	}
}

// TestSlownessIsKnownToAll guards against gateways that learn of a slow target only by answers of their own.
func TestSlownessIsKnownToAll(t *testing.T) {
	table := newTally()
	for g := 1; g <= 6; g++ {
		table.Add(gateway(g), zone(g), run, Report{Served: 1, TookMs: 400, ExpectedMs: 100}, start)
	}
	if got := table.Others("g29", "c", start).Slowness; got < 2 || got > 4 {
		t.Errorf("slowness %.1f of a target that is 4 times slower, want 2 to 4", got)
	}
}

// TestOwnAnswersAreNotToldBack guards against gateways that count their own answers twice.
func TestOwnAnswersAreNotToldBack(t *testing.T) {
	table := New()
	table.Begin(run)
	table.Add("g1", "a", run, Report{Failed: 20, TookMs: 8000, ExpectedMs: 1000}, start)
	if got := table.Others("g1", "a", start); got != (Estimate{}) {
		t.Errorf("the only gateway with answers is told %+v, want nothing", got)
	}
}

// TestWeightIsBounded guards against a single gateway with a bad link, and gateways of a single zone, that make all others leave a target:
// at a cost of 1500 ms for an error rate of 1, other candidates must stay worth less than one failure of one's own (220 ms).
func TestWeightIsBounded(t *testing.T) {
	const maxErrorRate, maxSlowness = 0.15, 2.5
	tests := map[string]struct {
		sees func(g int) bool
		told int // gateway
	}{
		"one gateway, told to its zone":       {func(g int) bool { return g == 4 }, 1},
		"one gateway, told to another zone":   {func(g int) bool { return g == 4 }, 2},
		"gateways of a zone, told to another": {func(g int) bool { return g%3 == 1 }, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTally()
			for g := range 30 {
				if test.sees(g) {
					table.Add(gateway(g), zone(g), run, Report{Failed: 10, TookMs: 8000, ExpectedMs: 1000}, start)
				}
			}
			got := table.Others(gateway(test.told), zone(test.told), start)
			if got.ErrorRate > maxErrorRate || got.Slowness > maxSlowness {
				t.Errorf("estimate %+v, want at most %.2f and %.1f", got, maxErrorRate, maxSlowness)
			}
		})
	}
}

// TestGatewaysOfTheZoneCount guards against the bound on a zone being applied to its own gateways.
func TestGatewaysOfTheZoneCount(t *testing.T) {
	table := newTally()
	for g := 1; g < 30; g += 3 {
		table.Add(gateway(g), zone(g), run, Report{Failed: 1}, start)
	}
	if got := table.All(start).ErrorRate; got < 0.3 {
		t.Errorf("error rate %.2f by all reports, want at least 0.3", got)
	}
	if own, other := table.Others("g31", "b", start).ErrorRate, table.Others("g32", "c", start).ErrorRate; own < 0.4 || own < 3*other {
		t.Errorf("error rate %.2f in the zone whose gateways see failures and %.2f in another, want at least 0.4 and three times as much", own, other)
	}
}

// TestEstimateDecays guards against gateways that stay away from a target which may serve well again: after 5 s without a report, what
// others told must hardly count.
func TestEstimateDecays(t *testing.T) {
	table := newTally()
	for g := range 30 {
		table.Add(gateway(g), zone(g), run, Report{Failed: 1, TookMs: 400, ExpectedMs: 100}, start)
	}
	if got := table.Others("g31", "b", start); got.ErrorRate < 0.3 || got.Slowness < 2 {
		t.Errorf("estimate %+v of a target that fails and is slow, want at least 0.3 and 2", got)
	}
	if got := table.Others("g31", "b", start.Add(5*time.Second)); got.ErrorRate > 0.05 || got.Slowness > 1.3 {
		t.Errorf("estimate %+v after 5 s, want at most 0.05 and 1.3", got)
	}
	table.Add("g1", "b", run, Report{Served: 1}, start.Add(8*time.Second))
	if len(table.gateways) != 1 {
		t.Errorf("%d gateways are kept, want the one with a report within the last seconds", len(table.gateways))
	}
}

// TestReportsEndWithTheRun guards against a run that is held to account for what an earlier one did, also by reports that come late.
func TestReportsEndWithTheRun(t *testing.T) {
	table := newTally()
	later := Run{TargetID: "e", Born: 2}
	for g := range 9 {
		table.Add(gateway(g), zone(g), run, Report{Failed: 1}, start)
	}
	table.Begin(later)
	for g := range 9 {
		table.Add(gateway(g), zone(g), run, Report{Failed: 1}, start)
	}
	if got := table.Others("g31", "b", start); got != (Estimate{}) {
		t.Errorf("estimate %+v of a run without reports, want nothing", got)
	}
}

// TestEstimatesStayInRange draws reports and times: an error rate is between 0 and 1, and a slowness is 0 or from 1 on.
func TestEstimatesStayInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := drawReports(t, 40, 5)
		asked := rapid.IntRange(0, 9).Draw(t, "asked")
		got := table.Others(gateway(asked), zone(asked), now)
		if got.ErrorRate < 0 || got.ErrorRate > 1 || (got.Slowness != 0 && got.Slowness < 1) {
			t.Fatalf("estimate %+v", got)
		}
	})
}

// TestFurtherFailureNeverLowersTheRate guards against bounds by which more failures look like fewer, as long as the answers of all gateways
// are not scaled to a full weight.
func TestFurtherFailureNeverLowersTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := drawReports(t, (maxAnswers-1)/2, 1)
		asked := rapid.IntRange(0, 9).Draw(t, "asked")
		before := table.Others(gateway(asked), zone(asked), now)
		table.Add("further", zone(rapid.IntRange(0, 2).Draw(t, "zone")), run, Report{Failed: 1}, now)
		if after := table.Others(gateway(asked), zone(asked), now); after.ErrorRate < before.ErrorRate {
			t.Fatalf("error rate %.2f after a further failure, %.2f before", after.ErrorRate, before.ErrorRate)
		}
	})
}

// TestManyAnswersDecayAsSoon guards against a busy target, or one all of whose requests fail at the same moment, that is avoided for longer
// than another.
func TestManyAnswersDecayAsSoon(t *testing.T) {
	few, many := New(), New()
	for _, table := range []*Tally{few, many} {
		table.Begin(run)
	}
	for g := range 30 {
		if g < 8 {
			few.Add(gateway(g), zone(g), run, Report{Failed: 1}, start)
		}
		many.Add(gateway(g), zone(g), run, Report{Failed: 20}, start)
	}
	later := start.Add(3 * time.Second)
	if a, b := few.Others("g31", "b", later).ErrorRate, many.Others("g31", "b", later).ErrorRate; b > a+0.05 {
		t.Errorf("error rate %.2f 3 s after 600 failures and %.2f after 8, want about the same", b, a)
	}
}

// drawReports returns a tally with up to a number of reports, and the time after the last one.
func drawReports(t *rapid.T, reports, most int) (*Tally, time.Time) {
	table := New()
	table.Begin(run)
	now := start
	for range rapid.IntRange(0, reports).Draw(t, "reports") {
		g := rapid.IntRange(0, 9).Draw(t, "gateway")
		table.Add(gateway(g), zone(g), run, Report{
			Served: rapid.IntRange(0, most).Draw(t, "served"), Failed: rapid.IntRange(0, most).Draw(t, "failed"),
			TookMs: rapid.Float64Range(0, 5000).Draw(t, "took"), ExpectedMs: rapid.Float64Range(0, 1000).Draw(t, "expected"),
		}, now)
		now = now.Add(time.Duration(rapid.IntRange(-50, 3000).Draw(t, "ms")) * time.Millisecond)
	}
	return table, now
}

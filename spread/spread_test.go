package spread_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"gypsumbank/spread"
)

// TestSharesAreEvenLevels draws candidates. The requests must raise the costs of all candidates that get some to one level, at which no
// other candidate would be cheaper, and no request may be lost.
func TestSharesAreEvenLevels(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) spread.Candidate {
			return spread.Candidate{
				CostMs: rapid.Float64Range(-100, 3000).Draw(t, "cost"), StepMs: rapid.Float64Range(1, 300).Draw(t, "step"), Unseen: rapid.Float64Range(0, 20).Draw(t, "unseen"),
			}
		}), 1, 20).Draw(t, "candidates")
		requests, sum := 1.0, 0.0
		for _, c := range candidates {
			requests += c.Unseen
		}
		shares := spread.Shares(candidates)
		level := math.Inf(1)
		for i, c := range candidates {
			sum += shares[i]
			if shares[i] > 0 {
				level = min(level, c.CostMs+shares[i]*requests*c.StepMs)
			}
		}
		if math.Abs(sum-1) > 1e-6 {
			t.Fatalf("shares %v of %v add up to %v", shares, candidates, sum)
		}
		for i, c := range candidates {
			if reached := c.CostMs + shares[i]*requests*c.StepMs; shares[i] > 0 && math.Abs(reached-level) > 1e-3 {
				t.Fatalf("candidate %d reaches %v ms, another %v", i, reached, level)
			}
			if shares[i] <= 0 && c.CostMs < level-1e-3 {
				t.Fatalf("candidate %d costs %v ms and gets nothing at a level of %v", i, c.CostMs, level)
			}
		}
	})
}

// TestUnseenRequestsWidenTheChoice covers an idle engine beside four busy ones: alone a process takes it, and the more requests others have
// sent unseen, the fewer go there, since all of them would.
func TestUnseenRequestsWidenTheChoice(t *testing.T) {
	t.Parallel()
	idleShare := func(unseen float64) float64 {
		candidates := []spread.Candidate{{CostMs: 10, StepMs: 20, Unseen: unseen}}
		for range 4 {
			candidates = append(candidates, spread.Candidate{CostMs: 50, StepMs: 20, Unseen: unseen})
		}
		return spread.Shares(candidates)[0]
	}
	if alone, some, many := idleShare(0), idleShare(1), idleShare(20); alone != 1 || some >= alone || many >= some || many < 0.2 {
		t.Errorf("the idle engine gets %.2f without unseen requests, %.2f with one and %.2f with twenty at each", alone, some, many)
	}
}

// TestConnectedCandidatesComeFirst guards against connections that are opened though a candidate as good has one, and against overrunning a
// connected candidate that has got its share.
func TestConnectedCandidatesComeFirst(t *testing.T) {
	t.Parallel()
	candidates := []spread.Candidate{{CostMs: 50, StepMs: 20, Unseen: 1}, {CostMs: 55, StepMs: 20, Unseen: 1, Connected: true}, {CostMs: 500, StepMs: 20, Unseen: 1, Connected: true}}
	for draw := range 10 {
		if got := spread.Choose(candidates, float64(draw)/10); got != 1 {
			t.Errorf("chose candidate %d, want the connected one that is nearly as good", got)
		}
	}
	candidates[1].CostMs = 500
	if got := spread.Choose(candidates, 0.99); got != 0 {
		t.Errorf("chose candidate %d, want the one that is far better", got)
	}
}

package spread

import (
	"cmp"
	"slices"
)

// Candidate is what is known of a target that may be chosen.
type Candidate struct {
	CostMs float64 // expected cost of the choice, by the last report and what this process has sent since
	StepMs float64 // by how much one more request at the candidate raises its cost; must be positive
	Unseen float64 // requests that others are expected to have sent to the candidate since its last report
	// Connected tells that an idle connection to the candidate can be used, so that none need be opened.
	Connected bool
}

// Shares returns the share of requests that each candidate is to get. Processes with the same reports are expected to choose by the
// same shares. The requests that they have sent to all candidates since the reports, and one more, are laid on the candidates with the
// lowest costs until these have risen to the same level: a candidate's share is its part of these requests. With few unseen requests that
// is the least cost; the more there are, the more candidates get a share.
func Shares(candidates []Candidate) []float64 {
	shares := make([]float64, len(candidates))
	order := make([]int, len(candidates))
	requests := 1.0
	for i, c := range candidates {
		order[i] = i
		requests += c.Unseen
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(candidates[a].CostMs, candidates[b].CostMs) })
	// With n candidates below the level L, the sum of (L - CostMs) / StepMs over these is the number of requests.
	slopes, weightedCosts, level := 0.0, 0.0, 0.0
	for n, i := range order {
		c := candidates[i]
		if n > 0 && c.CostMs >= level {
			break
		}
		slopes += 1 / c.StepMs
		weightedCosts += c.CostMs / c.StepMs
		level = (requests + weightedCosts) / slopes
	}
	for i, c := range candidates {
		shares[i] = max(0, level-c.CostMs) / c.StepMs / requests
	}
	return shares
}

// Choose returns the index of the candidate for one request, by a uniformly distributed number draw in [0, 1). Among candidates that get
// a share, those to which a connection is open are taken if there are any: the others get their requests from processes that are connected
// to them, and when the load of these shows in the reports.
func Choose(candidates []Candidate, draw float64) int {
	shares, total := drawnShares(candidates)
	left := draw * total
	chosen := -1
	for i, share := range shares {
		if share <= 0 {
			continue
		}
		chosen = i
		if left -= share; left < 0 {
			break
		}
	}
	return chosen
}

// Chances returns how likely Choose takes each candidate, between 0 and 1.
func Chances(candidates []Candidate) []float64 {
	shares, total := drawnShares(candidates)
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// drawnShares returns the shares by which Choose draws, and their sum.
func drawnShares(candidates []Candidate) (shares []float64, total float64) {
	shares = Shares(candidates)
	if connected := onlyConnected(candidates, shares); connected != nil {
		shares = connected
	}
	for _, share := range shares {
		total += share
	}
	return shares, total
}

// onlyConnected returns the shares without those of candidates that a connection would have to be opened to; nil if no other has a share.
func onlyConnected(candidates []Candidate, shares []float64) []float64 {
	connected := make([]float64, len(shares))
	found := false
	for i, c := range candidates {
		if c.Connected && shares[i] > 0 {
			connected[i], found = shares[i], true
		}
	}
	if !found {
		return nil
	}
	return connected
}

package fleet

import (
	"cmp"
	"slices"
	"time"

	"gypsumbank/registry"
	"gypsumbank/spread"
)

// Explanation is how Choose would come to its choice now.
type Explanation struct {
	Gateways   int         // number of gateways by which the choice is made
	Draws      bool        // the choice is drawn by the shares of the candidates
	LacksModel bool        // no target holds the model
	Candidates []Candidate // by falling share, then by rising cost; none if there is no choice
	Omitted    []OmittedTarget
}

// Candidate is a target that is compared with others.
type Candidate struct {
	Choice Choice  // as Choose returns it if it takes this target, but for its Rank
	Costs  Costs   // its total decides
	Share  float64 // of the choices, between 0 and 1
	Unseen float64 // requests of other gateways that are expected there beyond the last report, if the choice is drawn
}

// OmittedTarget is a target of the service that is left out.
type OmittedTarget struct {
	Target registry.Target
	Why    Omission
	Wait   time.Duration // until it may get a request of this gateway, by what it has said of itself
}

// Explain returns how Choose would come to its choice. Unlike Choose it changes nothing.
func (f *Fleet) Explain(query Query, now time.Time) Explanation {
	f.mu.Lock()
	defer f.mu.Unlock()
	omitted := omissions{}
	e := Explanation{Gateways: f.gatewayCountLocked()}
	usable, _, ok := f.eligibleTargets(query, now, omitted)
	if ok && len(usable) == 0 {
		e.LacksModel = true
	}
	if len(usable) > 0 {
		open, missed := f.withTurns(usable, now)
		for _, s := range missed {
			omitted.add(s, OmittedNoTurn)
		}
		f.explainOptions(&e, f.options(open, query, now), query, now, omitted)
	}
	e.Omitted = f.omittedTargets(query.Service, omitted, e, now)
	return e
}

// explainOptions sets the candidates with their shares, and records in omitted those that have no part in a draw.
func (f *Fleet) explainOptions(e *Explanation, options []option, query Query, now time.Time, omitted omissions) {
	e.Draws = f.draws(options)
	if !e.Draws {
		least := leastCost(options)
		for i := range options {
			c := Candidate{Choice: f.applyTurn(options[i].choice, now), Costs: options[i].costs}
			if i == least {
				c.Share = 1
			}
			e.Candidates = append(e.Candidates, c)
		}
	} else {
		drawn, candidates := f.drawnAmong(options, query, now)
		shares := spread.Chances(candidates)
		for i := range options {
			omitted.add(options[i].target, OmittedFull)
		}
		for i := range drawn {
			c := Candidate{Choice: f.applyTurn(drawn[i].choice, now), Costs: drawn[i].costs, Share: shares[i], Unseen: candidates[i].Unseen}
			c.Choice.Connected = f.hasConnection(drawn[i].target, query)
			c.Costs[ConnectionCost] = candidates[i].CostMs - drawn[i].costMs
			e.Candidates = append(e.Candidates, c)
		}
	}
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Costs.Total(), b.Costs.Total()))
	})
}

// omittedTargets returns the targets of a service that are no candidates, by id.
func (f *Fleet) omittedTargets(service string, omitted omissions, e Explanation, now time.Time) []OmittedTarget {
	isCandidate := make(map[string]bool, len(e.Candidates))
	for _, c := range e.Candidates {
		isCandidate[c.Choice.Target.ID] = true
	}
	var out []OmittedTarget
	for _, s := range f.byService[service] {
		if isCandidate[s.ID] {
			continue
		}
		out = append(out, OmittedTarget{Target: s.Target, Why: cmp.Or(omitted[s.ID], OmittedOther), Wait: f.notices.Wait(s.Target, e.Gateways, now)})
	}
	return out
}

package fleet

import (
	"math"
	"slices"
	"time"

	"gypsumbank/spread"
)

const (
	// manyGateways is the number of gateways from which their choices are spread and long prompts are sent in turns. Fewer gateways know most of
	// the load themselves, so that the least cost is even, and learn each other's requests soon enough to choose another target.
	manyGateways = 7
	// minStepMs is the least by which a further request is taken to raise the cost of a target: costs are not known better.
	minStepMs = 10
	// unevenCostMs is the cost of an engine that has twice the average number of requests of the candidates; it is below the time to
	// prefill the 6,300 tokens that long prompts share, 164 ms, and above that of another availability zone.
	unevenCostMs = 60
	// connectionCostMs is the cost of opening a connection: round trips between availability zones and a slot of the target's connections.
	connectionCostMs = 20
	// arrivalsTimeConstant is the time constant of the average rate of requests for a plain service.
	arrivalsTimeConstant = 3 * time.Second
)

// arrivals is the average rate of this gateway's requests.
type arrivals struct {
	perS      float64
	updatedAt time.Time
}

// add counts a request.
func (a *arrivals) add(now time.Time) {
	a.perS = a.valueAt(now) + 1/arrivalsTimeConstant.Seconds()
	a.updatedAt = now
}

// valueAt returns the rate decayed to a time at or after the last request.
func (a *arrivals) valueAt(now time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.perS * math.Exp(-float64(max(0, now.Sub(a.updatedAt)))/float64(arrivalsTimeConstant))
}

// countPlainArrival counts a request for a plain service; the caller holds the lock.
func (f *Fleet) countPlainArrival(service string, now time.Time) {
	if f.plainArrivals[service] == nil {
		f.plainArrivals[service] = &arrivals{}
	}
	f.plainArrivals[service].add(now)
}

// pick returns the choice with the lowest cost or, among many gateways, one by the shares of spread.Shares; the caller holds the lock.
func (f *Fleet) pick(options []option, query Query, now time.Time) Choice {
	if !f.draws(options) {
		return options[leastCost(options)].choice
	}
	options, candidates := f.drawnAmong(options, query, now)
	chosen := f.chooseAmong(candidates, f.random.Float64())
	choice := options[chosen].choice
	choice.Connected = f.hasConnection(options[chosen].target, query)
	for i := range options {
		if options[i].costMs < options[chosen].costMs {
			choice.Rank++
		}
	}
	return choice
}

// draws reports whether the choice among the options is drawn by their shares; the caller holds the lock.
func (f *Fleet) draws(options []option) bool {
	return len(options) > 1 && f.gatewayCountLocked() >= manyGateways
}

// leastCost returns the index of the option with the lowest cost.
func leastCost(options []option) int {
	least := 0
	for i := range options {
		if options[i].costMs < options[least].costMs {
			least = i
		}
	}
	return least
}

// drawnAmong returns the options that one is drawn among, and what their shares follow from: those for the request's class of prompts, unless
// these cost clearly more than others. It adds the costs of unevenness. Options without room are left out if others have it.
func (f *Fleet) drawnAmong(options []option, query Query, now time.Time) ([]option, []spread.Candidate) {
	own, others := f.divide(options, query)
	addUnevenCosts(own, now)
	addUnevenCosts(others, now)
	options = withinClass(own, others)
	candidates := make([]spread.Candidate, 0, len(options))
	for i := range options {
		candidates = append(candidates, f.candidate(&options[i], query, now))
	}
	return options, candidates
}

// addUnevenCosts adds to the costs of engines what makes their load uneven: the number of requests there, averaged over two seconds and
// counted as more at a slow one, compared with the mean of the candidates.
func addUnevenCosts(options []option, now time.Time) {
	mean := 0.0
	for i := range options {
		mean += options[i].target.occupancy.valueAt(now)
	}
	mean = max(1, mean/float64(len(options)))
	for i := range options {
		o := &options[i]
		o.add(UnevennessCost, unevenCostMs*(o.target.occupancy.valueAt(now)*o.target.performance.slowness(now)/mean-1))
	}
}

// LoadRatio returns the largest number of requests of all gateways at an engine, averaged over two seconds, over the mean of the engines
// that have a recent report; 0 without any.
func (f *Fleet) LoadRatio(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum, most, engines := 0.0, 0.0, 0
	for _, s := range f.states {
		if now.Sub(s.reportAt) >= reportLifetime || f.mustNotUse(s) {
			continue
		}
		load := s.occupancy.valueAt(now)
		sum, most = sum+load, max(most, load)
		engines++
	}
	if sum == 0 {
		return 0
	}
	return most / (sum / float64(engines))
}

// withRoom returns the options whose targets can begin to serve the request at once.
func withRoom(options []option) []option {
	isFull := func(o option) bool { return !o.choice.HasRoom }
	if !slices.ContainsFunc(options, isFull) {
		return options
	}
	return slices.DeleteFunc(slices.Clone(options), isFull)
}

// hasConnection reports whether the request would be sent to the target on an idle connection; the caller holds the lock.
func (f *Fleet) hasConnection(s *targetState, query Query) bool {
	return f.isConnected != nil && f.isConnected(s.Address, query.AtMostOnce)
}

// candidate returns an option with the requests of other gateways that it is expected to have got unseen, and what a further request would
// cost it.
func (f *Fleet) candidate(o *option, query Query, now time.Time) spread.Candidate {
	s := o.target
	c := spread.Candidate{CostMs: o.costMs, Connected: f.hasConnection(s, query)}
	if !c.Connected {
		c.CostMs += connectionCostMs
	}
	slots := float64(max(1, s.Slots))
	if f.services[s.Service].Engine == nil || query.Request.Model == "" {
		latencyMs := max(1, s.latencyMs)
		c.StepMs = max(minStepMs, plainLoadFactor*latencyMs/slots)
		// Nobody tells how many requests of other gateways are there: as many as of this one are expected of each.
		perTarget := f.plainArrivals[s.Service].valueAt(now) / float64(o.choice.Candidates)
		c.Unseen = float64(f.gatewayCountLocked()-1) * perTarget * latencyMs / 1000
		// Connected targets come first only where reports show that others have little load. Connections to plain targets hardly ever lapse,
		// so that a new one would get no requests.
		c.Connected = false
		return c
	}
	residenceMs := s.residenceMs
	if residenceMs == 0 {
		residenceMs = defaultResidenceMs
	}
	age := float64(max(0, min(reportLifetime, now.Sub(s.reportAt)))) / float64(time.Millisecond)
	c.Unseen = float64(s.othersInflight) * age / residenceMs
	c.StepMs = max(minStepMs, runningRequestMs+fullOccupancyCostMs/slots+o.choice.prefillMs)
	return c
}

package quota

import (
	"slices"
	"testing"
	"time"

	"gypsumbank/route"
)

// firstDeployment has the bounds of docs/hard-load.md.
var firstDeployment = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}

// customerLoad is a customer's quota with what its requests cost.
type customerLoad struct {
	quota route.Quota
	costs []float64
}

var (
	smallCustomer = customerLoad{
		quota: route.Quota{Unit: route.Tokens, PerSecond: 29_000, Burst: 29_000},
		costs: []float64{900, 9_300, 9_300, 9_300, 1_200, 9_300, 20_000, 9_300, 1_100, 60_000},
	}
	largeCustomer = customerLoad{
		quota: route.Quota{Unit: route.Tokens, PerSecond: 440_000, Burst: 440_000},
		costs: []float64{9_300, 9_300, 1_100, 20_000, 9_300, 1_100, 9_300, 60_000},
	}
)

func (c customerLoad) meanCost() float64 {
	total := 0.0
	for _, cost := range c.costs {
		total += cost
	}
	return total / float64(len(c.costs))
}

// offer offers load at a share of the quota for a time, at gateways of very different use: weights fall by a third from one to the next.
// Bursts are at factor times this for 3 s each 20 s.
func (c customerLoad) offer(s *simulation, gateways []*simGateway, share, burstFactor float64, d time.Duration) {
	weights := make([]float64, len(gateways))
	total, weight := 0.0, 1.0
	for i := range weights {
		weights[i] = weight
		total += weight
		weight *= 0.67
	}
	pick := func() *simGateway {
		x := s.random.Float64() * total
		for i, w := range weights {
			if x -= w; x <= 0 {
				return gateways[i]
			}
		}
		return gateways[0]
	}
	began := s.now
	var next func()
	next = func() {
		elapsed := s.now.Sub(began)
		if elapsed >= d {
			return
		}
		rate := share
		if elapsed%(20*time.Second) >= 17*time.Second {
			rate *= burstFactor
		}
		s.send(pick(), c.costs[s.random.IntN(len(c.costs))])
		mean := c.meanCost() / (rate * c.quota.PerSecond)
		s.after(time.Duration(s.random.ExpFloat64()*mean*float64(time.Second)), next)
	}
	next()
	s.run(d)
}

// spentBetween returns the cost of the requests that began to run in a span.
func (s *simulation) spentBetween(from, to time.Time) float64 {
	total := 0.0
	for _, spend := range s.begun {
		if !spend.at.Before(from) && spend.at.Before(to) {
			total += spend.cost
		}
	}
	return total
}

func newFirstDeployment(c customerLoad, seed uint64) *simulation {
	return newSimulation(firstDeployment, c.quota, 29, 52, seed)
}

func (s *simulation) report(t *testing.T) {
	t.Helper()
	highest, err := s.checkWindows()
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d requests, %d refused, %d of them under the limit, %d waited for a message, %d calls, window at most %.2f of the bound", s.total, len(s.refused), s.refusedUnderTheLimit(), s.waited, s.calls, highest)
}

// TestUsualLoadIsNotRefused guards against refusals of customers that use 55% of their quota at a few of 29 gateways.
func TestUsualLoadIsNotRefused(t *testing.T) {
	for name, c := range map[string]customerLoad{"small": smallCustomer, "large": largeCustomer} {
		t.Run(name, func(t *testing.T) {
			s := newFirstDeployment(c, 1)
			began := s.now
			c.offer(s, s.gateways[:5], 0.55, 1, 3*time.Minute)
			s.report(t)
			if limit := s.total / 100; len(s.refused) > limit {
				t.Errorf("%d of %d requests refused, at most %d allowed", len(s.refused), s.total, limit)
			}
			t.Logf("%.1f calls a second", float64(s.calls)/s.now.Sub(began).Seconds())
		})
	}
}

// TestCallsOfTheFirstDeployment guards against more than 300 calls a second for all customers of the first deployment together: 243
// requests a second, of three large customers and 13 small ones.
func TestCallsOfTheFirstDeployment(t *testing.T) {
	const span = 20 * time.Second
	costs := []float64{9_240, 9_240, 9_240, 1_116, 1_116, 1_116, 800, 800, 800}
	calls, requests, waited := 0, 0, 0
	for i := range 16 {
		c := customerLoad{quota: smallCustomer.quota, costs: costs}
		gateways := 4
		if i < 3 {
			c.quota, gateways = largeCustomer.quota, 12
		}
		s := newFirstDeployment(c, uint64(i))
		calls -= s.calls
		c.offer(s, s.gateways[:gateways], 0.55, 1, span)
		calls, requests, waited = calls+s.calls, requests+s.total, waited+s.waited
	}
	perSecond := float64(calls) / span.Seconds()
	t.Logf("%.0f requests and %.0f calls a second, %.2f of the requests waited for one", float64(requests)/span.Seconds(), perSecond, float64(waited)/float64(requests))
	if perSecond > 300 {
		t.Errorf("%.0f calls a second, at most 300 allowed", perSecond)
	}
}

// TestBurstsAreNotRefused guards against refusals of customers that use three times their usual 55% for 3 s now and then, among them a small
// one whose requests are large.
func TestBurstsAreNotRefused(t *testing.T) {
	large := route.Quota{Unit: route.Tokens, PerSecond: 29_000, Burst: 29_000}
	for name, c := range map[string]customerLoad{
		"small":                     smallCustomer,
		"large":                     largeCustomer,
		"small with large requests": {quota: large, costs: []float64{9_300, 20_000, 30_000}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFirstDeployment(c, 2)
			c.offer(s, s.gateways[:6], 0.55*0.77, 3, 6*time.Minute) // 0.55 with the bursts
			s.report(t)
			if refused, limit := s.refusedUnderTheLimit(), s.total/100; refused > limit {
				t.Errorf("%d of %d requests refused under the limit, at most %d allowed", refused, s.total, limit)
			}
		})
	}
}

// TestSevenTimesTheUsualLoad guards against a customer at seven times its usual load that gets more than its quota, or less than nine tenths
// of it.
func TestSevenTimesTheUsualLoad(t *testing.T) {
	for name, c := range map[string]customerLoad{"small": smallCustomer, "large": largeCustomer} {
		for _, gateways := range []int{3, 8, 29} {
			t.Run(name, func(t *testing.T) {
				s := newFirstDeployment(c, 3)
				began := s.now
				c.offer(s, s.gateways[:gateways], 7*0.55, 1, time.Minute)
				s.report(t)
				used := s.spentBetween(began, s.now) / s.now.Sub(began).Seconds() / c.quota.PerSecond
				t.Logf("%d gateways: %.2f of the quota used, %.0f calls a second", gateways, used, float64(s.calls)/s.now.Sub(began).Seconds())
				if used < 0.9 {
					t.Errorf("%.2f of the quota used, at least 0.9 wanted", used)
				}
			})
		}
	}
}

// TestLimitLoweredToAFifth guards against use by the old limit after it was lowered, and against a customer that gets nothing then.
func TestLimitLoweredToAFifth(t *testing.T) {
	for name, c := range map[string]customerLoad{"small": smallCustomer, "large": largeCustomer} {
		t.Run(name, func(t *testing.T) {
			s := newFirstDeployment(c, 4)
			c.offer(s, s.gateways[:6], 2, 1, 30*time.Second)
			lowered := c
			lowered.quota.PerSecond, lowered.quota.Burst = c.quota.PerSecond/5, c.quota.Burst/5
			s.setQuota(lowered.quota)
			c.offer(s, s.gateways[:6], 2, 1, 30*time.Second)
			began := s.now
			c.offer(s, s.gateways[:6], 2, 1, 2*time.Minute)
			s.report(t)
			used := s.spentBetween(began, s.now) / s.now.Sub(began).Seconds() / lowered.quota.PerSecond
			t.Logf("%.2f of the lowered quota used", used)
			if used < 0.9 {
				t.Errorf("%.2f of the lowered quota used, at least 0.9 wanted", used)
			}
		})
	}
}

// TestKeeperLost guards against refusals at usual load while one of three keepers is gone: for 10 s it is listed, then another takes its
// place.
func TestKeeperLost(t *testing.T) {
	for name, c := range map[string]customerLoad{"small": smallCustomer, "large": largeCustomer} {
		t.Run(name, func(t *testing.T) {
			s := newFirstDeployment(c, 5)
			c.offer(s, s.gateways[:5], 0.55, 1, 30*time.Second)
			lost := s.gateways[0].views.Keepers(simCustomer)[0].Address
			s.agents[lost].isDown = true
			total, refused := s.total, len(s.refused)
			c.offer(s, s.gateways[:5], 0.55, 1, 10*time.Second)
			s.unlist(lost)
			c.offer(s, s.gateways[:5], 0.55, 1, time.Minute)
			s.report(t)
			total, refused = s.total-total, len(s.refused)-refused
			if limit := total / 20; refused > limit {
				t.Errorf("%d of %d requests refused, at most %d allowed", refused, total, limit)
			}
		})
	}
}

// TestAllKeepersLost guards against use beyond the quota while no keeper answers and after others have taken over, and against a customer
// that is not served again soon after that.
func TestAllKeepersLost(t *testing.T) {
	for name, c := range map[string]customerLoad{"small": smallCustomer, "large": largeCustomer} {
		t.Run(name, func(t *testing.T) {
			s := newFirstDeployment(c, 6)
			c.offer(s, s.gateways[:5], 3, 1, 30*time.Second)
			for _, k := range s.gateways[0].views.Keepers(simCustomer) {
				s.agents[k.Address].isDown = true
				s.unlist(k.Address)
			}
			c.offer(s, s.gateways[:5], 3, 1, 10*time.Second)
			began := s.now
			c.offer(s, s.gateways[:5], 3, 1, 30*time.Second)
			s.report(t)
			used := s.spentBetween(began, s.now) / s.now.Sub(began).Seconds() / c.quota.PerSecond
			t.Logf("%.2f of the quota used from 10 s after the loss on", used)
			if used < 0.9 {
				t.Errorf("%.2f of the quota used from 10 s after the loss on, at least 0.9 wanted", used)
			}
		})
	}
}

// unlist removes an agent from the registry.
func (s *simulation) unlist(name string) {
	s.list(slices.DeleteFunc(slices.Clone(s.listed), func(other string) bool { return other == name }))
}

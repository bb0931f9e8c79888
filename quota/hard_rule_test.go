package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/route"
)

// TestWindowsHoldUnderFaults guards against more than the bound in any window while gateways are cut off, killed, replaced and frozen, keepers
// are lost, restarted, replaced, frozen and seen late, messages are lost and the limit changes, with requests at up to ten times the quota.
func TestWindowsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom([]customerLoad{
			smallCustomer, largeCustomer,
			{quota: route.Quota{Unit: route.Requests, PerSecond: 20, Burst: 20}, costs: []float64{1}},
			{quota: route.Quota{Unit: route.Requests, PerSecond: 20, Burst: 100}, costs: []float64{1}},
			{quota: route.Quota{Unit: route.Tokens, PerSecond: 100_000, Burst: 50_000}, costs: []float64{500, 10_000}},
		}).Draw(t, "customer")
		bounds := rapid.SampledFrom([]Bounds{{Window: 8 * time.Second}, {Window: 3 * time.Second, Overage: 0.05, Slack: 1000}, firstDeployment}).Draw(t, "bounds")
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		agents := rapid.IntRange(1, 6).Draw(t, "agents")
		s := newSimulation(bounds, c.quota, gateways, agents, rapid.Uint64().Draw(t, "seed"))
		s.lossRate = rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(t, "loss rate")
		gateway := func(t *rapid.T) *simGateway { return s.gateways[rapid.IntRange(0, gateways-1).Draw(t, "gateway")] }
		agentName := func(t *rapid.T) string { return rapid.SampledFrom(sortedKeys(s.agents)).Draw(t, "agent") }
		span := func(t *rapid.T, longest time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(longest)).Draw(t, "span"))
		}
		first := c.quota
		started, listChangedAt := agents, s.now.Add(-time.Hour)
		// Views differ for 3 s at most, so that the registry changes only once all gateways have seen the change before.
		canList := func() bool { return s.now.Sub(listChangedAt) > viewLag }
		t.Repeat(map[string]func(*rapid.T){
			"load":  func(t *rapid.T) {},
			"pause": func(t *rapid.T) { s.run(span(t, 6*time.Second)) },
			"cut a gateway off": func(t *rapid.T) {
				gateway(t).cutUntil = s.now.Add(span(t, 5*time.Second))
			},
			"replace a gateway": func(t *rapid.T) { s.startGateway(gateway(t)) },
			"freeze a gateway": func(t *rapid.T) {
				gateway(t).frozenUntil = s.now.Add(span(t, 12*time.Second))
			},
			"freeze an agent": func(t *rapid.T) {
				s.agents[agentName(t)].frozenUntil = s.now.Add(span(t, 12*time.Second))
			},
			"restart an agent": func(t *rapid.T) {
				s.restartAgent(agentName(t))
			},
			"restart all agents and gateways": func(t *rapid.T) {
				for _, name := range sortedKeys(s.agents) {
					if !s.agents[name].isDown {
						s.restartAgent(name)
					}
				}
				for _, g := range s.gateways {
					s.startGateway(g)
				}
			},
			"restart all gateways": func(*rapid.T) {
				for _, g := range s.gateways {
					s.startGateway(g)
				}
			},
			"lose the store": func(t *rapid.T) { s.store.downUntil = s.now.Add(span(t, 20*time.Second)) },
			"slow the store down": func(t *rapid.T) {
				s.store.longestDelay = rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, 6 * time.Second}).Draw(t, "longest delay")
			},
			"lose answers of the store": func(t *rapid.T) {
				s.store.lossRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss rate of the store")
			},
			"copy the store":    func(*rapid.T) { s.store.copied = s.store.row },
			"restore the store": func(*rapid.T) { s.store.restore() },
			"settle":            func(*rapid.T) { s.run(20 * time.Second) },
			"lose an agent": func(t *rapid.T) {
				name := agentName(t)
				if !canList() || len(s.listed) < 2 {
					t.Skip("the registry does not change now")
				}
				s.agents[name].isDown = rapid.Bool().Draw(t, "is down")
				s.unlist(name)
				listChangedAt = s.now
			},
			"list an agent": func(t *rapid.T) {
				name := agentName(t)
				if !canList() || slices.Contains(s.listed, name) {
					t.Skip("the registry does not change now")
				}
				if s.agents[name].isDown {
					s.restartAgent(name)
				}
				s.list(append(slices.Clone(s.listed), name))
				listChangedAt = s.now
			},
			"add an agent": func(t *rapid.T) {
				if !canList() || started > 12 {
					t.Skip("the registry does not change now")
				}
				s.startAgent("new-" + string(rune('a'+started)))
				started++
				listChangedAt = s.now
			},
			"change the limit": func(t *rapid.T) {
				factor := rapid.SampledFrom([]float64{0.2, 0.5, 1, 2}).Draw(t, "factor") // of the first quota
				quota := first
				quota.PerSecond, quota.Burst = quota.PerSecond*factor, quota.Burst*factor
				s.setQuota(quota)
				c.quota = quota
			},
			"": func(t *rapid.T) {
				if load := rapid.SampledFrom([]float64{10, 3, 1, 0.3, 0}).Draw(t, "load"); load > 0 {
					used := rapid.IntRange(1, gateways).Draw(t, "used")
					c.offer(s, s.gateways[gateways-used:], load, 1, span(t, 4*time.Second))
				}
				if _, err := s.checkWindows(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowsHoldAfterRestarts guards against more than the bound in any window after a customer far above its limit has had its levels raised
// and stored, and then agents and gateways restart, several times within a window and while keepers change, rows are lost with a restore of the
// store, and the store is unavailable or slow.
func TestWindowsHoldAfterRestarts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom([]customerLoad{smallCustomer, largeCustomer}).Draw(t, "customer")
		c.costs = []float64{c.quota.Burst / 20, c.quota.Burst / 10}
		bounds := rapid.SampledFrom([]Bounds{{Window: 8 * time.Second}, firstDeployment}).Draw(t, "bounds")
		gateways, agents := rapid.IntRange(1, 3).Draw(t, "gateways"), rapid.IntRange(1, 5).Draw(t, "agents")
		s := newSimulation(bounds, c.quota, gateways, agents, rapid.Uint64().Draw(t, "seed"))
		s.gateways[0].isOlder = rapid.IntRange(0, 4).Draw(t, "older gateway") == 4
		span := func(name string, longest time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(longest)).Draw(t, name))
		}
		load := func(d time.Duration, shares ...float64) {
			c.offer(s, s.gateways, rapid.SampledFrom(shares).Draw(t, "load"), 1, d)
		}
		listChangedAt := s.now
		relist := func(change func()) {
			if s.now.Sub(listChangedAt) > viewLag { // views differ for 3 s at most
				change()
				listChangedAt = s.now
			}
		}
		keeper := func() string {
			keepers := s.gateways[0].keepers
			return keepers[rapid.IntRange(0, len(keepers)-1).Draw(t, "keeper")].Address
		}
		faults := map[string]func(){
			"restart all": s.restartAll,
			"restart all agents": func() {
				for _, name := range sortedKeys(s.agents) {
					s.restartAgent(name)
				}
			},
			"restart all gateways": func() {
				for _, g := range s.gateways {
					s.startGateway(g)
				}
			},
			"restart a keeper": func() { s.restartAgent(keeper()) },
			"replace a keeper": func() {
				if len(s.listed) > 1 {
					relist(func() { s.unlist(keeper()) })
				}
			},
			"replace a keeper before a restart": func() {
				if len(s.listed) > 1 {
					relist(func() { s.unlist(keeper()) })
					load(span("replaced for", 14*time.Second), 10, 3, 0.5)
				}
				s.restartAll()
			},
			"replace two keepers before a restart": func() {
				for range 2 {
					if len(s.listed) > 1 {
						relist(func() { s.unlist(keeper()) })
						load(viewLag+span("replaced for", 8*time.Second), 10, 3, 0.5)
					}
				}
				s.restartAll()
			},
			"a keeper joins and leaves again": func() {
				if len(s.listed) < 2 {
					return
				}
				listed, left := slices.Clone(s.listed), keeper()
				relist(func() { s.unlist(left) })
				load(viewLag+span("away for", 8*time.Second), 10, 3, 0.5)
				if rapid.Bool().Draw(t, "restarts meanwhile") {
					s.restartAgent(left)
				}
				relist(func() { s.list(listed) })
				load(span("back for", 8*time.Second), 10, 3, 0.5)
			},
			"list all agents":     func() { relist(func() { s.list(sortedKeys(s.agents)) }) },
			"copy the store":      func() { s.store.copied = s.store.row },
			"restore the store":   s.store.restore,
			"lose the store":      func() { s.store.downUntil = s.now.Add(span("store down", 12*time.Second)) },
			"slow the store down": func() { s.store.longestDelay = span("longest delay", 4*time.Second) },
		}
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			load(20*time.Second+span("before", 20*time.Second), 10, 0.6, 0.4)
			if rapid.Bool().Draw(t, "all of a level is used") { // which can't be raised
				s.store.downUntil = s.now.Add(time.Minute)
				load(10*time.Second, 10)
				s.store.downUntil = time.Time{}
			}
			for range rapid.IntRange(1, 5).Draw(t, "faults") {
				faults[rapid.SampledFrom(sortedKeys(faults)).Draw(t, "fault")]()
				load(span("after", 5*time.Second), 10, 3, 0.5)
			}
			s.store.longestDelay, s.store.downUntil = 10*time.Millisecond, time.Time{}
			if !slices.Equal(s.listed, sortedKeys(s.agents)) {
				relist(func() { s.list(sortedKeys(s.agents)) })
			}
			load(12*time.Second, 10, 1)
		}
		if _, err := s.checkWindows(); err != nil {
			t.Fatal(err)
		}
	})
}

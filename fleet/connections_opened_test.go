package fleet

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/spread"
)

// playedIdle is how long a gateway keeps an idle connection to a target that announces 10 s.
const playedIdle = 9 * time.Second

// TestThirdOfTheConnectionsIsOpened plays both deployments of docs/hard-load.md with idle connections that are kept for 9 s, and with those that
// are closed after 4 s and used for 1.5 s by requests that must not run twice. Once the gateways have met the engines, they must open a third
// of the connections, at the same evenness.
func TestThirdOfTheConnectionsIsOpened(t *testing.T) {
	t.Parallel()
	const (
		played     = 40 * time.Second
		maxBusiest = 1.3
	)
	first := evenLoadPlays(played)["usual"]
	first.gateways = 29
	second := first
	second.gateways, second.engines, second.rate = 8, 38, 3.93
	second.holders = append([]int{15, 10, 8, 6, 4, 4}, slices.Repeat([]int{2}, 33)...)
	for name, play := range map[string]enginesPlay{"29 gateways": first, "8 gateways": second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := play.run(spread.Choose)
			play.idle, play.idleUnsafe = playedIdle, playedIdle
			now := play.run(spread.Choose)
			t.Logf("idle for 4 s and 1.5 s: %s", before)
			t.Logf("idle for 9 s:           %s", now)
			if now.openedLater > before.openedLater/3 {
				t.Errorf("%.3f connections are opened for a request, want a third of %.3f", now.openedLater, before.openedLater)
			}
			if now.busiest > maxBusiest {
				t.Errorf("busiest engine has %.2f times the mean, want at most %.2f", now.busiest, maxBusiest)
			}
		})
	}
}

// TestLoadIsEvenWithKeptConnections guards against gateways that return to the engines to which they keep connections until these have more
// than 1.3 times the mean load: 30 gateways and bursts, the mean of several plays, as chance decides whether one of 20 s is below.
func TestLoadIsEvenWithKeptConnections(t *testing.T) {
	t.Parallel()
	const (
		seeds      = 4
		maxBusiest = 1.3
	)
	sum := 0.0
	for seed := range uint64(seeds) {
		play := evenLoadPlays(20 * time.Second)["bursts"]
		play.seed, play.idle, play.idleUnsafe = seed, playedIdle, playedIdle
		result := play.run(spread.Choose)
		t.Logf("seed %d: %s", seed, result)
		sum += result.busiest
	}
	if mean := sum / seeds; mean > maxBusiest {
		t.Errorf("busiest engine has %.2f times the mean, want at most %.2f", mean, maxBusiest)
	}
}

// plainPlay is the load of many gateways on the replicas of a plain service, of which the last joins after joinAt.
type plainPlay struct {
	gateways, replicas int
	perS               float64
	work, joinAt, end  time.Duration
}

// run returns the requests of each replica after joinAt.
func (p plainPlay) run() map[string]int {
	random := rand.New(rand.NewPCG(3, 4))
	now := start
	targets := []registry.Target{{ID: "e0", Born: 1, Service: service, Address: "10.0.0.1:80"}}
	for i := range p.replicas {
		id := string(rune('p' + i))
		targets = append(targets, registry.Target{ID: id, Service: "plain", Address: "10.0.1." + id + ":80", Slots: 6})
	}
	var fleets []*Fleet
	idle := make([]map[string][]time.Time, p.gateways)
	for g := range p.gateways {
		f := newTestFleet([]string{"hot"})
		observation := newObservation(registry.Report{Born: 1})
		observation.Watchers = p.gateways
		f.Observe("e0", observation, start)
		f.SetServices(map[string]route.Service{"plain": {Name: "plain"}})
		f.UpdateTargets(targets[:len(targets)-1], false, start)
		f.Seed(uint64(g))
		idle[g] = map[string][]time.Time{}
		f.SetConnections(func(address string, _ bool) bool { return usableIdle(idle[g][address], playedIdle, now) >= 0 })
		fleets = append(fleets, f)
	}
	type run struct {
		assignment *Assignment
		gateway    int
		address    string
		ends       time.Time
	}
	var running []run
	count := map[string]int{}
	for joined := false; now.Before(start.Add(p.end)); now = now.Add(time.Millisecond) {
		if !joined && now.Sub(start) >= p.joinAt {
			joined = true
			for _, f := range fleets {
				f.UpdateTargets(targets, false, now)
			}
		}
		running = slices.DeleteFunc(running, func(r run) bool {
			if now.Before(r.ends) {
				return false
			}
			idle[r.gateway][r.address] = append(idle[r.gateway][r.address], now)
			r.assignment.Start(now)
			r.assignment.End(Served, now)
			return true
		})
		for range poisson(random, p.perS/1000) {
			g := random.IntN(p.gateways)
			req := &request.Request{ID: "r"}
			choice, _ := fleets[g].Choose(Query{Service: "plain", Request: req, AtMostOnce: true}, now)
			address := choice.Target.Address
			if k := usableIdle(idle[g][address], playedIdle, now); k >= 0 {
				idle[g][address] = slices.Delete(idle[g][address], k, k+1)
			}
			if joined {
				count[choice.Target.ID]++
			}
			running = append(running, run{assignment: fleets[g].Assign(choice, req, now), gateway: g, address: address, ends: now.Add(p.work)})
		}
	}
	return count
}

// TestNewPlainTargetGetsRequests guards against a replica that joins and gets few requests, as gateways have connections to the others that do
// not lapse, so that these are overrun. It must get at least half of an equal part of the requests in its first 10 s.
func TestNewPlainTargetGetsRequests(t *testing.T) {
	t.Parallel()
	tests := map[string]plainPlay{
		"29 gateways": {gateways: 29, perS: 82},
		"8 gateways":  {gateways: 8, perS: 52},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play.replicas, play.work, play.joinAt, play.end = 3, 30*time.Millisecond, 10*time.Second, 20*time.Second
			count := play.run()
			t.Logf("requests after the last joined: %v", count)
			if total := count["p"] + count["q"] + count["r"]; count["r"]*play.replicas*2 < total {
				t.Errorf("the new replica got %d of %d requests", count["r"], total)
			}
		})
	}
}

package turns

import (
	"testing"
	"time"
)

const s = time.Second

// simulate runs loads of 29 gateways before one engine.
func simulate(seed uint64, plain bool, slow float64, loads ...load) *simulation {
	sim := newSimulation(seed)
	sim.plain = plain
	if slow > 0 {
		sim.slow = slow
	}
	sim.run(29, append([]load(nil), loads...)...)
	return sim
}

// TestLoads runs loads of 29 gateways before one engine. The engine must hardly ever prefill more than Limit long prompts at a
// time; urgent requests must be on time no less often than if all were sent at once, and patient ones must not cost them more than
// a few; patient requests, which wait longer, must be served no less often than urgent ones. If the overload lasts, urgent
// requests must be on time no less often than patient ones, and these must not be left out.
func TestLoads(t *testing.T) {
	customer := load{priority: 1, objective: 800 * time.Millisecond, patience: 4 * s, retries: true}
	chat := load{priority: 3, objective: 500 * time.Millisecond, patience: 4 * s, prefill: 22 * time.Millisecond}
	cases := map[string]struct {
		urgent, patient []load
		slow            float64
		overload        bool // for good
	}{
		"usual":                             {urgent: []load{urgent.during(1.3, 0, 60*s)}, patient: []load{patient.during(0.31, 0, 60*s)}},
		"usual, slow engine":                {urgent: []load{urgent.during(1.3, 0, 60*s)}, patient: []load{patient.during(0.31, 0, 60*s)}, slow: 1.8},
		"short burst of the urgent":         {urgent: []load{urgent.during(1.3, 0, 60*s), urgent.during(8, 20*s, 22*s)}, patient: []load{patient.during(0.31, 0, 60*s)}},
		"long burst of the patient":         {urgent: []load{urgent.during(1.3, 0, 60*s)}, patient: []load{patient.during(3, 10*s, 40*s)}},
		"one customer at seven times":       {urgent: []load{urgent.during(1, 0, 60*s), customer.during(0.5, 0, 20*s), customer.during(3.5, 20*s, 40*s)}, patient: []load{patient.during(0.31, 0, 60*s)}},
		"a third of the engines gone":       {urgent: []load{urgent.during(2, 0, 60*s)}, patient: []load{patient.during(0.5, 0, 60*s)}},
		"overload for good":                 {urgent: []load{urgent.during(6, 0, 60*s)}, patient: []load{patient.during(1.5, 0, 60*s)}, overload: true},
		"rare models asked for at once":     {urgent: []load{urgent.during(40, 0, s/2)}, patient: []load{patient.during(20, 0, s/2)}},
		"short prompts among the long ones": {urgent: []load{urgent.during(1.3, 0, 60*s), chat.during(1.6, 0, 60*s)}, patient: []load{patient.during(0.31, 0, 60*s)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				all := append(append([]load(nil), c.urgent...), c.patient...)
				sim, plain, alone := simulate(seed, false, c.slow, all...), simulate(seed, true, c.slow, all...), simulate(seed, false, c.slow, c.urgent...)
				u, p := sim.results(1), sim.results(2)
				if sim.most > Limit+1 || float64(sim.crowded) > 0.05*float64(sim.busy) {
					t.Errorf("seed %d: up to %d long prompts at a time, more than %d for %s of %s", seed, sim.most, Limit, sim.crowded, sim.busy)
				}
				if before := plain.results(1).share(); u.share() < before {
					t.Errorf("seed %d: %.3f of the urgent on time, %.3f without turns", seed, u.share(), before)
				}
				if undisturbed := alone.results(1); !c.overload && undisturbed.onTime-u.onTime > max(3, u.sent*15/100) {
					t.Errorf("seed %d: %+v of the urgent, %+v without patient requests", seed, u, undisturbed)
				}
				if c.overload && (u.share() < p.share() || 4*p.served < p.sent) {
					t.Errorf("seed %d: %+v of the urgent and %+v of the patient", seed, u, p)
				}
				if !c.overload && p.served*u.sent < u.served*p.sent {
					t.Errorf("seed %d: %d of %d patient requests served, and %d of %d urgent ones", seed, p.served, p.sent, u.served, u.sent)
				}
			}
		})
	}
}

// TestThroughput has 100 requests of 29 gateways wait at once. The engine must get through them in the time that a plain queue
// takes, also if it is slower than the gateways expect.
func TestThroughput(t *testing.T) {
	for _, slow := range []float64{0.8, 1, 1.5} {
		endless := load{priority: 1, objective: 800 * time.Millisecond, patience: 600 * s, perSecond: 10000, to: 10 * time.Millisecond}
		turns, plain := simulate(1, false, slow, endless), simulate(1, true, slow, endless)
		if served := turns.results(1); served.served < served.sent {
			t.Errorf("%+v, want all served", served)
		}
		if limit := plain.lastEnd * 103 / 100; turns.lastEnd > limit {
			t.Errorf("engine %.1f times as slow as expected: %s, a plain queue %s", slow, turns.lastEnd, plain.lastEnd)
		}
	}
}

// TestLostEnds loses a third of the reports of ends, as if gateways froze with their turns. The engine must go on.
func TestLostEnds(t *testing.T) {
	sim := newSimulation(3)
	sim.lost = func(*job) bool { return sim.random.IntN(3) == 0 }
	sim.run(29, urgent.during(1.3, 0, 60*s), patient.during(0.31, 0, 60*s))
	if u, p := sim.results(1), sim.results(2); u.share() < 0.9 || p.served < p.sent {
		t.Errorf("urgent %+v, patient %+v", u, p)
	}
}

// TestPromptsThatTakeLongerThanExpected has each fifth prompt take 164 ms more than the 75 ms that are expected, as the parts that it
// shares with others are not cached. It guards against turns granted by the clock while such a prompt is still prefilled: the streams
// beside two prompts pause for too long. The loads are the usual one of a busy engine, and twice that for 3 s.
func TestPromptsThatTakeLongerThanExpected(t *testing.T) {
	const maxCrowded = 0.05 // of the time in which the engine prefills
	cached := load{priority: 1, objective: 800 * time.Millisecond, patience: 4 * s, retries: true, prefill: 75 * time.Millisecond, evicted: 164 * time.Millisecond}
	for name, loads := range map[string][]load{
		"usual": {cached.during(3, 0, 60*s)},
		"burst": {cached.during(3, 0, 60*s), cached.during(6, 20*s, 23*s)},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				sim, plain := simulate(seed, false, 0, loads...), simulate(seed, true, 0, loads...)
				if share := sim.crowded.Seconds() / sim.busy.Seconds(); share > maxCrowded {
					t.Errorf("seed %d: two long prompts at a time for %.3f of the time, want at most %.3f", seed, share, maxCrowded)
				}
				if share, before := sim.results(1).share(), plain.results(1).share(); share < before-0.02 {
					t.Errorf("seed %d: %.3f on time, %.3f without turns", seed, share, before)
				}
			}
		})
	}
}

// TestRefusalIsToldAtOnce asks for a turn that can't come within the time that the request can wait. It must be refused at once,
// with the time until there is room, and go first when it comes back through another gateway.
func TestRefusalIsToldAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New(1)
	ask := func(owner Owner, id uint64, wait time.Duration) map[uint64]Decision {
		q.Ask(owner, Request{ID: id, Content: id, GiveUp: now.Add(wait), Rank: Rank{Priority: 1, Objective: now.Add(wait), Prefill: 200 * time.Millisecond}}, now)
		decisions, _ := q.Advance(now)
		byID := map[uint64]Decision{}
		for _, d := range decisions {
			byID[d.ID] = d
		}
		return byID
	}
	if d := ask(1, 1, 4*s)[1]; d.Kind != Granted {
		t.Errorf("first request at an idle engine: %+v, want a grant at once", d)
	}
	for id := uint64(2); id < 6; id++ {
		if d := ask(1, id, 4*s)[id]; d.Kind != Waiting || d.Wait < time.Duration(id-1)*150*time.Millisecond {
			t.Errorf("request %d: %+v, want a wait for those before it", id, d)
		}
	}
	if d := ask(2, 9, 100*time.Millisecond)[9]; d.Kind != Refused || d.Wait < 150*time.Millisecond {
		t.Errorf("request that can't wait: %+v, want a refusal", d)
	}
	if ask(3, 9, 4*s); q.waiting[0].ID != 9 {
		t.Errorf("the request that came back is not the first that waits: %d", q.waiting[0].ID)
	}
}

package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gypsumbank/promptclass"
	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/spread"
)

// The engines and requests of the deployment that the choices are weighed for: docs/hard-load.md, load of the first deployment.
const (
	playStep          = 5 * time.Millisecond
	playedStepMs      = 5.47 // of a batch, one token of each run
	playedPrefill     = 38.7 // prompt tokens per ms
	playedChunk       = 2048 // prompt tokens that are prefilled between two steps
	playedSlots       = 64
	playedKV          = 197200
	playedWaiting     = 16 // requests that wait at an engine before it refuses
	playedIdleUnsafe  = 1500 * time.Millisecond
	playedIdleSafe    = 4 * time.Second
	playedReports     = 200 * time.Millisecond // between two reports of an engine
	playedReportDelay = 100 * time.Millisecond // until gateways have a report
)

// enginesPlay is one load on engines whose gateways choose by what they know.
type enginesPlay struct {
	gateways int
	engines  int
	holders  []int   // engines that hold each model; their requests are in proportion
	rate     float64 // requests a second at each engine
	burst    float64 // factor of the rate in 300 ms of each 3 s; 0 for none
	slow     int     // each of this many engines takes three times as long; 0 for none
	gone     int     // each of this many engines accepts no connection from the middle on; 0 for none
	seed     uint64
	// idle is for how long a connection may have been idle, and idleUnsafe for requests that must not run twice.
	idle, idleUnsafe time.Duration
	subsets          bool // each gateway takes the least cost of its own subset of the holders
	divided          bool // the holders of a model are divided between long and short prompts
	played           time.Duration
}

type playedEngine struct {
	id       int
	slow     float64
	gone     bool
	queue    []*playedRun // to be prefilled
	running  []*playedRun
	cache    *promptCache
	parts    []PromptPart
	present  map[int]int // requests by gateway
	chunkMs  float64     // left of the current chunk and step
	loadTime float64     // requests x seconds
	count    int
	refused  int
	reports  []playedReport
}

type playedReport struct {
	at          time.Time
	observation Observation
}

type playedRun struct {
	assignment *Assignment
	gateway    int
	arrived    time.Time
	prefill    float64 // tokens left
	output     int     // tokens left
	kv         int
	objective  time.Duration
	started    bool
	lastEvent  time.Time
	late       bool
	unsafe     bool
}

type playedResult struct {
	uneven      float64 // most by which the load of an engine exceeds that of an even division among the holders for each class, as a factor
	busiest     float64 // time average of the requests at the busiest engine of a model over the mean of all
	late        float64 // share of the requests whose first event, or an event, was late
	refused     float64
	opened      float64 // new connections a request
	openedLater float64 // the same in the second half, when gateways have met the engines
	longMs      float64 // mean time to the first byte of long prompts
	prefilled   float64 // mean prompt tokens prefilled for a long prompt
}

func (r playedResult) String() string {
	return fmt.Sprintf("busiest %.2f, uneven %.2f, late %.3f, refused %.4f, opened %.2f and %.3f in the second half, long prompts %.0f ms and %.0f tokens", r.busiest, r.uneven, r.late, r.refused, r.opened, r.openedLater, r.longMs, r.prefilled)
}

// run plays the load. choose is spread.Choose or what it is compared with; nil for the least cost.
func (p enginesPlay) run(choose func([]spread.Candidate, float64) int) playedResult {
	random := rand.New(rand.NewPCG(7, p.seed))
	now := start
	var targets []registry.Target
	var engines []*playedEngine
	models := map[string]route.Model{}
	for i := range p.engines {
		e := &playedEngine{id: i, slow: 1, cache: newPromptCache(playedKV), present: map[int]int{}}
		if p.slow > 0 && i%p.slow == p.slow-1 {
			e.slow = 3
		}
		engines = append(engines, e)
		targets = append(targets, registry.Target{
			ID: fmt.Sprint("e", i), Born: 1, Service: service, Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), AvailabilityZone: string(rune('a' + i%3)), Slots: playedSlots,
		})
	}
	next := 0 // engines hold the models in turn
	for m, holders := range p.holders {
		name := fmt.Sprint("m", m)
		models[name] = modelSpec(name)
		for range holders {
			t := &targets[next%p.engines]
			t.Models = append(t.Models, registry.Model{Name: name})
			next++
		}
	}
	fleets := make([]*Fleet, p.gateways)
	idle := make([]map[string][]time.Time, p.gateways) // times since when connections are idle
	for g := range fleets {
		f := New(string(rune('a' + g%3)))
		f.SetServices(map[string]route.Service{service: {Name: service, Engine: &route.Engine{Models: models, WeightMemoryMB: 230, AdapterSlots: 2, Slots: playedSlots}}})
		f.UpdateTargets(targets, false, now)
		f.Seed(uint64(g))
		idle[g] = map[string][]time.Time{}
		f.SetConnections(func(address string, atMostOnce bool) bool {
			return usableIdle(idle[g][address], p.idleLimit(atMostOnce), now) >= 0
		})
		if !p.divided {
			f.promptMixes[service] = undividedMix()
		}
		switch {
		case p.subsets:
			f.chooseAmong = leastInSubset(g)
		case choose != nil:
			f.chooseAmong = choose
		}
		fleets[g] = f
	}
	watchers := p.gateways
	if choose == nil {
		watchers = manyGateways - 1
	}
	work := map[string]float64{} // requests x seconds by model and class
	requests, late, refused, opened := 0, 0, 0, 0
	laterRequests, laterOpened := 0, 0
	longs, longMs, prefilled := 0, 0.0, 0.0
	address := func(e *playedEngine) string { return targets[e.id].Address }
	arrive := func(m int) {
		g := random.IntN(p.gateways)
		f := fleets[g]
		req := shortRequest(fmt.Sprint("m", m))
		req.PromptTokens, req.MaxOutputTokens, req.LengthHint = 826, 400, 290
		req.Parts = []request.Part{{ID: fmt.Sprint("chat", random.IntN(20)), Tokens: 400}, {ID: fmt.Sprint(random.Uint64()), Tokens: 426}}
		run := &playedRun{gateway: g, arrived: now, output: 290, objective: 500 * time.Millisecond, unsafe: true}
		if random.Float64() < 0.515 {
			req.PromptTokens, req.MaxOutputTokens, req.LengthHint = 9190, 60, 50
			req.Parts = []request.Part{{ID: "all", Tokens: 2500}, {ID: fmt.Sprint("s", random.IntN(6)), Tokens: 3800}, {ID: fmt.Sprint(random.Uint64()), Tokens: 2890}}
			run.output, run.objective, run.unsafe = 50, 800*time.Millisecond, random.Float64() < 0.8
		}
		run.kv = req.PromptTokens + run.output
		f.RecordDemand(service, req, now)
		requests++
		inSecondHalf := now.Sub(start) >= p.played/2
		if inSecondHalf {
			laterRequests++
		}
		excluded := map[string]bool{}
		for range 3 {
			choice, ok := f.Choose(Query{Service: service, Request: req, AtMostOnce: run.unsafe, Exclude: excluded}, now)
			if !ok {
				break
			}
			i := slices.IndexFunc(targets, func(t registry.Target) bool { return t.ID == choice.Target.ID })
			e := engines[i]
			run.assignment = f.Assign(choice, req, now)
			if e.gone {
				run.assignment.End(Unreached, now)
				excluded[choice.Target.ID] = true
				continue
			}
			conns := idle[g][address(e)]
			if k := usableIdle(conns, p.idleLimit(run.unsafe), now); k >= 0 {
				idle[g][address(e)] = slices.Delete(conns, k, k+1)
			} else {
				opened++
				if inSecondHalf {
					laterOpened++
				}
			}
			kv := 0
			for _, each := range append(slices.Clone(e.running), e.queue...) {
				kv += each.kv
			}
			if len(e.queue)+len(e.running) >= playedSlots+playedWaiting || kv+run.kv > playedKV {
				run.assignment.End(Refused, now)
				refused++
				e.refused++
				continue
			}
			run.prefill = float64(req.PromptTokens)
			for k, hash := range req.PrefixHashes() {
				if !e.cache.has(hash) {
					break
				}
				run.prefill -= float64(req.Parts[k].Tokens)
			}
			run.prefill = max(0, run.prefill-float64(choice.FetchTokens))
			for k, hash := range req.PrefixHashes() {
				part := PromptPart{Hash: hash, Tokens: req.Parts[k].Tokens}
				e.cache.add(part)
				e.parts = append(e.parts, part)
			}
			if isLongPrompt(req) {
				longs++
				prefilled += run.prefill
			}
			e.queue = append(e.queue, run)
			e.count++
			return
		}
		late++
	}
	end := func(e *playedEngine, run *playedRun) {
		run.assignment.End(Served, now)
		idle[run.gateway][address(e)] = append(idle[run.gateway][address(e)], now)
		if run.late {
			late++
		}
	}
	for n := 0; now.Before(start.Add(p.played)); n++ {
		now = now.Add(playStep)
		rate := p.rate
		if p.burst > 0 && now.Sub(start)%(3*time.Second) < 300*time.Millisecond {
			rate *= p.burst
		}
		if p.gone > 0 && now.Sub(start) >= p.played/2 {
			for i, e := range engines {
				if i%p.gone == p.gone-1 && !e.gone {
					e.gone = true
					for _, run := range append(slices.Clone(e.running), e.queue...) {
						run.assignment.End(Failed, now)
					}
					e.running, e.queue = nil, nil
				}
			}
		}
		for m, holders := range p.holders {
			for range poisson(random, rate*float64(p.engines)*float64(holders)/float64(next)*playStep.Seconds()) {
				arrive(m)
			}
		}
		for _, e := range engines {
			e.advance(now, end)
			e.loadTime += float64(len(e.queue)+len(e.running)) * playStep.Seconds()
			for _, run := range append(slices.Clone(e.running), e.queue...) {
				work[run.assignment.request.Model+classOf(run.assignment.request)] += playStep.Seconds()
			}
			if (n+e.id)%int(playedReports/playStep) == 0 && !e.gone {
				e.reports = append(e.reports, e.report(now, targets[e.id], watchers))
			}
			if len(e.reports) > 0 && now.Sub(e.reports[0].at) >= playedReportDelay {
				for _, f := range fleets {
					// What a gateway has sent and not yet told is counted from its heartbeat; the agent hears of it within 10 ms.
					if s := f.states[targets[e.id].ID]; s != nil {
						s.reportedInflight = e.presentOf(f, fleets)
					}
					f.Observe(targets[e.id].ID, e.reports[0].observation, now)
				}
				e.reports = e.reports[1:]
			}
			for _, run := range e.running {
				if !run.started {
					run.started, run.lastEvent = true, now
					took := now.Sub(run.arrived)
					run.late = run.late || took > run.objective
					run.assignment.Start(now)
					if run.objective == 800*time.Millisecond {
						longMs += float64(took) / float64(time.Millisecond)
					}
				}
			}
		}
	}
	result := playedResult{late: float64(late) / float64(requests), refused: float64(refused) / float64(requests), opened: float64(opened) / float64(requests), openedLater: float64(laterOpened) / float64(laterRequests), longMs: longMs / math.Max(1, float64(longs)), prefilled: prefilled / math.Max(1, float64(longs))}
	sum, most, sound := 0.0, 0.0, 0.0
	for _, e := range engines {
		if e.slow > 1 || e.gone {
			continue
		}
		sum += e.loadTime
		most = max(most, e.loadTime)
		sound++
	}
	result.busiest = most / (sum / sound)
	ideal := idealLoads(targets, work)
	for i, e := range engines {
		result.uneven = max(result.uneven, e.loadTime/ideal[i])
	}
	return result
}

// idleLimit returns for how long a connection may have been idle that a request is sent on.
func (p enginesPlay) idleLimit(atMostOnce bool) time.Duration {
	if atMostOnce {
		return p.idleUnsafe
	}
	return p.idle
}

// classOf returns the class of a request's prompt.
func classOf(req *request.Request) string {
	if isLongPrompt(req) {
		return "/long"
	}
	return "/short"
}

// undividedMix returns a mix of prompts with so few short ones that holders are not divided.
func undividedMix() *promptMix {
	mix := newPromptMix()
	mix.work.Add(1e12, true, start)
	return mix
}

// idealLoads returns the load of each engine if the work for each model and class were divided as evenly as the holders for it allow.
func idealLoads(targets []registry.Target, work map[string]float64) []float64 {
	ids := map[string][]string{} // of the holders, by model
	for _, target := range targets {
		for _, model := range target.Models {
			ids[model.Name] = append(ids[model.Name], target.ID)
		}
	}
	holders := map[string][]int{}
	for model, all := range ids {
		short := promptclass.Short(all, 1)
		for i, target := range targets {
			if !slices.Contains(all, target.ID) {
				continue
			}
			if short[target.ID] || len(short) == 0 {
				holders[model+"/short"] = append(holders[model+"/short"], i)
			}
			if !short[target.ID] {
				holders[model+"/long"] = append(holders[model+"/long"], i)
			}
		}
	}
	return newBalance(make([]float64, len(targets)), holders, work).load
}

// presentOf returns the number of requests of a gateway that its last report counted.
func (e *playedEngine) presentOf(f *Fleet, fleets []*Fleet) int {
	return e.present[slices.Index(fleets, f)]
}

// usableIdle returns the index of the connection that was idle for the shortest time, if it can be used, or -1.
func usableIdle(idle []time.Time, limit time.Duration, now time.Time) int {
	if last := len(idle) - 1; last >= 0 && now.Sub(idle[last]) <= limit {
		return last
	}
	return -1
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for left := random.ExpFloat64(); left < mean; left += random.ExpFloat64() {
		n++
	}
	return n
}

// advance has the engine work for playStep: a chunk of the first waiting prompt, then a step of the batch, in turns.
func (e *playedEngine) advance(now time.Time, end func(*playedEngine, *playedRun)) {
	left := float64(playStep) / float64(time.Millisecond) / e.slow
	for left > 0 && (len(e.queue) > 0 || len(e.running) > 0) {
		if e.chunkMs > left {
			e.chunkMs -= left
			return
		}
		left -= e.chunkMs
		e.chunkMs = 0
		for _, run := range e.running {
			run.output--
			if run.output%5 == 0 {
				run.late = run.late || (run.started && now.Sub(run.lastEvent) > 500*time.Millisecond)
				run.lastEvent = now
			}
		}
		e.running = slices.DeleteFunc(e.running, func(run *playedRun) bool {
			if run.output > 0 || !run.started {
				return false
			}
			end(e, run)
			return true
		})
		for chunk := float64(playedChunk); chunk > 0 && len(e.queue) > 0 && len(e.running) < playedSlots; {
			run := e.queue[0]
			read := min(chunk, run.prefill)
			run.prefill -= read
			chunk -= read
			e.chunkMs += read / playedPrefill
			if run.prefill <= 0 {
				e.queue = e.queue[1:]
				e.running = append(e.running, run)
			}
		}
		e.chunkMs += playedStepMs
	}
}

// report returns what the engine's agent sends now.
func (e *playedEngine) report(now time.Time, target registry.Target, watchers int) playedReport {
	clear(e.present)
	report := registry.Report{Born: 1, Models: target.Models, Waiting: len(e.queue), Running: len(e.running), KVTotal: playedKV}
	pendingMs := 0.0
	for _, run := range append(slices.Clone(e.running), e.queue...) {
		report.KVUsed += run.kv
		e.present[run.gateway]++
		pendingMs += run.prefill / playedPrefill
	}
	observation := Observation{Report: report, Watchers: watchers, Requests: len(e.queue) + len(e.running), QueuedPrefillMs: pendingMs, Parts: e.parts}
	e.parts = nil
	return playedReport{at: now, observation: observation}
}

// weighedChoices are the ways to choose that docs/design/even-load.md compares.
func weighedChoices() map[string]func([]spread.Candidate, float64) int {
	withoutConnections := func(candidates []spread.Candidate, draw float64) int {
		for i := range candidates {
			candidates[i].Connected = false
		}
		return spread.Choose(candidates, draw)
	}
	return map[string]func([]spread.Candidate, float64) int{
		"a least cost": nil,
		"a2 least cost with that of unevenness": func(candidates []spread.Candidate, _ float64) int {
			least := 0
			for i := range candidates {
				if candidates[i].CostMs < candidates[least].CostMs {
					least = i
				}
			}
			return least
		},
		"b better of two": func(candidates []spread.Candidate, draw float64) int {
			n := len(candidates)
			k := int(draw * float64(n*(n-1)))
			i, j := k/(n-1), k%(n-1)
			if j >= i {
				j++
			}
			if candidates[i].CostMs < candidates[j].CostMs {
				return i
			}
			return j
		},
		"c in proportion to room":     withoutConnections,
		"e the same, connected first": spread.Choose,
	}
}

// leastInSubset returns a choice of the least cost among a quarter of the candidates, two at least: each gets the same number of gateways.
// If those of the subset cost far more than another, all are compared.
func leastInSubset(gateway int) func([]spread.Candidate, float64) int {
	return func(candidates []spread.Candidate, _ float64) int {
		n := len(candidates)
		size := min(n, max(2, n/4))
		least, leastOfAll := -1, 0
		for j := range n {
			i := (gateway*size + j) % n
			if j < size && (least < 0 || candidates[i].CostMs < candidates[least].CostMs) {
				least = i
			}
			if candidates[i].CostMs < candidates[leastOfAll].CostMs {
				leastOfAll = i
			}
		}
		if candidates[least].CostMs > candidates[leastOfAll].CostMs+unevenCostMs {
			return leastOfAll
		}
		return least
	}
}

// evenLoadPlays returns the loads that the choices are weighed under. The engines hold 48 models in turn, each with 2 to 20 holders.
func evenLoadPlays(played time.Duration) map[string]enginesPlay {
	holders := append([]int{20, 14, 10, 8, 6, 5}, slices.Repeat([]int{2, 2, 2, 2, 2, 3}, 7)...)
	usual := enginesPlay{seed: 9, gateways: 30, engines: 52, holders: holders, rate: 3.1, idle: playedIdleSafe, idleUnsafe: playedIdleUnsafe, played: played}
	busy, bursts, slow, gone, many := usual, usual, usual, usual, usual
	busy.rate = 6.2
	bursts.rate, bursts.burst = 2.5, 5
	slow.slow = 3
	gone.gone = 3
	many.gateways = 300
	return map[string]enginesPlay{"usual": usual, "busy": busy, "bursts": bursts, "a third slow": slow, "a third gone": gone, "300 gateways": many}
}

// TestWeighedChoices gives the figures of docs/design/even-load.md.
func TestWeighedChoices(t *testing.T) {
	if os.Getenv("GYPSUMBANK_WEIGH") == "" {
		t.Skip("set GYPSUMBANK_WEIGH to compare ways to choose")
	}
	for name, play := range evenLoadPlays(30 * time.Second) {
		for way, choose := range weighedChoices() {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				t.Logf("%s, %s: %s", name, way, play.run(choose))
			})
		}
		t.Run(name+"/d least cost in a subset", func(t *testing.T) {
			t.Parallel()
			subsets := play
			subsets.subsets = true
			t.Logf("%s, d least cost in a subset: %s", name, subsets.run(spread.Choose))
		})
	}
}

// TestLoadIsEvenWithStaleKnowledge guards against gateways that choose the same engine at the same time, as they have the same reports of
// up to 300 ms ago: busiest over mean load at most 1.3 among 30 gateways at the usual load, at twice it and in bursts. It must cost no
// prefix of a prompt that an engine has cached, and open fewer connections than the least cost.
func TestLoadIsEvenWithStaleKnowledge(t *testing.T) {
	t.Parallel()
	const (
		maxBusiest = 1.3
		maxRefused = 0.01
		// Of the 6,300 tokens that prompts share, three quarters must come from a cache, the first use of each prompt at an engine included.
		maxPrefilled = 2890 + 6300.0/4
	)
	for _, name := range []string{"usual", "busy", "bursts"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := evenLoadPlays(20 * time.Second)[name]
			least, even := play.run(nil), play.run(spread.Choose)
			t.Logf("least cost: %s", least)
			t.Logf("even:       %s", even)
			if even.busiest > maxBusiest || even.refused > maxRefused {
				t.Errorf("busiest engine has %.2f times the mean, %.4f of the requests are refused; want at most %.2f and %.2f", even.busiest, even.refused, maxBusiest, maxRefused)
			}
			if even.prefilled > maxPrefilled {
				t.Errorf("%.0f tokens are prefilled for a long prompt, want at most %.0f: its own part and a quarter of the shared ones", even.prefilled, maxPrefilled)
			}
			if even.opened >= least.opened {
				t.Errorf("%.2f connections are opened for a request, %.2f with the least cost", even.opened, least.opened)
			}
		})
	}
}

// TestLoadIsEvenWithinClasses guards against engines that are overrun among the holders for one class of prompts: busiest over mean load
// within each class at most 1.3 where all engines hold the same models. Where models have few holders, the division must have no more
// requests late or refused, and no more tokens prefilled for a long prompt.
func TestLoadIsEvenWithinClasses(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"usual", "busy", "bursts"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := evenLoadPlays(20 * time.Second)[name]
			same := play
			same.engines, same.holders, same.divided = 20, []int{20, 20, 20}, true
			if result := same.run(spread.Choose); result.uneven > 1.3 || result.refused > 0 {
				t.Errorf("same models: %s; want no engine with 1.3 times the load of the others of its class", result)
			}
			before := play.run(spread.Choose)
			play.divided = true
			after := play.run(spread.Choose)
			t.Logf("undivided: %s", before)
			t.Logf("divided:   %s", after)
			if after.late > max(before.late, 0.005) || after.refused > 0 || after.prefilled > 1.02*before.prefilled {
				t.Errorf("divided: %s; undivided: %s", after, before)
			}
		})
	}
}

// TestFewGatewaysChooseTheLeastCost guards deployments with few gateways against a choice other than the one they had.
func TestFewGatewaysChooseTheLeastCost(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{1, 4, manyGateways - 1} {
		f := newTestFleet([]string{"hot"}, []string{"hot"}, []string{"hot"})
		observation := newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
		observation.Watchers = gateways
		f.Observe("e0", observation, start)
		f.chooseAmong = func([]spread.Candidate, float64) int {
			t.Errorf("the choice of one of %d gateways was drawn", gateways)
			return 0
		}
		if choice := mustChoose(t, f, shortRequest("hot")); choice.Rank != 0 {
			t.Errorf("chose rank %d, want the least cost", choice.Rank)
		}
	}
}

// TestChoicesRepeatUnderASeed guards against choices that depend on anything but what is known and the seed.
func TestChoicesRepeatUnderASeed(t *testing.T) {
	t.Parallel()
	sequence := func(seed uint64) (ids []string) {
		f := newTestFleet([]string{"hot"}, []string{"hot"}, []string{"hot"})
		observation := newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}})
		observation.Watchers, observation.Requests = 30, 20
		for i := range 3 {
			f.Observe(fmt.Sprint("e", i), observation, start)
		}
		f.Seed(seed)
		for range 30 {
			choice, _ := f.Choose(Query{Service: service, Request: shortRequest("hot")}, start.Add(200*time.Millisecond))
			ids = append(ids, choice.Target.ID)
		}
		return ids
	}
	if first, again := sequence(1), sequence(1); !slices.Equal(first, again) {
		t.Errorf("the same seed chose %v and %v", first, again)
	}
	if slices.Equal(sequence(1), sequence(2)) {
		t.Error("two seeds chose the same targets")
	}
}

// TestPlainTargetsAreNotOverrunInTurns plays 29 gateways before the 3 replicas of a plain service, one of which is alone in its zone and
// none in the third: 82 requests a second with 30 ms of work. A replica with more requests than its 6 slots refuses.
func TestPlainTargetsAreNotOverrunInTurns(t *testing.T) {
	t.Parallel()
	const (
		gateways = 29
		perS     = 82
		work     = 30 * time.Millisecond
		played   = 30 * time.Second
	)
	play := func(watchers int) (busiest, refused, meanMs float64) {
		random := rand.New(rand.NewPCG(3, 4))
		now := start
		var fleets []*Fleet
		for g := range gateways {
			f := newTestFleet([]string{"hot"})
			observation := newObservation(registry.Report{Born: 1})
			observation.Watchers = watchers
			f.Observe("e0", observation, start)
			f.zone = string(rune('a' + g%3))
			services := map[string]route.Service{"plain": {Name: "plain"}}
			f.SetServices(services)
			f.UpdateTargets([]registry.Target{
				{ID: "e0", Born: 1, Service: service, Address: "10.0.0.1:80"},
				{ID: "p0", Service: "plain", AvailabilityZone: "a", Address: "10.0.1.1:80", Slots: 6},
				{ID: "p1", Service: "plain", AvailabilityZone: "a", Address: "10.0.1.2:80", Slots: 6},
				{ID: "p2", Service: "plain", AvailabilityZone: "b", Address: "10.0.1.3:80", Slots: 6},
			}, false, start)
			f.Seed(uint64(g))
			fleets = append(fleets, f)
		}
		type run struct {
			a    *Assignment
			id   string
			ends time.Time
		}
		var running []run
		count, total, refusals, tookMs := map[string]int{}, 0, 0, 0.0
		present := map[string]int{}
		for now.Before(start.Add(played)) {
			now = now.Add(time.Millisecond)
			running = slices.DeleteFunc(running, func(r run) bool {
				if now.Before(r.ends) {
					return false
				}
				present[r.id]--
				r.a.Start(now)
				r.a.End(Served, now)
				return true
			})
			for range poisson(random, perS/1000.0) {
				g := random.IntN(gateways)
				total++
				req := &request.Request{ID: "r"}
				choice, _ := fleets[g].Choose(Query{Service: "plain", Request: req, AtMostOnce: true}, now)
				a := fleets[g].Assign(choice, req, now)
				if present[choice.Target.ID] >= 6 {
					refusals++
					a.End(Refused, now)
					continue
				}
				took := work
				if choice.Target.AvailabilityZone != fleets[g].zone {
					took += 7 * time.Millisecond
				}
				tookMs += float64(took) / float64(time.Millisecond)
				present[choice.Target.ID]++
				count[choice.Target.ID]++
				running = append(running, run{a: a, id: choice.Target.ID, ends: now.Add(took)})
			}
		}
		most := 0
		for _, n := range count {
			most = max(most, n)
		}
		return float64(most) * 3 / float64(total), float64(refusals) / float64(total), tookMs / float64(total)
	}
	leastBusiest, leastRefused, leastMs := play(manyGateways - 1)
	busiest, refused, meanMs := play(gateways)
	t.Logf("least cost: busiest %.2f of the mean, refused %.4f, mean %.1f ms; even: %.2f, %.4f, %.1f ms", leastBusiest, leastRefused, leastMs, busiest, refused, meanMs)
	if busiest > 1.3 || refused > 0.01 {
		t.Errorf("busiest replica has %.2f times the mean and %.4f of the requests are refused, want at most 1.3 and 0.01", busiest, refused)
	}
}

package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/tally"
)

// Times of the plays of faults: a fault begins once gateways and engines are at their usual load.
const (
	faultBegin    = 6 * time.Second
	failureTime   = 25 * time.Millisecond // until a request has failed
	reportTransit = 10 * time.Millisecond // of a heartbeat that a gateway sends at the end of a request
)

// faultPlay is a fault of some engines at the usual load of the first deployment of docs/hard-load.md: 30 gateways and 52 engines in three
// zones, 48 models with 2 to 20 holders each. Requests are not sent again.
type faultPlay struct {
	name     string
	rate     float64 // requests a second at each engine
	duration time.Duration
	after    time.Duration // played after the fault
	slow     float64       // factor by which the affected engines are slower during the fault; 1 for as fast
	isFaulty func(engine int) bool
	fails    func(engine, gateway int) float64 // share of requests that fail during the fault
	seed     uint64
	// uncounted tells that gateways without the reports of others take failures for answers, as they did with requests that must not be sent again.
	uncounted bool
}

// faultFigures are the results of a faultPlay.
type faultFigures struct {
	requests, failed int
	during           int           // requests at the faulty engines during the fault
	meanFirstByteMs  float64       // of requests that arrived during the fault
	late             int           // requests whose first byte took more than 800 ms
	soundShare       float64       // requests of gateways without a fault at the faulty engines during the fault, over those in the same time before
	usedAgain        time.Duration // mean time after the fault until a faulty engine has half of its earlier requests within a second
	usedAgainLatest  time.Duration
	busiest          float64 // requests at the busiest sound engine during the fault, averaged over time, over the mean of the sound ones
}

func (r faultFigures) String() string {
	return fmt.Sprintf("%d requests, %d failed, %d late, %d at faulty engines during the fault (%.2f of the usual number from gateways without a fault), first byte %.0f ms, busiest sound engine %.2f, used again after %.1f s, the latest after %.1f s",
		r.requests, r.failed, r.late, r.during, r.soundShare, r.meanFirstByteMs, r.busiest, r.usedAgain.Seconds(), r.usedAgainLatest.Seconds())
}

// pendingReport is a gateway's report on its way to an agent.
type pendingReport struct {
	at     time.Time
	engine int
	from   int
	run    tally.Run
	report tally.Report
}

// pendingFailure is a request that is about to fail.
type pendingFailure struct {
	at         time.Time
	assignment *Assignment
	engine     int
	gateway    int
}

// run plays the fault. Agents tell what others have seen if shared is set.
func (p faultPlay) run(shared bool) faultFigures {
	const gateways, engineCount = 30, 52
	random := rand.New(rand.NewPCG(11, p.seed))
	now := start
	holders := append([]int{20, 14, 10, 8, 6, 5}, slices.Repeat([]int{2, 2, 2, 2, 2, 3}, 7)...)
	var targets []registry.Target
	var engines []*playedEngine
	var tallies []*tally.Tally
	for i := range engineCount {
		engines = append(engines, &playedEngine{id: i, slow: 1, cache: newPromptCache(playedKV), present: map[int]int{}})
		targets = append(targets, registry.Target{
			ID: fmt.Sprint("e", i), Born: 1, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), AvailabilityZone: string(rune('a' + i%3)), Slots: playedSlots,
		})
		t := tally.New()
		t.Begin(tally.Run{TargetID: targets[i].ID, Born: 1})
		tallies = append(tallies, t)
	}
	models := map[string]route.Model{}
	next := 0
	for m, n := range holders {
		name := fmt.Sprint("m", m)
		models[name] = modelSpec(name)
		for range n {
			t := &targets[next%engineCount]
			t.Models = append(t.Models, registry.Model{Name: name})
			next++
		}
	}
	fleets := make([]*Fleet, gateways)
	for g := range fleets {
		f := New(string(rune('a' + g%3)))
		f.SetServices(map[string]route.Service{service: {Name: service, Engine: &route.Engine{Models: models, WeightMemoryMB: 230, AdapterSlots: 2, Slots: playedSlots}}})
		f.UpdateTargets(targets, false, now)
		f.Seed(uint64(g))
		fleets[g] = f
	}
	var reports []pendingReport
	var failures []pendingFailure
	type state struct {
		playedReport
		others []tally.Estimate // by gateway
	}
	states := make([][]state, engineCount)
	figures := faultFigures{}
	faultEnd := faultBegin + p.duration
	at := func() time.Duration { return now.Sub(start) }
	inFault := func() bool { return at() >= faultBegin && at() < faultEnd }
	perSecond := make([]map[int]int, engineCount) // requests by 100 ms
	for i := range perSecond {
		perSecond[i] = map[int]int{}
	}
	soundBefore, soundDuring := 0, 0
	firstBytes, firstByteMs := 0, 0.0
	report := func(engine, gateway int) {
		f := fleets[gateway]
		taken := f.TakeLoadReport(func(t registry.Target) bool { return t.ID == targets[engine].ID })
		reports = append(reports, pendingReport{at: now.Add(reportTransit), engine: engine, from: gateway, run: taken.Run, report: taken.Answers})
	}
	end := func(e *playedEngine, run *playedRun) {
		run.assignment.End(Served, now)
		report(e.id, run.gateway)
	}
	arrive := func(m int) {
		g := random.IntN(gateways)
		req := shortRequest(fmt.Sprint("m", m))
		req.PromptTokens, req.MaxOutputTokens, req.LengthHint = 826, 400, 290
		req.Parts = []request.Part{{ID: fmt.Sprint("chat", random.IntN(20)), Tokens: 400}, {ID: fmt.Sprint(random.Uint64()), Tokens: 426}}
		run := &playedRun{gateway: g, arrived: now, output: 290}
		if random.Float64() < 0.515 {
			req.PromptTokens, req.MaxOutputTokens, req.LengthHint = 9190, 60, 50
			req.Parts = []request.Part{{ID: "all", Tokens: 2500}, {ID: fmt.Sprint("s", random.IntN(6)), Tokens: 3800}, {ID: fmt.Sprint(random.Uint64()), Tokens: 2890}}
			run.output = 50
		}
		run.kv = req.PromptTokens + run.output
		fails := random.Float64()
		choice, ok := fleets[g].Choose(Query{Service: service, Request: req, AtMostOnce: true}, now)
		if !ok {
			return
		}
		figures.requests++
		i := slices.IndexFunc(targets, func(t registry.Target) bool { return t.ID == choice.Target.ID })
		e := engines[i]
		run.assignment = fleets[g].Assign(choice, req, now)
		perSecond[i][int(at()/(100*time.Millisecond))]++
		if p.isFaulty(i) {
			sound := p.fails == nil || p.fails(i, g) == 0
			switch {
			case inFault():
				figures.during++
				if sound {
					soundDuring++
				}
			case at() >= faultBegin-p.duration && at() < faultBegin && sound:
				soundBefore++
			}
			if p.fails != nil && inFault() && fails < p.fails(i, g) {
				figures.failed++
				failures = append(failures, pendingFailure{at: now.Add(failureTime), assignment: run.assignment, engine: i, gateway: g})
				return
			}
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
		e.queue = append(e.queue, run)
	}
	for n := 0; at() < faultEnd+p.after; n++ {
		now = now.Add(playStep)
		for m, count := range holders {
			for range poisson(random, p.rate*engineCount*float64(count)/float64(next)*playStep.Seconds()) {
				arrive(m)
			}
		}
		failures = slices.DeleteFunc(failures, func(failure pendingFailure) bool {
			if now.Before(failure.at) {
				return false
			}
			failure.assignment.Start(now)
			result := ServerError
			if p.uncounted && !shared {
				result = Served
			}
			failure.assignment.End(result, now)
			report(failure.engine, failure.gateway)
			return true
		})
		reports = slices.DeleteFunc(reports, func(r pendingReport) bool {
			if now.Before(r.at) {
				return false
			}
			tallies[r.engine].Add(fmt.Sprint("g", r.from), fleets[r.from].zone, r.run, r.report, now)
			return true
		})
		for i, e := range engines {
			e.slow = 1
			if p.isFaulty(i) && inFault() && p.slow > 0 {
				e.slow = p.slow
			}
			e.advance(now, end)
			if at() >= faultBegin && at() < faultEnd+3*time.Second && !p.isFaulty(i) {
				e.loadTime += float64(len(e.queue)+len(e.running)) * playStep.Seconds()
			}
			if (n+i)%int(playedReports/playStep) == 0 {
				next := state{playedReport: e.report(now, targets[i], gateways), others: make([]tally.Estimate, gateways)}
				for g, f := range fleets {
					if shared {
						next.others[g] = tallies[i].Others(fmt.Sprint("g", g), f.zone, now)
					}
				}
				states[i] = append(states[i], next)
			}
			if len(states[i]) > 0 && now.Sub(states[i][0].at) >= playedReportDelay {
				for g, f := range fleets {
					f.states[targets[i].ID].reportedInflight = e.present[g]
					observation := states[i][0].observation
					observation.Others = states[i][0].others[g]
					f.Observe(targets[i].ID, observation, now)
				}
				states[i] = states[i][1:]
			}
			for _, run := range e.running {
				if run.started {
					continue
				}
				run.started, run.lastEvent = true, now
				run.assignment.Start(now)
				took := now.Sub(run.arrived)
				if took > 800*time.Millisecond {
					figures.late++
				}
				if since := run.arrived.Sub(start); since >= faultBegin && since < faultEnd {
					firstBytes++
					firstByteMs += float64(took) / float64(time.Millisecond)
				}
			}
		}
	}
	figures.meanFirstByteMs = firstByteMs / max(1, float64(firstBytes))
	figures.soundShare = float64(soundDuring) / max(1, float64(soundBefore))
	sum, most, sound := 0.0, 0.0, 0.0
	faulty := 0
	for i, e := range engines {
		if !p.isFaulty(i) {
			sum, most, sound = sum+e.loadTime, max(most, e.loadTime), sound+1
			continue
		}
		faulty++
		again := p.timeUntilUsed(perSecond[i], faultEnd)
		figures.usedAgain += again
		figures.usedAgainLatest = max(figures.usedAgainLatest, again)
	}
	figures.usedAgain /= time.Duration(faulty)
	if sum > 0 {
		figures.busiest = most / (sum / sound)
	}
	return figures
}

// timeUntilUsed returns the time after the fault until an engine had half as many requests in a second as on average before the fault.
func (p faultPlay) timeUntilUsed(counts map[int]int, faultEnd time.Duration) time.Duration {
	const bucket = 100 * time.Millisecond
	before := 0
	for b := 20; b < int(faultBegin/bucket); b++ {
		before += counts[b]
	}
	half := float64(before) / (float64(int(faultBegin/bucket)-20) / 10) / 2
	for b := int(faultEnd / bucket); b < int((faultEnd+p.after)/bucket); b++ {
		inSecond := 0
		for k := b; k < b+10; k++ {
			inSecond += counts[k]
		}
		if float64(inSecond) >= half {
			return time.Duration(b)*bucket - faultEnd
		}
	}
	return p.after
}

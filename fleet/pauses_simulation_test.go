package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/turns"
)

const (
	pausesStepMs    = 5.5 // of a batch, one token of each run, and in addition a chunk of each prompt in prefill
	pausesEvent     = 5   // tokens
	pausesAllowed   = 500 * time.Millisecond
	longObjective   = 800 * time.Millisecond
	shortObjective  = 500 * time.Millisecond
	longPatience    = 4 * time.Second
	pausesMove      = 150 * time.Millisecond // after which a prompt that waits for a turn looks for another holder
	pausesMoveGain  = 100 * time.Millisecond
	pausesOwnTokens = 2890 // of a long prompt, not shared with others
	pausesSessions  = 40   // prompts that share all but their own tokens; engines have kept few of them
	pausesPrefill   = 29.0 // prompt tokens per ms
)

// pausesPlay is one load on engines that prefill prompts between the tokens of their streams. Long prompts take turns.
type pausesPlay struct {
	holders []int   // engines that hold each model; requests are in proportion
	rate    float64 // requests a second at each engine, half of them long
	burst   bool    // twice the rate for 3 s in the middle
	gone    int     // each of this many engines ends in the middle; 0 for none
	seed    uint64
}

const (
	pausesSeeds    = 3
	pausesEngines  = 18
	pausesGateways = 9
	pausesPlayed   = 24 * time.Second
)

type pausesRun struct {
	gateway    int
	id         uint64
	request    *request.Request
	arrived    time.Time
	choice     Choice
	assignment *Assignment
	excluded   map[string]bool
	endWait    func()    // set while it waits for a turn
	grantAt    time.Time // as foretold
	hasTurn    bool
	prefill    float64 // tokens left
	chunk      float64 // tokens in the current step; 0 if it began before the prompt arrived
	output     int     // tokens left
	lastEvent  time.Time
	longest    time.Duration // pause between two events
}

type pausesEngine struct {
	id      int
	gone    bool
	queue   *turns.Queue
	next    time.Time // when the queue has to decide
	waiting map[uint64]*pausesRun
	prefill []*pausesRun
	running []*pausesRun
	leftMs  float64 // of the current step
	cache   *promptCache
	parts   []PromptPart
}

// pausesSimulation plays a load.
type pausesSimulation struct {
	pausesPlay
	random  *rand.Rand
	now     time.Time
	events  map[time.Time][]func()
	targets []registry.Target
	engines []*pausesEngine
	fleets  []*Fleet
	nextID  uint64
	result  pausesResult
}

// run plays the load with or without the division of the holders.
func (p pausesPlay) run(divided bool) pausesResult {
	s := &pausesSimulation{pausesPlay: p, random: rand.New(rand.NewPCG(11, p.seed)), now: start, events: map[time.Time][]func(){}}
	models := map[string]route.Model{}
	for i := range pausesEngines {
		s.engines = append(s.engines, &pausesEngine{id: i, queue: turns.New(turns.Limit), waiting: map[uint64]*pausesRun{}, cache: newPromptCache(playedKV / 2)})
		s.targets = append(s.targets, registry.Target{
			ID: fmt.Sprint("e", i), Born: 1, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), AvailabilityZone: string(rune('a' + i%3)), Slots: playedSlots,
		})
	}
	held := 0
	for m, holders := range p.holders {
		name := fmt.Sprint("m", m)
		models[name] = modelSpec(name)
		for range holders {
			t := &s.targets[held%pausesEngines]
			t.Models = append(t.Models, registry.Model{Name: name})
			held++
		}
	}
	for g := range pausesGateways {
		f := New(string(rune('a' + g%3)))
		f.SetServices(map[string]route.Service{service: {Name: service, Engine: &route.Engine{Models: models, WeightMemoryMB: 230, AdapterSlots: 2, Slots: playedSlots}}})
		f.UpdateTargets(s.targets, false, s.now)
		f.Seed(uint64(g))
		if !divided {
			f.promptMixes[service] = undividedMix()
		}
		s.fleets = append(s.fleets, f)
	}
	for n := 0; s.now.Before(start.Add(pausesPlayed)); n++ {
		s.now = s.now.Add(time.Millisecond)
		s.step(n, held)
	}
	return s.result
}

// step plays one ms.
func (s *pausesSimulation) step(n, held int) {
	middle := start.Add(pausesPlayed / 2)
	rate := s.rate
	if s.burst && !s.now.Before(middle) && s.now.Before(middle.Add(3*time.Second)) {
		rate *= 2
	}
	for m, holders := range s.holders {
		for range poisson(s.random, rate*pausesEngines*float64(holders)/float64(held)/1000) {
			s.arrive(m)
		}
	}
	due := s.events[s.now]
	delete(s.events, s.now)
	for _, do := range due {
		do()
	}
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		if s.gone > 0 && e.id%s.gone == s.gone-1 && !s.now.Before(middle) {
			s.end(e)
			continue
		}
		s.work(e)
		if !e.next.IsZero() && !s.now.Before(e.next) {
			s.advance(e)
		}
		if n%200 == 11*e.id {
			observation := e.observe(s.targets[e.id])
			s.after(100, func() {
				for _, f := range s.fleets {
					f.Observe(s.targets[e.id].ID, observation, s.now)
				}
			})
		}
	}
}

func (s *pausesSimulation) after(ms int, do func()) {
	at := s.now.Add(time.Duration(ms) * time.Millisecond)
	s.events[at] = append(s.events[at], do)
}

// transit has something happen after the time of a message.
func (s *pausesSimulation) transit(do func()) { s.after(1+s.random.IntN(4), do) }

// arrive has a request arrive for a model.
func (s *pausesSimulation) arrive(m int) {
	req := shortRequest(fmt.Sprint("m", m))
	req.PromptTokens, req.MaxOutputTokens, req.LengthHint = 826, 400, 290
	req.Parts = []request.Part{{ID: fmt.Sprint("chat", s.random.IntN(20)), Tokens: 400}, {ID: fmt.Sprint(s.random.Uint64()), Tokens: 426}}
	output := 290
	if s.random.Float64() < 0.515 {
		req.PromptTokens, req.MaxOutputTokens, req.LengthHint = 9190, 60, 50
		req.Parts = []request.Part{{ID: "all", Tokens: 2500}, {ID: fmt.Sprint("s", s.random.IntN(pausesSessions)), Tokens: 3800}, {ID: fmt.Sprint(s.random.Uint64()), Tokens: pausesOwnTokens}}
		output = 50
		s.result.longs++
	}
	s.nextID++
	run := &pausesRun{gateway: s.random.IntN(pausesGateways), id: s.nextID, request: req, arrived: s.now, output: output, excluded: map[string]bool{}}
	s.fleets[run.gateway].RecordDemand(service, req, s.now)
	s.route(run)
}

// route chooses a target, and has a long prompt ask for its turn.
func (s *pausesSimulation) route(run *pausesRun) {
	f := s.fleets[run.gateway]
	choice, ok := f.Choose(Query{Service: service, Request: run.request, AtMostOnce: true, Exclude: run.excluded}, s.now)
	if !ok || choice.LacksModel || s.now.Sub(run.arrived) > longPatience {
		s.lose(run)
		return
	}
	s.wait(run, choice)
}

// wait has a long prompt wait for its turn at the chosen target.
func (s *pausesSimulation) wait(run *pausesRun, choice Choice) {
	run.choice = choice
	e := s.engineOf(choice)
	if !choice.NeedsTurn() || e.gone {
		s.send(run)
		return
	}
	run.endWait, run.grantAt = s.fleets[run.gateway].BeginTurnWait(choice), time.Time{}
	s.transit(func() {
		e.waiting[run.id] = run
		e.queue.Ask(turns.Owner(run.gateway), turns.Request{
			ID: run.id, GiveUp: run.arrived.Add(longPatience), Rank: turns.Rank{Priority: 1, Objective: run.arrived.Add(longObjective), Prefill: choice.PrefillTime()},
		}, s.now)
		e.next = s.now
	})
	s.after(int(pausesMove/time.Millisecond), func() { s.move(run, e) })
}

// move has a prompt that waits ask at another holder if that is clearly sooner.
func (s *pausesSimulation) move(run *pausesRun, e *pausesEngine) {
	if e.waiting[run.id] != run || run.grantAt.Sub(s.now) < pausesMoveGain {
		return
	}
	exclude := map[string]bool{run.choice.Target.ID: true}
	next, ok := s.fleets[run.gateway].Choose(Query{Service: service, Request: run.request, AtMostOnce: true, Exclude: exclude}, s.now)
	if !ok || next.LacksModel || next.Expected+next.PrefillQueue+pausesMoveGain > run.grantAt.Sub(s.now)+run.choice.PrefillTime() {
		return
	}
	delete(e.waiting, run.id)
	e.queue.End(turns.Owner(run.gateway), run.id, s.now)
	e.next = s.now
	run.endWait()
	s.nextID++
	run.id = s.nextID
	s.wait(run, next)
}

func (s *pausesSimulation) engineOf(choice Choice) *pausesEngine {
	return s.engines[slices.IndexFunc(s.targets, func(t registry.Target) bool { return t.ID == choice.Target.ID })]
}

// send sends a request to the chosen target.
func (s *pausesSimulation) send(run *pausesRun) {
	e := s.engineOf(run.choice)
	run.assignment = s.fleets[run.gateway].Assign(run.choice, run.request, s.now)
	s.transit(func() {
		if e.gone {
			run.assignment.End(Unreached, s.now)
			run.excluded[run.choice.Target.ID] = true
			s.route(run)
			return
		}
		run.prefill = float64(run.request.PromptTokens)
		for k, hash := range run.request.PrefixHashes() {
			if !e.cache.has(hash) {
				break
			}
			run.prefill -= float64(run.request.Parts[k].Tokens)
		}
		for k, hash := range run.request.PrefixHashes() {
			part := PromptPart{Hash: hash, Tokens: run.request.Parts[k].Tokens}
			e.cache.add(part)
			e.parts = append(e.parts, part)
		}
		e.prefill = append(e.prefill, run)
	})
}

// advance has the engine's agent decide on the turns.
func (s *pausesSimulation) advance(e *pausesEngine) {
	decisions, next := e.queue.Advance(s.now)
	e.next = next
	for _, d := range decisions {
		run := e.waiting[d.ID]
		if run == nil {
			continue
		}
		switch d.Kind {
		case turns.Granted:
			delete(e.waiting, d.ID)
			run.hasTurn = true
			s.transit(func() { run.endWait(); s.send(run) })
		case turns.Refused:
			delete(e.waiting, d.ID)
			run.excluded[s.targets[e.id].ID] = true
			s.transit(func() { run.endWait(); s.route(run) })
		case turns.Waiting:
			s.transit(func() { run.grantAt = s.now.Add(d.Wait) })
		case turns.Expired:
		}
	}
}

// work has the engine work for one ms.
func (s *pausesSimulation) work(e *pausesEngine) {
	for e.leftMs--; e.leftMs <= 0; {
		s.endStep(e)
		if len(e.prefill)+len(e.running) == 0 {
			e.leftMs = 0
			return
		}
		e.leftMs += pausesStepMs
		for _, run := range e.prefill {
			run.chunk = min(playedChunk, run.prefill)
			e.leftMs += run.chunk / pausesPrefill
		}
	}
}

// endStep ends a step of the engine's batch: each run has one token more, and each prompt in prefill a chunk less.
func (s *pausesSimulation) endStep(e *pausesEngine) {
	e.running = slices.DeleteFunc(e.running, func(run *pausesRun) bool {
		if run.output--; run.output%pausesEvent == 0 {
			s.emit(e, run)
		}
		return run.output == 0
	})
	e.prefill = slices.DeleteFunc(e.prefill, func(run *pausesRun) bool {
		if run.prefill -= run.chunk; run.prefill > 0 || run.chunk == 0 {
			return false
		}
		e.running = append(e.running, run)
		return true
	})
}

// emit has a run send an event to its gateway.
func (s *pausesSimulation) emit(e *pausesEngine, run *pausesRun) {
	isLong := isLongPrompt(run.request)
	switch {
	case run.lastEvent.IsZero():
		s.transit(func() {
			run.assignment.Start(s.now)
			if run.hasTurn {
				s.transit(func() { e.queue.End(turns.Owner(run.gateway), run.id, s.now); e.next = s.now })
			}
		})
		took := s.now.Sub(run.arrived)
		switch {
		case !isLong && took > shortObjective:
			s.result.lateFirst++
		case isLong && took > longObjective:
			s.result.lateLongs++
		}
		if isLong {
			s.result.longMs = append(s.result.longMs, float64(took.Milliseconds()))
		}
	default:
		run.longest = max(run.longest, s.now.Sub(run.lastEvent))
	}
	run.lastEvent = s.now
	if run.output == 0 && !isLong {
		s.result.pauses = append(s.result.pauses, run.longest)
	}
	if run.output == 0 {
		s.transit(func() { run.assignment.End(Served, s.now) })
	}
}

// lose counts a request that is not served.
func (s *pausesSimulation) lose(run *pausesRun) {
	if isLongPrompt(run.request) {
		s.result.lateLongs++
	}
}

// end ends an engine. Its streams are lost; prompts that wait there for a turn are sent elsewhere.
func (s *pausesSimulation) end(e *pausesEngine) {
	e.gone = true
	for _, run := range append(e.running, e.prefill...) {
		run.assignment.End(Failed, s.now)
	}
	for _, id := range slices.Sorted(maps.Keys(e.waiting)) {
		run := e.waiting[id]
		run.endWait()
		run.excluded[s.targets[e.id].ID] = true
		s.route(run)
	}
	clear(e.waiting)
}

// observe returns what the engine's agent reports now.
func (e *pausesEngine) observe(target registry.Target) Observation {
	report := registry.Report{Born: 1, Models: target.Models, Waiting: len(e.prefill), Running: len(e.running), KVTotal: playedKV}
	waits, granted := e.queue.Work(func(turns.Owner, time.Time) bool { return true })
	turnWaitMs := float64((waits + granted).Milliseconds())
	observation := Observation{
		Report: report, Watchers: 29, Requests: len(e.prefill) + len(e.running), TurnWaitMs: turnWaitMs, QueuedPrefillMs: turnWaitMs, Parts: e.parts,
	}
	for _, run := range e.prefill {
		observation.QueuedPrefillMs += run.prefill / pausesPrefill
	}
	for _, run := range append(e.running, e.prefill...) {
		observation.Report.KVUsed += run.request.PromptTokens + run.output
	}
	e.parts = nil
	return observation
}

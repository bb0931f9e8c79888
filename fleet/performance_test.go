package fleet

import (
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/tally"
)

// serveLongRequest empties the prompt cache of the engine with the given id, sends a long request to this engine by
// excluding the other, and completes the answer after took.
func serveLongRequest(t *testing.T, f *Fleet, id, exclude string, took time.Duration, now time.Time) {
	t.Helper()
	f.Observe(id, newObservation(f.states[id].report), now)
	f.states[id].promptCache = newPromptCache(defaultCacheTokens)
	choice, ok := f.Choose(Query{Service: service, Request: longRequest("hot", "s"), Exclude: map[string]bool{exclude: true}}, now)
	if !ok || choice.Target.ID != id {
		t.Fatalf("choice %+v, want the one engine that is not excluded", choice)
	}
	a := f.Assign(choice, longRequest("hot", "s"), now)
	a.Start(now.Add(took))
	a.End(Served, now.Add(took))
}

// TestSlownessIsMeasuredAgainstBaseline checks the slowness of a target that is four times slower than another. It
// comes out too low if times are compared with an expectation that already includes the slowness measured before.
func TestSlownessIsMeasuredAgainstBaseline(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"})
	now := start
	baseline := mustChoose(t, f, longRequest("hot", "s")).Expected
	for range 12 {
		now = now.Add(500 * time.Millisecond)
		serveLongRequest(t, f, "e0", "e1", 4*baseline, now)
		serveLongRequest(t, f, "e1", "e0", baseline, now)
	}
	if got := f.states["e0"].performance.slowness(now); got < 3.2 || got > 4.1 {
		t.Errorf("slowness %.1f of a target that is 4 times slower, want 3.2 to 4.1", got)
	}
}

// TestSlownessAndErrorRateDecay checks that both measures of a target that was slow and failed for two seconds decay
// while it gets no requests, so that it is tried again.
func TestSlownessAndErrorRateDecay(t *testing.T) {
	var p performance
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		p.addFirstByte(800, 200, now)
		p.addResult(Failed, now)
	}
	if p.slowness(now) < 3 || p.errorRate(now) < 0.7 {
		t.Errorf("slowness %.1f, error rate %.2f while the target is slow and fails, want at least 3 and 0.7", p.slowness(now), p.errorRate(now))
	}
	now = now.Add(5 * failureTimeConstant)
	if p.slowness(now) > 1.05 || p.errorRate(now) > 0.05 {
		t.Errorf("slowness %.1f, error rate %.2f long after, want at most 1.05 and 0.05", p.slowness(now), p.errorRate(now))
	}
}

// TestErrorRate checks the error rate of a target after a series of results.
func TestErrorRate(t *testing.T) {
	tests := map[string]struct {
		results []Result
		minRate float64
		maxRate float64
	}{
		"no results":     {nil, 0, 0},
		"one failure":    {[]Result{Failed}, 0.1, 0.3},
		"refusals":       {[]Result{Refused, Refused, Unreached, Abandoned}, 0, 0},
		"half fail":      {[]Result{Failed, Served, Failed, Served, Failed, Served}, 0.2, 0.5},
		"eight failures": {[]Result{Failed, Failed, Failed, Failed, Failed, Failed, Failed, Failed}, 0.5, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p performance
			for _, result := range test.results {
				p.addResult(result, start)
			}
			if got := p.errorRate(start); got < test.minRate || got > test.maxRate {
				t.Errorf("error rate %.2f, want %.2f to %.2f", got, test.minRate, test.maxRate)
			}
		})
	}
}

// observeOthers has the agent of e0 tell what the other gateways' answers show.
func observeOthers(f *Fleet, gateways int, now time.Time) {
	observation := newObservation(f.states["e0"].report)
	observation.Watchers, observation.Others = gateways, tally.Estimate{ErrorRate: 0.4, Slowness: 3}
	f.Observe("e0", observation, now)
}

// TestAnswersToOthersCountAmongManyGateways guards against an engine that each gateway has to try by itself, against one that is left for what
// its agent has not confirmed for reportLifetime, and against deployments with few gateways that choose otherwise than before.
func TestAnswersToOthersCountAmongManyGateways(t *testing.T) {
	tests := map[string]struct {
		gateways      int
		age           time.Duration
		wantErrorRate float64
		wantSlowness  float64
	}{
		"many gateways":               {manyGateways, 0, 0.4, 3},
		"few gateways":                {manyGateways - 1, 0, 0, 1},
		"many gateways, agent silent": {manyGateways, reportLifetime, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet([]string{"hot"}, []string{"hot"})
			observeOthers(f, test.gateways, start)
			p := f.states["e0"].performance
			if rate, slowness := p.errorRate(start.Add(test.age)), p.slowness(start.Add(test.age)); rate != test.wantErrorRate || slowness != test.wantSlowness {
				t.Errorf("error rate %.2f, slowness %.1f, want %.2f and %.1f", rate, slowness, test.wantErrorRate, test.wantSlowness)
			}
		})
	}
}

// TestServerErrorsOfEnginesCountAmongManyGateways guards against an engine that answers with errors and is never avoided, as its requests must
// not be sent again, and against deployments with few gateways that choose otherwise than before.
func TestServerErrorsOfEnginesCountAmongManyGateways(t *testing.T) {
	tests := map[string]struct {
		gateways, status int
		wantFailed       bool
	}{
		"many gateways, error":       {manyGateways, 500, true},
		"many gateways, unavailable": {manyGateways, 503, true},
		"many gateways, bad request": {manyGateways, 400, false},
		"few gateways, error":        {manyGateways - 1, 500, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet([]string{"hot"})
			observation := newObservation(f.states["e0"].report)
			observation.Watchers = test.gateways
			f.Observe("e0", observation, start)
			a := f.Assign(mustChoose(t, f, shortRequest("hot")), shortRequest("hot"), start)
			a.Start(start)
			a.EndComplete(test.status, start)
			if rate := f.states["e0"].performance.errorRate(start); (rate > 0) != test.wantFailed {
				t.Errorf("error rate %.2f", rate)
			}
		})
	}
}

// TestOwnFailuresAreNotHidden guards against a gateway with a bad link to an engine which goes on to use it as the others are served.
func TestOwnFailuresAreNotHidden(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"})
	p := &f.states["e0"].performance
	for range 5 {
		p.addResult(Failed, start)
	}
	alone := p.errorRate(start)
	observation := newObservation(registry.Report{Born: 1})
	observation.Watchers = manyGateways
	f.Observe("e0", observation, start)
	if got := p.errorRate(start); got != alone {
		t.Errorf("error rate %.2f, want %.2f as by this gateway's own answers", got, alone)
	}
}

// TestOnlyAnswersOfTheTargetAreReported guards against reports that count what is no fault of the target, as requests that callers have
// cancelled, and against answers that are reported twice, with few gateways or of an earlier run.
func TestOnlyAnswersOfTheTargetAreReported(t *testing.T) {
	f := newTestFleet([]string{"hot"})
	take := func() LoadReport { return f.TakeLoadReport(func(registry.Target) bool { return true }) }
	serve := func(started bool, result Result) {
		a := f.Assign(mustChoose(t, f, shortRequest("hot")), shortRequest("hot"), start)
		if started {
			a.Start(start.Add(50 * time.Millisecond))
		}
		a.End(result, start.Add(time.Second))
	}
	serve(true, Failed)
	if got := take(); !got.Answers.IsEmpty() {
		t.Errorf("with few gateways reported %+v", got.Answers)
	}
	observeOthers(f, manyGateways, start)
	for _, result := range []Result{Abandoned, Refused, Misdirected, Unreached} {
		serve(false, result)
	}
	if got := take(); !got.Answers.IsEmpty() {
		t.Errorf("without answers reported %+v", got.Answers)
	}
	serve(true, Served)
	serve(false, Failed)
	got := take()
	if got.Run != (tally.Run{TargetID: "e0", Born: 1}) || got.Answers.Served != 1 || got.Answers.Failed != 1 || got.Answers.TookMs != 50 || got.Answers.ExpectedMs <= 0 {
		t.Errorf("reported %+v of %+v, want one answer that was served after 50 ms and one that failed", got.Answers, got.Run)
	}
	if got := take(); !got.Answers.IsEmpty() {
		t.Errorf("reported %+v a second time", got.Answers)
	}
	a := f.Assign(mustChoose(t, f, shortRequest("hot")), shortRequest("hot"), start)
	f.Observe("e0", newObservation(registry.Report{Born: 2}), start)
	observeOthers(f, manyGateways, start)
	a.End(Failed, start)
	if got := take(); !got.Answers.IsEmpty() {
		t.Errorf("reported %+v of an earlier run", got.Answers)
	}
}

package fleet

import (
	"testing"
	"time"
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

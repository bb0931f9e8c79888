package fleet

import (
	"testing"
	"time"
)

// answer has an engine, the only one but for the excluded, answer a long prompt of which it keeps nothing within a time.
func answer(t *testing.T, f *Fleet, id, exclude string, took time.Duration, now time.Time) {
	t.Helper()
	f.Observe(id, observation(f.states[id].report), now)
	f.states[id].kept = newParts(usualMemory)
	choice, ok := f.Choose(Query{Service: service, Request: draft("hot", "s"), Exclude: map[string]bool{exclude: true}}, now)
	if !ok || choice.Target.ID != id {
		t.Fatalf("no choice: %+v", choice)
	}
	a := f.Assign(choice, draft("hot", "s"), now)
	a.Start(now.Add(took))
	a.End(Served, now.Add(took))
}

// TestSlowTargetIsSlowInFull names its load: a target that turned four times slower than its like answers some requests.
// The measurement must not be taken against an expectation that already includes what was measured before.
func TestSlowTargetIsSlowInFull(t *testing.T) {
	f := engines([]string{"hot"}, []string{"hot"})
	now := start
	usual := choose(t, f, draft("hot", "s")).Expected
	for range 12 {
		now = now.Add(500 * time.Millisecond)
		answer(t, f, "e0", "e1", 4*usual, now)
		answer(t, f, "e1", "e0", usual, now)
	}
	if got := f.states["e0"].performance.slowness(now); got < 3.2 || got > 4.1 {
		t.Errorf("a target that is 4 times slower counts as %.1f times slower", got)
	}
}

// TestTargetsAreTriedAgain names its load: a target was slow and failed for some seconds and has recovered since.
func TestTargetsAreTriedAgain(t *testing.T) {
	var e performance
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		e.began(800, 200, now)
		e.ended(Failed, now)
	}
	if e.slowness(now) < 3 || e.errorRate(now) < 0.7 {
		t.Errorf("slowness %.1f, error rate %.2f while it lasts", e.slowness(now), e.errorRate(now))
	}
	now = now.Add(5 * failureMemory)
	if e.slowness(now) > 1.05 || e.errorRate(now) > 0.05 {
		t.Errorf("slowness %.1f, error rate %.2f long after", e.slowness(now), e.errorRate(now))
	}
}

// TestFailedAnswersCountInFull names its load: a target fails each request that it is sent.
func TestFailedAnswersCountInFull(t *testing.T) {
	tests := map[string]struct {
		results []Result
		least   float64
		most    float64
	}{
		"no answer":       {nil, 0, 0},
		"one failure":     {[]Result{Failed}, 0.1, 0.3},
		"refusals":        {[]Result{Refused, Refused, Unreached, Abandoned}, 0, 0},
		"half of them":    {[]Result{Failed, Served, Failed, Served, Failed, Served}, 0.2, 0.5},
		"all of a series": {[]Result{Failed, Failed, Failed, Failed, Failed, Failed, Failed, Failed}, 0.5, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var e performance
			for _, result := range test.results {
				e.ended(result, start)
			}
			if got := e.errorRate(start); got < test.least || got > test.most {
				t.Errorf("error rate %.2f, want %.2f to %.2f", got, test.least, test.most)
			}
		})
	}
}

package agent

import (
	"testing"
	"time"
)

// TestEngineThatWantsARestIsNotCalled guards against reports, health checks and orders to an engine that has refused one with the time
// for which it wants no calls. It is asked again after that.
func TestEngineThatWantsARestIsNotCalled(t *testing.T) {
	const (
		rest     = 1200 * time.Millisecond
		reaction = 500 * time.Millisecond // after a refusal, from which on allowed calls may still come
		allowed  = 2
	)
	_, _, engine, _ := startTestAgent(t)
	time.Sleep(time.Second)
	began := time.Now()
	engine.SetRest(rest)
	time.Sleep(3 * rest)
	engine.SetRest(0)
	ended := time.Now()
	time.Sleep(rest + time.Second)
	calls := engine.ControlCalls()
	refusals, after := 0, 0
	for i, refused := range calls {
		switch {
		case refused.After(ended):
			after++
		case refused.After(began):
			refusals++
			late := 0
			for _, at := range calls[i+1:] {
				if since := at.Sub(refused); since > reaction && since < rest {
					late++
				}
			}
			if late > allowed {
				t.Errorf("%d calls within the rest of %s", late, rest)
			}
		}
	}
	if refusals == 0 || after < 5 {
		t.Errorf("%d refusals, %d calls after the rests, want some and at least 5", refusals, after)
	}
}

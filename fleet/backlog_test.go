package fleet

import (
	"testing"
	"time"

	"gypsumbank/registry"
)

// TestStreamsAvoidTargetsThatRead has long prompts of other gateways wait at one holder most of the time, but not at the
// moment of the choice. A request with a short prompt must go to the other holder, as pauses of its stream are likely there;
// two seconds after the last long prompt both are used again.
func TestStreamsAvoidTargetsThatRead(t *testing.T) {
	f := newTestFleet([]string{"hot"}, []string{"hot"})
	now := start
	observe := func(id string, queuedMs float64) {
		observation := newObservation(registry.Report{Born: 1, Models: f.states[id].Models})
		observation.QueuedPrefillMs = queuedMs
		f.Observe(id, observation, now)
	}
	reader := mustChoose(t, f, shortRequest("hot")).Target.ID
	other := map[string]string{"e0": "e1", "e1": "e0"}[reader]
	for range 20 {
		f.RecordDemand(service, longRequest("hot", "s"), now)
		observe(reader, 300)
		observe(other, 0)
		now = now.Add(200 * time.Millisecond)
		observe(reader, 0)
		now = now.Add(50 * time.Millisecond)
	}
	choice, _ := f.Choose(Query{Service: service, Request: shortRequest("hot")}, now)
	if choice.Target.ID != other {
		t.Errorf("short prompt goes to %s, where long prompts have waited 200 of each 250 ms", choice.Target.ID)
	}
	for range 30 {
		now = now.Add(250 * time.Millisecond)
		observe(reader, 0)
		observe(other, 0)
	}
	choice, _ = f.Choose(Query{Service: service, Request: shortRequest("hot")}, now)
	if choice.Target.ID != reader {
		t.Errorf("short prompt goes to %s long after the last long prompt at %s", choice.Target.ID, reader)
	}
}

package agent

import (
	"testing"
	"time"

	"gypsumbank/history"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// TestReadsOfTheStoreAreNoNewerThanTheyShow guards against a read that counts as newer than what it shows, as its answer came late or told of a change that
// came before others: gateways rely on it for longer than changes may take.
func TestReadsOfTheStoreAreNoNewerThanTheyShow(t *testing.T) {
	const wait = time.Second
	began := time.Unix(1000, 0)
	tests := map[string]struct {
		took    time.Duration
		changed bool
		want    time.Duration // since began
	}{
		"no change":                 {took: 1010 * time.Millisecond, want: wait},
		"no change, late answer":    {took: 1300 * time.Millisecond, want: wait},
		"no change, at once":        {took: 10 * time.Millisecond, want: 0},
		"a change":                  {took: 400 * time.Millisecond, changed: true, want: 0},
		"a change at the very last": {took: 1020 * time.Millisecond, changed: true, want: 0},
		"process stood still":       {took: 9 * time.Second, want: wait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := pollAsOf(began, wait, began.Add(test.took), test.changed).Sub(began); got != test.want {
				t.Errorf("read shows the routes as of %s after its begin, want %s", got, test.want)
			}
		})
	}
}

// TestToldAgesAreThoseOfTheReads guards against ages below those of the reads, by which gateways rely on an agent for longer than its reads show.
func TestToldAgesAreThoseOfTheReads(t *testing.T) {
	w, clock := newTestWatchers()
	gateway := w.add()
	w.setRoutesVersion(3, w.now().Add(-400*time.Millisecond))
	w.setTargets([]registry.Target{{ID: "a"}}, history.New(1, 1, 1), w.now().Add(-50*time.Millisecond))
	w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g1", HasDemand: true, SentMs: 700})
	clock.advance(300 * time.Millisecond)
	w.publish(&wire.TargetState{TargetId: "t"})
	reads := received(w, gateway).GetStoreReads()
	if reads.GetRoutesAgeMs() != 700 || reads.GetTargetsAgeMs() != 350 || reads.GetAgeMs() != 700 {
		t.Errorf("ages of %d, %d and %d ms, want 700 of the routes, 350 of the targets and 700 of the older", reads.GetRoutesAgeMs(), reads.GetTargetsAgeMs(), reads.GetAgeMs())
	}
	if reads.GetEchoedMs() != 700 || reads.GetEchoAgeMs() != 300 {
		t.Errorf("echo of %d ms, %d ms old; want 700, 300", reads.GetEchoedMs(), reads.GetEchoAgeMs())
	}
}

// TestAgesAndEchoAreOfOneMoment guards against a process that stands still between the two: old reads count as new as the heartbeat is known to be old.
func TestAgesAndEchoAreOfOneMoment(t *testing.T) {
	const standstill = 200 * time.Millisecond
	w, clock := newTestWatchers()
	gateway := w.add()
	w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g1", HasDemand: true, SentMs: 700})
	readAt := clock.now().Add(-50 * time.Millisecond)
	w.setRoutesVersion(3, readAt)
	w.setTargets([]registry.Target{{ID: "a"}}, history.New(1, 1, 1), readAt)
	w.now = func() time.Time {
		clock.advance(standstill)
		return clock.now()
	}
	w.mu.Lock()
	reads := w.storeReadsFor(gateway)
	w.mu.Unlock()
	for of, age := range map[string]uint32{"routes": reads.GetRoutesAgeMs(), "targets": reads.GetTargetsAgeMs()} {
		if age != reads.GetEchoAgeMs()+50 {
			t.Errorf("the read of the %s is told as %d ms old with a heartbeat that is %d ms old, 50 ms more wanted", of, age, reads.GetEchoAgeMs())
		}
	}
}

package timeline_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/timeline"
)

// TestCauseSortsBeforeEffect passes messages among processes whose wall clocks differ by up to 40 s. It checks that an
// event recorded after a message was received has a higher clock than every event that the sender recorded before it
// sent the message.
func TestCauseSortsBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rings []*timeline.Ring
		for range 3 {
			skew := time.Duration(rapid.IntRange(-20000, 20000).Draw(t, "skew ms")) * time.Millisecond
			rings = append(rings, timeline.New(64, func() time.Time { return time.Now().Add(skew) }))
		}
		latestClock := make([]uint64, len(rings))
		index := rapid.IntRange(0, len(rings)-1)
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				i := index.Draw(t, "at")
				clock := rings[i].Add(timeline.Event{Kind: timeline.RequestRouted})
				if clock <= latestClock[i] {
					t.Fatalf("event has clock %d, not above that of an earlier event, %d", clock, latestClock[i])
				}
				latestClock[i] = clock
			},
			"message": func(t *rapid.T) {
				from, to := index.Draw(t, "from"), index.Draw(t, "to")
				rings[to].Observe(rings[from].NextClock())
				latestClock[to] = max(latestClock[to], latestClock[from])
			},
		})
	})
}

// TestRing checks which events After returns and how many overwritten ones it counts.
func TestRing(t *testing.T) {
	tests := map[string]struct {
		added, after    uint64
		events, dropped int
	}{
		"no events":                             {0, 0, 0, 0},
		"no event overwritten":                  {3, 0, 3, 0},
		"only events after the sequence":        {3, 2, 1, 0},
		"oldest events overwritten":             {10, 0, 4, 6},
		"overwritten events were read before":   {10, 8, 2, 0},
		"some overwritten events were not read": {10, 3, 4, 3},
		"no event after the last":               {10, 10, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ring := timeline.New(4, time.Now)
			for range test.added {
				ring.Add(timeline.Event{Kind: timeline.RequestRouted})
			}
			events, dropped := ring.After(test.after)
			if len(events) != test.events || int(dropped) != test.dropped {
				t.Errorf("After returned %d events and counted %d as overwritten", len(events), dropped)
			}
		})
	}
}

// TestClocksFarAheadAreIgnored checks that one process whose wall clock is wrong does not move the clocks of the
// others.
func TestClocksFarAheadAreIgnored(t *testing.T) {
	ring := timeline.New(4, time.Now)
	ring.Observe(timeline.ClockOf(time.Now().Add(time.Hour)))
	if lead := time.Until(timeline.Time(ring.NextClock())); lead > time.Minute {
		t.Errorf("clock is %s ahead of the time", lead)
	}
}

// BenchmarkAdd measures the cost of recording an event.
func BenchmarkAdd(b *testing.B) {
	ring := timeline.New(0, time.Now)
	event := timeline.Event{Kind: timeline.RequestRouted, RequestID: "req-1", Target: "model-00"}
	b.ReportAllocs()
	for b.Loop() {
		ring.Add(event)
	}
}

package timeline_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/timeline"
)

// TestCauseSortsBeforeEffect passes messages among processes whose clocks differ and checks that an event which a process records after a
// message has a higher clock than every event that the sender had recorded before it.
func TestCauseSortsBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rings []*timeline.Ring
		for range 3 {
			skew := time.Duration(rapid.IntRange(-20000, 20000).Draw(t, "skew ms")) * time.Millisecond
			rings = append(rings, timeline.New(64, func() time.Time { return time.Now().Add(skew) }))
		}
		latest := make([]uint64, len(rings))
		index := rapid.IntRange(0, len(rings)-1)
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				i := index.Draw(t, "at")
				clock := rings[i].Add(timeline.Event{Kind: timeline.RequestRouted})
				if clock <= latest[i] {
					t.Fatalf("clock %d after %d", clock, latest[i])
				}
				latest[i] = clock
			},
			"message": func(t *rapid.T) {
				from, to := index.Draw(t, "from"), index.Draw(t, "to")
				rings[to].Observe(rings[from].NextClock())
				latest[to] = max(latest[to], latest[from])
			},
		})
	})
}

func TestRing(t *testing.T) {
	tests := map[string]struct {
		added, after    uint64
		events, dropped int
	}{
		"empty":              {0, 0, 0, 0},
		"all kept":           {3, 0, 3, 0},
		"only new ones":      {3, 2, 1, 0},
		"overwritten":        {10, 0, 4, 6},
		"none lost to us":    {10, 8, 2, 0},
		"some lost to us":    {10, 3, 4, 3},
		"nothing after last": {10, 10, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ring := timeline.New(4, time.Now)
			for range test.added {
				ring.Add(timeline.Event{Kind: timeline.RequestRouted})
			}
			events, dropped := ring.After(test.after)
			if len(events) != test.events || int(dropped) != test.dropped {
				t.Errorf("%d events, %d dropped", len(events), dropped)
			}
		})
	}
}

func TestClocksFarAheadAreIgnored(t *testing.T) {
	ring := timeline.New(4, time.Now)
	ring.Observe(timeline.ClockOf(time.Now().Add(time.Hour)))
	if ahead := time.Until(timeline.Time(ring.NextClock())); ahead > time.Minute {
		t.Errorf("%s ahead", ahead)
	}
}

// BenchmarkAdd measures the cost of an event.
func BenchmarkAdd(b *testing.B) {
	ring := timeline.New(0, time.Now)
	event := timeline.Event{Kind: timeline.RequestRouted, RequestID: "req-1", Target: "model-00"}
	b.ReportAllocs()
	for b.Loop() {
		ring.Add(event)
	}
}

package origin_test

import (
	"testing"
	"time"

	"gypsumbank/origin"
	"gypsumbank/registry"
)

// fakeClock is a clock that moves only when a test sets it.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// exchange sends all that from holds to another table and returns the number of messages.
func exchange(from, to *origin.Table) int {
	messages := 0
	for revision := uint64(0); ; messages++ {
		origins, next := from.Changes(revision)
		if len(origins) == 0 {
			return messages
		}
		to.Merge(origins)
		revision = next
	}
}

func TestLookup(t *testing.T) {
	clock := &fakeClock{at: time.Unix(1000, 0)}
	table, relay := origin.New(clock.now), origin.New(clock.now)
	table.Add(1, "v1")
	table.Add(2, "v2")
	clock.at = clock.at.Add(time.Second)
	table.Add(2, "v1") // the id was used again
	exchange(table, relay)
	for _, held := range []*origin.Table{table, relay} {
		for stream, want := range map[uint64]registry.SoftwareVersion{1: "v1", 2: "v1"} {
			if version, _, ok := held.Lookup(stream); !ok || version != want {
				t.Errorf("stream %d began at %q, %v; want %q", stream, version, ok, want)
			}
		}
		if _, _, ok := held.Lookup(3); ok {
			t.Error("a stream that was never recorded is known")
		}
	}
	clock.at = clock.at.Add(2 * time.Minute)
	if _, _, ok := table.Lookup(1); ok {
		t.Error("a stream is known two minutes after its begin")
	}
}

// TestTableIsBounded records more streams than the table holds. The latest must be known, and messages be short.
func TestTableIsBounded(t *testing.T) {
	const streams, bound, perMessage = 100_000, 1 << 16, 512
	clock := &fakeClock{at: time.Unix(1000, 0)}
	table, relay := origin.New(clock.now), origin.New(clock.now)
	for stream := range uint64(streams) {
		table.Add(stream, "v1")
	}
	known := 0
	for stream := range uint64(streams) {
		if _, _, ok := table.Lookup(stream); ok {
			known++
		}
	}
	if _, _, ok := table.Lookup(streams - 1); !ok || known > bound {
		t.Errorf("%d streams are known, the latest: %v; want at most %d and the latest", known, ok, bound)
	}
	if messages := exchange(table, relay); messages != (known+perMessage-1)/perMessage {
		t.Errorf("%d messages for %d streams", messages, known)
	}
}

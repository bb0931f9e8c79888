package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumbank/origin"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// fakeClock is a clock that moves only when a test sets it.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// exchange sends all that from holds to another table and returns the number of messages.
func exchange(from, to *origin.Table) int {
	messages := 0
	for streams := from.Recent(); len(streams) > 0; messages++ {
		var origins []*wire.StreamOrigins
		origins, streams = from.Encode(streams)
		to.Merge(origins)
	}
	return messages
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

// TestKeepers guards against records that are looked for where they are not kept: a process that knows one agent more, or less, than
// the one that told of a stream must find most of the records.
func TestKeepers(t *testing.T) {
	const streams, agents, copies = 2000, 40, 2
	var all []string
	for i := range agents {
		all = append(all, fmt.Sprint("10.0.0.", i, ":80"))
	}
	load := map[string]int{}
	found := 0
	for stream := range uint64(streams) {
		stream := origin.Stream(fmt.Sprint(stream))
		kept := origin.Keepers(stream, all, copies)
		if len(kept) != copies || kept[0] == kept[1] {
			t.Fatalf("keepers %v, want %d different ones", kept, copies)
		}
		for _, address := range kept {
			load[address]++
		}
		asked := origin.Keepers(stream, all[1:], copies)
		if slices.ContainsFunc(asked, func(address string) bool { return slices.Contains(kept, address) }) {
			found++
		}
	}
	if found < streams*99/100 {
		t.Errorf("%d of %d records are found by a process that knows one agent less", found, streams)
	}
	for address, n := range load {
		if mean := streams * copies / agents; n > 2*mean {
			t.Errorf("%s keeps %d records, the mean is %d", address, n, mean)
		}
	}
	if got := origin.Keepers(1, all[:1], copies); len(got) != 1 {
		t.Errorf("keepers %v of a single agent", got)
	}
}

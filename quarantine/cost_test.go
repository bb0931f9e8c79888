package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbank/quarantine"
	"gypsumbank/request"
)

// The size to design for allows a node 256 MB and 12 KB a second for control; a hundredth of the memory and a tenth of the bytes
// are for this.
const (
	maxTableBytes       = 256 << 20 / 100
	maxBytesPerSecond   = 12 << 10 / 10
	relays              = 3
	engineSlots         = 64
	crashesPerSecond    = 1 // of the engines of the whole fleet, in a run of crashes
	gatewaysOnOneEngine = 20
)

// engineRequests returns the contents of the requests of one gateway that had not begun to be answered at an engine.
func engineRequests(crash, gateway int) []request.Content {
	var contents []request.Content
	for i := range engineSlots / gatewaysOnOneEngine {
		contents = append(contents, promptRequest("sys", fmt.Sprintf("doc%d-%d-%d", crash, gateway, i), fmt.Sprint(i))...)
	}
	return contents
}

// TestFullTableIsSmall fills a table far beyond its bounds and measures the memory that it holds.
func TestFullTableIsSmall(t *testing.T) {
	clock := &fakeClock{at: time.Unix(1000, 0)}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := quarantine.New(clock.now)
	for crash := range 1000 {
		clock.advance(100 * time.Millisecond)
		var contents []request.Content
		for gateway := range 40 {
			contents = append(contents, engineRequests(crash, gateway)...)
		}
		table.Blame(uint64(crash), contents)
		table.Clear(engineRequests(crash, 3))
		table.Clear(engineRequests(crash, 41))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("a full table takes %d KB", used>>10)
	if used > maxTableBytes {
		t.Errorf("a full table takes %d bytes, want at most %d", used, maxTableBytes)
	}
	runtime.KeepAlive(table)
}

// TestNewsOfCrashesIsShort measures what a gateway sends to the relays and gets from them while engines crash one after the other
// under requests with one part.
func TestNewsOfCrashesIsShort(t *testing.T) {
	clock := &fakeClock{at: time.Unix(1000, 0)}
	gateway, relay := quarantine.New(clock.now), quarantine.New(clock.now)
	sent, received := 0, 0
	sentRevision, receivedRevision := uint64(0), uint64(0)
	const seconds = 60
	for second := range seconds {
		clock.advance(time.Second / crashesPerSecond)
		gateway.Blame(uint64(second), append(engineRequests(second, 0), promptRequest("sys", "bad", fmt.Sprint(second))...))
		message, next := gateway.Changes(sentRevision, true)
		sentRevision = next
		sent += relays * proto.Size(message)
		relay.Merge(message)
		message, receivedRevision = relay.Changes(receivedRevision, false)
		received += relays * proto.Size(message)
	}
	t.Logf("%d bytes a second sent to %d relays and %d received at a crash a second", sent/seconds, relays, received/seconds)
	if sent+received > seconds*maxBytesPerSecond {
		t.Errorf("%d bytes in %d s, want at most %d a second", sent+received, seconds, maxBytesPerSecond)
	}
}

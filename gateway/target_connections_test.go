package gateway_test

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// countedTarget is a target that counts its open connections and can tell its old id after it was replaced.
type countedTarget struct {
	*site.Target
	open atomic.Int64
}

// newCountedTarget starts a target that answers each request and counts the connections that bring one until they end.
func newCountedTarget(id string, answerTime time.Duration) *countedTarget {
	target := &countedTarget{}
	known := &sync.Map{}
	target.Target = site.NewTarget(id, func(conn net.Conn, seen *site.ReceivedRequest) bool {
		if _, ok := known.LoadOrStore(conn, true); !ok {
			target.open.Add(1)
		}
		time.Sleep(answerTime)
		return site.TextResponse(200, "ok")(conn, seen)
	})
	return target
}

// burst sends count requests at the same time and returns how many were answered with 200.
func (g *gatewayGroup) burst(count int) int {
	var served atomic.Int64
	var callers sync.WaitGroup
	for range count {
		callers.Go(func() {
			answer := g.send(func(n int) string {
				return fmt.Sprintf("GET /safe/a HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: burst-%d\r\nConnection: close\r\n\r\n", callerHost, n)
			})
			if strings.HasPrefix(answer, "HTTP/1.1 200 ") {
				served.Add(1)
			}
		})
	}
	callers.Wait()
	return int(served.Load())
}

// socketsTo returns how many TCP connections of this process lead to a port, from /proc/self/net/tcp.
func socketsTo(t *testing.T, address string) int {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	var portNumber int
	if _, err := fmt.Sscan(port, &portNumber); err != nil {
		t.Fatal(err)
	}
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const timeWait = "06" // a socket in this state has no descriptor
	count := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", portNumber)) && fields[3] != timeWait && fields[9] != "0" {
			count++
		}
	}
	return count
}

// TestConnectionsEndWithTheirTarget takes a target out of the registry, or lets it drain, while it keeps its idle connections open. The
// gateway must close them soon after it has read that, and not only when their idle time is over.
func TestConnectionsEndWithTheirTarget(t *testing.T) {
	const (
		requests = 8
		within   = 1500 * time.Millisecond // a read of the registry and the close; idle connections are kept for 4 s
	)
	tests := map[string]func(store *site.Store, target *countedTarget){
		"entry is removed": func(store *site.Store, _ *countedTarget) { store.Remove("servers", "p1") },
		"target drains": func(store *site.Store, target *countedTarget) {
			store.Put("servers", "p1", target.RegistryEntry("plain", "draining"))
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGatewayGroup(t)
			target := newCountedTarget("p1", 100*time.Millisecond)
			t.Cleanup(target.Close)
			g.store.Put("servers", "p1", target.RegistryEntry("plain", "ready"))
			g.startGateway(0)
			if served := g.burst(requests); served != requests {
				t.Fatalf("%d of %d requests were served", served, requests)
			}
			if open := socketsTo(t, target.Address()); open < requests/2 {
				t.Fatalf("%d idle connections to the target, want %d or more for this test", open, requests/2)
			}
			leave(g.store, target)
			end := time.Now().Add(within)
			for socketsTo(t, target.Address()) > 0 && time.Now().Before(end) {
				time.Sleep(10 * time.Millisecond)
			}
			if open := socketsTo(t, target.Address()); open > 0 {
				t.Errorf("%d connections to a target that has left are open", open)
			}
		})
	}
}

// resources is what a process holds.
type resources struct {
	descriptors, goroutines int
	heapBytes               uint64
}

// heldResources returns what this process holds after a garbage collection.
func heldResources(t *testing.T) resources {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	runtime.GC()
	runtime.GC() // finalizers of the first run free more
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return resources{descriptors: len(entries), goroutines: runtime.NumGoroutine(), heapBytes: memory.HeapAlloc}
}

// TestThousandReplacedTargetsLeaveNothingBehind replaces targets in waves, each of which serves requests before it leaves. What the gateway
// holds must depend on the targets that are there, and not on those that were.
func TestThousandReplacedTargetsLeaveNothingBehind(t *testing.T) {
	const (
		waveSize       = 100
		warmUpWaves    = 2 // fill what is reused, such as buffers
		waves          = 10
		burstSize      = 4 * waveSize
		moreAllowed    = 50      // descriptors and goroutines, for those of the store's and the callers' connections that come and go
		heapAllowed    = 1 << 20 // bytes, 1 KiB for each target, of which the history of the stand-in of the store takes half
		settleTime     = 8 * time.Second
		registryDelay  = time.Second // until the gateway has read the registry
		callerPatience = 20 * time.Millisecond
	)
	g := newGatewayGroup(t)
	g.startGateway(0)
	var wave []*countedTarget
	replace := func(generation int) {
		old := wave
		wave = nil
		for i := range waveSize {
			id := fmt.Sprintf("p-%d-%d", generation, i)
			target := newCountedTarget(id, callerPatience)
			wave = append(wave, target)
			g.store.Put("servers", id, target.RegistryEntry("plain", "ready"))
		}
		for i := range old {
			g.store.Remove("servers", fmt.Sprintf("p-%d-%d", generation-1, i))
		}
		time.Sleep(registryDelay)
		for _, target := range old {
			target.Close()
		}
		if served := g.burst(burstSize); served < burstSize*9/10 {
			t.Fatalf("wave %d: %d of %d requests were served", generation, served, burstSize)
		}
	}
	settle := func(enough func(resources) bool) resources {
		end := time.Now().Add(settleTime)
		now := heldResources(t)
		for !enough(now) && time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
			now = heldResources(t)
		}
		return now
	}
	retire := func(generation int) {
		for i, target := range wave {
			g.store.Remove("servers", fmt.Sprintf("p-%d-%d", generation, i))
			target.Close()
		}
		wave = nil
	}
	fresh := heldResources(t)
	for generation := range warmUpWaves {
		replace(generation)
	}
	retire(warmUpWaves - 1)
	before := settle(func(r resources) bool {
		return r.descriptors <= fresh.descriptors+moreAllowed && r.goroutines <= fresh.goroutines+moreAllowed
	})
	if before.descriptors > fresh.descriptors+moreAllowed || before.goroutines > fresh.goroutines+moreAllowed {
		t.Errorf("after %d targets %+v, %+v before the first", warmUpWaves*waveSize, before, fresh)
	}
	for generation := range waves {
		replace(warmUpWaves + generation)
	}
	retire(warmUpWaves + waves - 1)
	after := settle(func(r resources) bool {
		return r.descriptors <= fresh.descriptors+moreAllowed && r.goroutines <= fresh.goroutines+moreAllowed && r.heapBytes <= before.heapBytes+heapAllowed
	})
	t.Logf("without targets %+v, after %d %+v, after %d more %+v", fresh, warmUpWaves*waveSize, before, waves*waveSize, after)
	if after.descriptors > fresh.descriptors+moreAllowed {
		t.Errorf("%d descriptors, %d before", after.descriptors, fresh.descriptors)
	}
	if after.goroutines > fresh.goroutines+moreAllowed {
		t.Errorf("%d goroutines, %d before", after.goroutines, fresh.goroutines)
	}
	if after.heapBytes > before.heapBytes+heapAllowed {
		t.Errorf("%d bytes of heap, %d before", after.heapBytes, before.heapBytes)
	}
}

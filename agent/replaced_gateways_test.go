package agent

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"gypsumbank/dialer"
	"gypsumbank/rpcserver"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
	"gypsumbank/wire"
)

// heldResources returns the descriptors, the goroutines and, after a garbage collection, the bytes of heap of this process.
func heldResources(t *testing.T) (descriptors, goroutines int, heapBytes uint64) {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return len(entries), runtime.NumGoroutine(), memory.HeapAlloc
}

// TestThousandReplacedGatewaysLeaveNothingBehind has gateways watch an agent, report requests and streams, and leave. What the agent holds
// must depend on the gateways that are there.
func TestThousandReplacedGatewaysLeaveNothingBehind(t *testing.T) {
	const (
		waveSize    = 50
		warmUpWaves = 4
		waves       = 20
		moreAllowed = 20
		heapAllowed = 1 << 20 // bytes, 1 KiB for each gateway
		settleTime  = 5 * time.Second
	)
	store := site.NewStore()
	t.Cleanup(store.Close)
	engine := site.NewTarget("e1", site.TextResponse(200, "ok"))
	t.Cleanup(engine.Close)
	config := &settings.Config{
		Node:   settings.Node{Name: "agent-1"},
		Agent:  settings.Agent{Listen: freeAddress(t), Target: engine.Address(), Service: "engine"},
		Store:  settings.Store{Address: store.Address()},
		Bounds: settings.Bounds{LoadWindow: 5 * time.Second, LoadBurst: 1.1},
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- New(config, discardLogger()).Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	d := dialer.New(nil)
	t.Cleanup(func() { d.Close() })
	wave := func(number int) {
		for i := range waveSize {
			name := fmt.Sprintf("gateway-%d-%d", number, i)
			conn, err := d.Dial(t.Context(), config.Agent.Listen)
			for range 100 {
				if err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond) // the agent starts
				conn, err = d.Dial(t.Context(), config.Agent.Listen)
			}
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			stream, err := wire.NewDRPCAgentClient(conn).Watch(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			update := &wire.WatcherUpdate{Node: name, HasDemand: true, Uses: []*wire.ModelUse{{Model: name, Requests: 1}}, Demand: []*wire.ModelDemand{{Service: "engine", Model: name, Work: 5}}}
			if err := stream.Send(update); err != nil {
				t.Fatal(err)
			}
		}
	}
	settle := func(wantDescriptors, wantGoroutines int, wantHeap uint64) (descriptors, goroutines int, heapBytes uint64) {
		end := time.Now().Add(settleTime)
		for {
			descriptors, goroutines, heapBytes = heldResources(t)
			if (descriptors <= wantDescriptors && goroutines <= wantGoroutines && heapBytes <= wantHeap) || time.Now().After(end) {
				return descriptors, goroutines, heapBytes
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for number := range warmUpWaves {
		wave(number)
	}
	time.Sleep(time.Second)
	descriptors, goroutines, heap := heldResources(t)
	for number := range waves {
		wave(warmUpWaves + number)
	}
	descriptorsAfter, goroutinesAfter, heapAfter := settle(descriptors+moreAllowed, goroutines+moreAllowed, heap+heapAllowed)
	t.Logf("after %d gateways %d descriptors, %d goroutines, %d bytes of heap; after %d more %d, %d, %d",
		warmUpWaves*waveSize, descriptors, goroutines, heap, waves*waveSize, descriptorsAfter, goroutinesAfter, heapAfter)
	if descriptorsAfter > descriptors+moreAllowed || goroutinesAfter > goroutines+moreAllowed || heapAfter > heap+heapAllowed {
		t.Error("the agent holds more than before")
	}
}

// TestSilentConnectionsEnd has a gateway that is gone without having closed its connection, and one that goes on sending.
func TestSilentConnectionsEnd(t *testing.T) {
	t.Parallel()
	const timeout = 200 * time.Millisecond
	tests := map[string]struct {
		sends bool
	}{
		"silent": {},
		"sends":  {sends: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startSilenceServer(t, New(&settings.Config{Store: settings.Store{Address: freeAddress(t)}}, discardLogger()), timeout)
			d := dialer.New(nil)
			t.Cleanup(func() { d.Close() })
			gateway, err := d.Dial(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { gateway.Close() })
			stream, err := wire.NewDRPCAgentClient(gateway).Watch(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if err := stream.Send(&wire.WatcherUpdate{Node: "gateway-1"}); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			go func() {
				for test.sends && time.Since(began) < 4*timeout {
					_ = stream.Send(&wire.WatcherUpdate{Node: "gateway-1"})
					time.Sleep(timeout / 10)
				}
			}()
			var recvErr error
			for recvErr == nil {
				_, recvErr = stream.Recv()
			}
			took, want := time.Since(began), timeout
			if test.sends {
				want = 4 * timeout
			}
			if took < want || took > want+2*timeout {
				t.Errorf("the connection ended after %s, want some %s: %v", took, want, recvErr)
			}
		})
	}
}

// startSilenceServer starts a server of an agent that closes connections on which nothing comes for a time, and returns its address.
func startSilenceServer(t *testing.T, a *Agent, timeout time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpcserver.New(nil, discardLogger())
	server.SetSilenceTimeout(timeout)
	if err := wire.DRPCRegisterAgent(server.Mux(), &agentServer{agent: a}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// TestSilentGatewayIsForgotten has a gateway stop both to send and to read, while the agent has more to send than its buffers hold.
func TestSilentGatewayIsForgotten(t *testing.T) {
	t.Parallel()
	const (
		timeout = 300 * time.Millisecond
		within  = 3 * time.Second
	)
	a := New(&settings.Config{Store: settings.Store{Address: freeAddress(t)}}, discardLogger())
	address := startSilenceServer(t, a, timeout)
	d := dialer.New(nil)
	t.Cleanup(func() { d.Close() })
	gateway, err := d.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { gateway.Close() })
	stream, err := wire.NewDRPCAgentClient(gateway).Watch(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&wire.WatcherUpdate{Node: "gateway-1"}); err != nil {
		t.Fatal(err)
	}
	members := func() int {
		a.watchers.mu.Lock()
		defer a.watchers.mu.Unlock()
		return len(a.watchers.members)
	}
	joined := false
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		count := members()
		joined = joined || count == 1
		if joined && count == 0 {
			return
		}
		a.watchers.publish(&wire.TargetState{TargetId: "e1", InMemory: []string{strings.Repeat("x", 1<<20)}})
	}
	t.Errorf("%d gateways watch, joined: %v; want none after %s of silence", members(), joined, timeout)
}

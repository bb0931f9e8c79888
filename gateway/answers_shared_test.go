package gateway_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"gypsumbank/dialer"
	"gypsumbank/standin/site"
	"gypsumbank/wire"
)

// reportingWatcher is a gateway of another zone that watches an agent and reports answers of its engine.
type reportingWatcher struct {
	mu    sync.Mutex
	state *wire.TargetState // the last one
	most  uint32            // highest share of failures, in 100, of which it was told
}

// addReporter connects a watcher that reports failed answers with each heartbeat, if there are any.
func (g *gatewayGroup) addReporter(name, zone, address string, failed uint32) *reportingWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	conn, err := dialer.New(nil).Dial(ctx, address)
	if err != nil {
		g.t.Fatal(err)
	}
	stream, err := wire.NewDRPCAgentClient(conn).Watch(ctx)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() {
		cancel()
		conn.Close()
	})
	w := &reportingWatcher{}
	go func() {
		for {
			state, err := stream.Recv()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.state = state
			w.most = max(w.most, state.GetOthersFailedPercent())
			w.mu.Unlock()
		}
	}()
	go func() {
		for {
			w.mu.Lock()
			update := &wire.WatcherUpdate{Node: name, AvailabilityZone: zone}
			if failed > 0 && w.state.GetTargetId() != "" {
				update.Answers = &wire.Answers{TargetId: w.state.GetTargetId(), Born: w.state.GetBorn(), Failed: failed}
			}
			w.mu.Unlock()
			if stream.Send(update) != nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return w
}

// TestGatewaysTellEachOtherOfFailures guards against gateways that do not report the failures of an engine, or do not heed those that others
// report. Of two engines that both serve this gateway, one fails the requests of six others: nearly all of its requests must go to the
// other engine. Then that one fails the requests of this gateway, of which the six must be told.
func TestGatewaysTellEachOtherOfFailures(t *testing.T) {
	t.Parallel()
	g := newGatewayGroup(t)
	engines := map[string]*site.Target{}
	reporters := map[string][]*reportingWatcher{}
	for i, id := range []string{"e1", "e2"} {
		engine := site.NewTargetAt("127.0.9."+strconv.Itoa(i+1)+":0", id, site.EventStream(2, 0, 0))
		t.Cleanup(engine.Close)
		engine.Load("m1")
		g.store.Put("servers", id, engine.RegistryEntry("engine", "ready"))
		g.startAgent(id, engine)
		engines[id] = engine
	}
	g.startGateway(0)
	request := func(n int) string {
		return getRequest("/stream/a?n="+strconv.Itoa(n), "X-Gypsumbank-Model: m1", "X-Gypsumbank-Token-Usage: 100,10", "Connection: close")
	}
	for id, engine := range engines {
		for i := range 6 {
			failed := uint32(0)
			if id == "e1" {
				failed = 1
			}
			reporters[id] = append(reporters[id], g.addReporter("watcher-"+strconv.Itoa(i), "zone-"+strconv.Itoa(i%3), g.agentAddress(engine), failed))
		}
	}
	time.Sleep(2 * time.Second) // all have reported, and the gateway has been told
	before := len(engines["e1"].Requests())
	const sent = 40
	for range sent {
		g.send(request)
	}
	if got := len(engines["e1"].Requests()) - before; got > sent/10 {
		t.Errorf("%d of %d requests were sent to the engine that fails those of other gateways, want at most %d", got, sent, sent/10)
	}

	var failing site.Handler = func(conn net.Conn, received *site.ReceivedRequest) bool {
		return site.TextResponse(500, "failed")(conn, received)
	}
	engines["e2"].SetHandler(failing)
	for range 10 {
		g.send(request)
	}
	told := func() bool {
		for _, w := range reporters["e2"] {
			w.mu.Lock()
			most := w.most
			w.mu.Unlock()
			if most == 0 {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(3 * time.Second); !told() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	if !told() {
		t.Error("other gateways were not told within 3 s of the failures that this one has seen")
	}
}

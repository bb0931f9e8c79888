package gateway_test

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/dialer"
	"gypsumbank/rpcserver"
	"gypsumbank/standin/site"
	"gypsumbank/wire"
)

// longPrompt returns a request with a prompt that takes long to prefill.
func longPrompt(n int) string {
	return getRequest("/stream/a?n="+strconv.Itoa(n), "X-Gypsumbank-Model: m1", "X-Gypsumbank-Token-Usage: 9190,10", "Connection: close")
}

// prefillCounter is an engine that counts the prompts which it prefills at a time.
type prefillCounter struct {
	took      time.Duration
	now, most atomic.Int32
}

func (p *prefillCounter) handle(conn net.Conn, request *site.ReceivedRequest) bool {
	n := p.now.Add(1)
	for most := p.most.Load(); n > most && !p.most.CompareAndSwap(most, n); most = p.most.Load() {
	}
	time.Sleep(p.took)
	p.now.Add(-1)
	return site.EventStream(2, 0, 0)(conn, request)
}

// startTurnGroup starts gateways before one engine.
func startTurnGroup(t *testing.T, gateways int, took time.Duration) (*gatewayGroup, *site.Target, *prefillCounter) {
	g := newGatewayGroup(t)
	counter := &prefillCounter{took: took}
	engine := site.NewTarget("e1", counter.handle)
	t.Cleanup(engine.Close)
	engine.Load("m1")
	g.store.Put("servers", "e1", engine.RegistryEntry("engine", "ready"))
	for i := range gateways {
		g.startGateway(i)
	}
	return g, engine, counter
}

// agentAddress returns the address of the agent of an engine.
func (g *gatewayGroup) agentAddress(engine *site.Target) string {
	host, _, _ := net.SplitHostPort(engine.Address())
	return net.JoinHostPort(host, strconv.Itoa(g.agentPort))
}

// watchAs connects to an agent as a gateway with a name and sends heartbeats until the test or the returned function ends it.
func (g *gatewayGroup) watchAs(name, address string) (stream wire.DRPCAgent_WatchClient, disconnect func()) {
	ctx, cancel := context.WithCancel(context.Background())
	conn, err := dialer.New(nil).Dial(ctx, address)
	if err != nil {
		g.t.Fatal(err)
	}
	if stream, err = wire.NewDRPCAgentClient(conn).Watch(ctx); err != nil {
		g.t.Fatal(err)
	}
	var once sync.Once
	disconnect = func() {
		once.Do(func() {
			cancel()
			conn.Close()
		})
	}
	g.t.Cleanup(disconnect)
	go func() {
		for stream.Send(&wire.WatcherUpdate{Node: name}) == nil {
			time.Sleep(300 * time.Millisecond)
		}
	}()
	return stream, disconnect
}

// addWatchers connects as many gateways as turns are used with.
func (g *gatewayGroup) addWatchers(address string) {
	for i := range 6 {
		stream, _ := g.watchAs("watcher-"+strconv.Itoa(i), address)
		go func() {
			for {
				if _, err := stream.Recv(); err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond) // the agent has told the gateways their number
}

// sendAll sends requests with long prompts over all gateways at once and returns the statuses.
func (g *gatewayGroup) sendAll(n int) []string {
	statuses := make([]string, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			answer := g.send(longPrompt)
			if fields := strings.Fields(answer); len(fields) > 1 {
				statuses[i] = fields[1]
			}
		})
	}
	group.Wait()
	return statuses
}

func countStatus(statuses []string, status string) int {
	n := 0
	for _, s := range statuses {
		if s == status {
			n++
		}
	}
	return n
}

// TestLongPromptsAreSentInTurns sends long prompts through several gateways at once while processes are well, or end in the middle. While
// the agent lives, the engine must prefill one at a time, or two for the moment in which one follows another; all must be answered
// also if the agent or the gateway that has the turn is killed.
func TestLongPromptsAreSentInTurns(t *testing.T) {
	tests := map[string]struct {
		disturb func(g *gatewayGroup, address string, killAgent func())
		most    int32
	}{
		"all are well":  {disturb: func(*gatewayGroup, string, func()) {}, most: 2},
		"agent killed":  {disturb: func(_ *gatewayGroup, _ string, killAgent func()) { time.AfterFunc(100*time.Millisecond, killAgent) }, most: 5},
		"gateway lost":  {disturb: func(g *gatewayGroup, address string, _ func()) { g.holdTurn(address, true) }, most: 2},
		"gateway froze": {disturb: func(g *gatewayGroup, address string, _ func()) { g.holdTurn(address, false) }, most: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g, engine, counter := startTurnGroup(t, 2, 150*time.Millisecond)
			killAgent := g.startAgent("1", engine)
			time.Sleep(500 * time.Millisecond)
			g.addWatchers(g.agentAddress(engine))
			test.disturb(g, g.agentAddress(engine), killAgent)
			if statuses := g.sendAll(5); countStatus(statuses, "200") != 5 {
				t.Errorf("statuses %v, want all answered", statuses)
			}
			if most := counter.most.Load(); most > test.most {
				t.Errorf("%d long prompts prefilled at a time, want at most %d", most, test.most)
			}
		})
	}
}

// holdTurn has a gateway take a turn and not end it, as if it froze, or disconnect with it shortly afterwards.
func (g *gatewayGroup) holdTurn(address string, disconnects bool) {
	stream, disconnect := g.watchAs("holder", address)
	update := &wire.WatcherUpdate{Node: "holder", TurnsOnly: true, PrefillRequests: []*wire.PrefillRequest{{Id: 1, PrefillMs: 200, ObjectiveMs: 800, WaitMs: 4000}}}
	if err := stream.Send(update); err != nil {
		g.t.Fatal(err)
	}
	for {
		state, err := stream.Recv()
		if err != nil {
			g.t.Fatal(err)
		}
		if len(state.GetGrantedPrefills()) > 0 {
			break
		}
	}
	if disconnects {
		time.AfterFunc(50*time.Millisecond, disconnect)
	}
}

// silentAgent is the agent of an engine that says it grants turns and then never answers requests for one, as one that is frozen.
type silentAgent struct {
	wire.DRPCAgentUnimplementedServer
	state *wire.TargetState
	asked atomic.Int32
}

func (a *silentAgent) Watch(stream wire.DRPCAgent_WatchStream) error {
	go func() {
		for {
			update, err := stream.Recv()
			if err != nil {
				return
			}
			a.asked.Add(int32(len(update.GetPrefillRequests())))
		}
	}()
	for stream.Send(a.state) == nil {
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// TestAgentThatDoesNotAnswerIsNotWaitedFor sends long prompts to an engine whose agent grants no turns that it is asked for. They must be
// answered nearly as soon as without turns.
func TestAgentThatDoesNotAnswerIsNotWaitedFor(t *testing.T) {
	g, engine, _ := startTurnGroup(t, 1, 100*time.Millisecond)
	agent := &silentAgent{state: &wire.TargetState{TargetId: "e1", Born: engine.Run(), Models: []*wire.HeldModel{{Name: "m1"}}, Watchers: 29, KvTotal: 100000, GrantsTurns: true}}
	listener, err := net.Listen("tcp", g.agentAddress(engine))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.NewEntry(g.log.Logger)
	server := rpcserver.New(nil, log)
	if err := wire.DRPCRegisterAgent(server.Mux(), agent); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Run(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	time.Sleep(time.Second)
	began := time.Now()
	if statuses := g.sendAll(3); countStatus(statuses, "200") != 3 {
		t.Errorf("statuses %v, want all answered", statuses)
	}
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Errorf("answered after %s", took)
	}
	if agent.asked.Load() == 0 {
		t.Error("the agent was not asked for turns")
	}
}

// TestGatewayStopsWhileRequestsWaitForTurns stops a gateway whose requests wait for turns. Each must be answered or refused as not run, in
// time for its process to end.
func TestGatewayStopsWhileRequestsWaitForTurns(t *testing.T) {
	g, engine, _ := startTurnGroup(t, 1, 300*time.Millisecond)
	g.startAgent("1", engine)
	time.Sleep(500 * time.Millisecond)
	g.addWatchers(g.agentAddress(engine))
	stopped := make(chan struct{})
	time.AfterFunc(150*time.Millisecond, func() {
		defer close(stopped)
		g.stops[0]()
	})
	statuses := g.sendAll(5)
	if served, refused := countStatus(statuses, "200"), countStatus(statuses, "503"); served+refused != 5 {
		t.Errorf("statuses %v, want answers and refusals", statuses)
	}
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("the gateway has not stopped")
	}
}

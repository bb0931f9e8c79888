package gateway

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/rpcserver"
	"gypsumbank/wire"
)

// watchedAgent is an agent that sends the states that a test gives it, and keeps the heartbeats that it gets.
type watchedAgent struct {
	wire.DRPCAgentUnimplementedServer
	states chan *wire.TargetState

	mu         sync.Mutex
	heartbeats []*wire.WatcherUpdate
	streams    int // that are open
}

func (a *watchedAgent) Watch(stream wire.DRPCAgent_WatchStream) error {
	a.countStream(1)
	defer a.countStream(-1)
	go func() {
		for {
			heartbeat, err := stream.Recv()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.heartbeats = append(a.heartbeats, heartbeat)
			a.mu.Unlock()
		}
	}()
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case state := <-a.states:
			if err := stream.Send(state); err != nil {
				return err
			}
		}
	}
}

func (a *watchedAgent) countStream(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams += n
}

func (a *watchedAgent) openStreams() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.streams
}

// count returns the heartbeats that match.
func (a *watchedAgent) count(matches func(*wire.WatcherUpdate) bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, heartbeat := range a.heartbeats {
		if matches(heartbeat) {
			n++
		}
	}
	return n
}

func startWatchedAgent(t *testing.T) (*watchedAgent, string) {
	agent := &watchedAgent{states: make(chan *wire.TargetState)}
	log, _ := logtest.NewNullLogger()
	server := rpcserver.New(nil, log.WithField("test", t.Name()))
	if err := wire.DRPCRegisterAgent(server.Mux(), agent); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return agent, listener.Addr().String()
}

// eventually fails the test if a condition does not hold within some seconds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// TestCompactStatesReachTheFleet has an agent of many gateways send what its engine holds as changes, and connect again. It guards against a gateway that
// does not apply them, that keeps lists of an earlier connection, or that tells an agent too early that it understands them.
func TestCompactStatesReachTheFleet(t *testing.T) {
	t.Parallel()
	agents := newTestAgents(t)
	agent, address := startWatchedAgent(t)
	agents.fleet.UpdateTargets([]registry.Target{{ID: "e", Born: 1, Service: "s", Address: "127.0.0.1:1"}}, false, time.Now())
	agents.setAddresses(map[string]bool{address: true})
	t.Cleanup(agents.close)
	holds := func(model string) func() bool {
		return func() bool {
			return !agents.fleet.RecordDemand("s", &request.Request{ID: "r", Model: model}, time.Now())
		}
	}
	missing := func(model string) func() bool { return func() bool { return !holds(model)() } }
	keepsLists := func(u *wire.WatcherUpdate) bool { return u.GetKeepsLists() && u.GetReadsPackedParts() }

	agent.states <- &wire.TargetState{TargetId: "e", Born: 1, Watchers: 8, Models: []*wire.HeldModel{{Name: "a"}}, OnDisk: []string{"d"}}
	eventually(t, "the gateway knows model a", holds("a"))
	if n := agent.count(keepsLists); n > 0 {
		t.Errorf("%d heartbeats of 8 gateways tell that they keep lists", n)
	}
	agent.states <- &wire.TargetState{TargetId: "e", Born: 1, Watchers: 9, SameHoldings: true}
	eventually(t, "the gateway tells that it keeps lists", func() bool { return agent.count(keepsLists) > 0 })
	if !holds("a")() {
		t.Error("model a is not known after a state without lists")
	}
	agent.states <- &wire.TargetState{TargetId: "e", Born: 1, Watchers: 9, SameHoldings: true, HasOnDisk: true, AdapterChanges: []*wire.AdapterChange{{Model: "a", Added: []string{"x"}}}}
	agent.states <- &wire.TargetState{TargetId: "e", Born: 1, Watchers: 9, SameHoldings: true, HasModels: true, Models: []*wire.HeldModel{{Name: "b"}}}
	eventually(t, "the gateway knows model b", holds("b"))
	if !missing("a")() {
		t.Error("model a is still known after it was left out of a list")
	}

	agents.setAddresses(nil)
	eventually(t, "the connection ends", func() bool { return agent.openStreams() == 0 })
	agents.setAddresses(map[string]bool{address: true})
	agent.states <- &wire.TargetState{TargetId: "e", Born: 1, Watchers: 9, SameHoldings: true}
	eventually(t, "a new connection begins without lists", missing("b"))
}

// TestManyGatewaysSendDemandSeldom has an agent that reads the store see heartbeats that requests cause. Only those that are due or urgent may have the demand.
func TestManyGatewaysSendDemandSeldom(t *testing.T) {
	t.Parallel()
	agents := newTestAgents(t)
	agent, address := startWatchedAgent(t)
	agents.fleet.UpdateTargets([]registry.Target{{ID: "e", Born: 1, Service: "s", Address: "127.0.0.1:1"}}, false, time.Now())
	agents.setAddresses(map[string]bool{address: true})
	t.Cleanup(agents.close)
	state := &wire.TargetState{TargetId: "e", Born: 1, Watchers: 100}
	agent.states <- state
	eventually(t, "the gateway knows of the others", func() bool { return agents.fleet.GatewayCount() == 100 })
	agents.push(address)
	isMany := func(u *wire.WatcherUpdate) bool { return u.GetKeepsLists() }
	hasDemand := func(u *wire.WatcherUpdate) bool { return u.GetKeepsLists() && u.GetHasDemand() }
	eventually(t, "a heartbeat tells so", func() bool { return agent.count(isMany) > 0 })
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		agents.push(address)
		time.Sleep(100 * time.Millisecond)
		agent.states <- state
	}
	most := 1 + int(time.Since(began)/maxDemandInterval)
	if all, n := agent.count(isMany), agent.count(hasDemand); n < 1 || n > most || all < 10 {
		t.Errorf("%d of %d heartbeats have the demand, want 1 to %d", n, all, most)
	}
	before := agent.count(hasDemand)
	agents.PushDemand()
	eventually(t, "an urgent demand is sent", func() bool { return agent.count(hasDemand) > before })
}

// TestUrgentDemandIsSentBesideUsage has a demand become urgent while a heartbeat that a request has caused is about to be sent. It guards against an agent
// that gets the demand up to 2.5 s later, with the next that is due.
func TestUrgentDemandIsSentBesideUsage(t *testing.T) {
	t.Parallel()
	agents := newTestAgents(t)
	agent, address := startWatchedAgent(t)
	agents.fleet.UpdateTargets([]registry.Target{{ID: "e", Born: 1, Service: "s", Address: "127.0.0.1:1"}}, false, time.Now())
	agents.setAddresses(map[string]bool{address: true})
	t.Cleanup(agents.close)
	state := &wire.TargetState{TargetId: "e", Born: 1, Watchers: 100}
	agent.states <- state
	eventually(t, "the gateway knows of the others", func() bool { return agents.fleet.GatewayCount() == 100 })
	hasDemand := func(u *wire.WatcherUpdate) bool { return u.GetKeepsLists() && u.GetHasDemand() }
	eventually(t, "a heartbeat with demand is sent", func() bool {
		agents.push(address)
		return agent.count(hasDemand) > 0
	})
	const pushes, bound = 10, 500 * time.Millisecond
	late := 0
	for range pushes {
		time.Sleep(2 * usageBatchDelay)
		before := agent.count(hasDemand)
		agents.push(address)
		time.Sleep(usageBatchDelay / 3)
		agents.PushDemand()
		began := time.Now()
		for agent.count(hasDemand) == before && time.Since(began) < bound {
			time.Sleep(2 * time.Millisecond)
		}
		if agent.count(hasDemand) == before {
			late++
		}
		agent.states <- state
	}
	if late > 0 {
		t.Errorf("%d of %d urgent demands were not sent within %s", late, pushes, bound)
	}
}

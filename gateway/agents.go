package gateway

import (
	"context"
	"fmt"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"gypsumbank/dialer"
	"gypsumbank/dispatch"
	"gypsumbank/fleet"
	"gypsumbank/pause"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

const (
	// silenceTimeout is above the agents' heartbeat of 500 ms by two lost packets.
	silenceTimeout = 1500 * time.Millisecond
	reconnectPause = 300 * time.Millisecond
	// beatInterval lets an agent notice a lost gateway within a few seconds.
	beatInterval = time.Second
	// demandInterval is the same to an agent that sums the demand for the planner, while there are few gateways.
	demandInterval = 250 * time.Millisecond
	fewGateways    = 8
	// urgentPause collects the requests for missing models that arrive together.
	urgentPause = 20 * time.Millisecond
	// changePause collects changes; it is well below the time for which an agent waits for word of an adapter's use.
	changePause = 10 * time.Millisecond
	// relayCount agents are told the demand and read the store, so that the loss of one costs nothing; in deployments of
	// manyEngines one more.
	relayCount  = 2
	manyEngines = 20
)

// agents is the client of the agents beside the engines.
type agents struct {
	name    string
	port    string
	dialer  *dialer.Dialer
	fleet   *fleet.Fleet
	relayed *relayed
	log     *logrus.Entry

	mu      sync.Mutex
	watched map[string]context.CancelFunc
	relays  map[string]bool          // agents that are told the demand
	urgent  chan struct{}            // replaced and closed when the demand is to be told at once
	changes map[string]chan struct{} // by agent, filled when what this gateway has at its target has changed
	ended   sync.WaitGroup
}

func newAgents(name string, port int, d *dialer.Dialer, f *fleet.Fleet, r *relayed, log *logrus.Entry) *agents {
	return &agents{
		name: name, port: strconv.Itoa(port), dialer: d, fleet: f, relayed: r, log: log,
		watched: map[string]context.CancelFunc{}, urgent: make(chan struct{}), changes: map[string]chan struct{}{},
	}
}

// address returns the address of the agent beside the target at an address.
func (a *agents) address(target string) string {
	host := registry.Host(target)
	if host == "" {
		return ""
	}
	return net.JoinHostPort(host, a.port)
}

// follow watches the agents at the given addresses and no others.
func (a *agents) follow(addresses map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relays = chooseRelays(addresses)
	for address, stop := range a.watched {
		if !addresses[address] {
			stop()
			delete(a.watched, address)
		}
	}
	for address := range addresses {
		if _, ok := a.watched[address]; ok {
			continue
		}
		ctx, stop := context.WithCancel(context.Background())
		a.watched[address] = stop
		a.ended.Add(1)
		go func() {
			defer a.ended.Done()
			a.watch(ctx, address)
		}()
	}
}

// chooseRelays returns the agents that are told the demand, the same ones at each gateway.
func chooseRelays(addresses map[string]bool) map[string]bool {
	ranked := make([]string, 0, len(addresses))
	for address := range addresses {
		ranked = append(ranked, address)
	}
	sort.Slice(ranked, func(i, j int) bool { return xxhash.Sum64String(ranked[i]) < xxhash.Sum64String(ranked[j]) })
	relays := map[string]bool{}
	count := relayCount
	if len(ranked) > manyEngines {
		count++
	}
	for _, address := range ranked[:min(count, len(ranked))] {
		relays[address] = true
	}
	return relays
}

// TellDemand has the demand told to the agents at once.
func (a *agents) TellDemand() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.urgent)
	a.urgent = make(chan struct{})
}

// TellLoad has what this gateway has at a target told to its agent.
func (a *agents) TellLoad(of registry.Target) {
	select {
	case a.changesOf(a.address(of.Address)) <- struct{}{}:
	default:
	}
}

func (a *agents) changesOf(address string) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changes[address] == nil {
		a.changes[address] = make(chan struct{}, 1)
	}
	return a.changes[address]
}

// tell returns whether an agent is to be told the demand, and the channel that is closed when that is urgent.
func (a *agents) tell(address string) (relay bool, urgent <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.relays[address], a.urgent
}

// beat sends heartbeats, to some agents with the demand, until ctx ends or the stream breaks.
func (a *agents) beat(ctx context.Context, address string, stream wire.DRPCAgent_WatchClient) {
	changed := a.changesOf(address)
	for {
		relay, urgent := a.tell(address)
		update := &wire.WatcherUpdate{Node: a.name, HasDemand: relay, KeepsHoldings: true}
		if relay {
			for _, d := range a.fleet.Demand(time.Now()) {
				update.Demand = append(update.Demand, &wire.ModelDemand{Service: d.Service, Model: d.Model, Work: float32(d.WorkMsPerS)})
			}
		}
		share := a.fleet.TakeLoadReport(func(t registry.Target) bool { return a.address(t.Address) == address })
		update.UnreadMs = float32(share.PendingPrefillMs)
		for _, use := range share.Uses {
			update.Uses = append(update.Uses, &wire.ModelUse{Model: use.Model, Adapter: use.Name, Requests: uint32(use.Requests)})
		}
		for _, part := range share.Parts {
			update.Parts = append(update.Parts, &wire.PromptPart{Hash: part.Hash, Tokens: uint32(part.Tokens)})
		}
		if err := stream.Send(update); err != nil {
			return
		}
		interval := beatInterval
		switch {
		case !relay:
			urgent = nil
		case a.fleet.GatewayCount() <= fewGateways:
			interval = demandInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-urgent:
			_ = pause.For(ctx, urgentPause)
		case <-changed:
			_ = pause.For(ctx, changePause)
		case <-time.After(interval):
		}
	}
}

func (a *agents) close() {
	a.follow(nil)
	a.ended.Wait()
}

// watch takes over the states that an agent sends until ctx ends.
func (a *agents) watch(ctx context.Context, address string) {
	lost := false
	for ctx.Err() == nil {
		err := a.watchOnce(ctx, address, func() {
			if lost {
				a.log.WithField("agent", address).Info("agent regained")
			}
			lost = false
		})
		if !lost && ctx.Err() == nil {
			a.log.WithError(err).WithField("agent", address).Info("agent lost")
		}
		lost = true
		_ = pause.For(ctx, reconnectPause)
	}
}

func (a *agents) watchOnce(ctx context.Context, address string, received func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := a.dialer.Fresh(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	silence := time.AfterFunc(silenceTimeout, func() { conn.Close() })
	defer silence.Stop()
	stream, err := wire.NewDRPCAgentClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	beats := make(chan struct{})
	go func() {
		defer close(beats)
		a.beat(ctx, address, stream)
	}()
	defer func() {
		cancel()
		conn.Close()
		<-beats
		a.relayed.forget(address)
	}()
	var holdings *wire.TargetState // the last state that told what the target holds
	for {
		state, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(silenceTimeout)
		received()
		if state.GetSameHoldings() {
			state.Models, state.InMemory, state.OnDisk = holdings.GetModels(), holdings.GetInMemory(), holdings.GetOnDisk()
		} else {
			holdings = state
		}
		a.observe(address, state)
	}
}

func (a *agents) observe(address string, state *wire.TargetState) {
	if storeReads := state.GetStoreReads(); storeReads != nil {
		a.relayed.take(address, storeReads, time.Now())
	}
	report := registry.Report{
		Born: state.GetBorn(), Busy: state.GetBusy(), Sequence: state.GetSequence(),
		Waiting: int(state.GetWaiting()), Running: int(state.GetRunning()), KVUsed: int(state.GetKvUsed()), KVTotal: int(state.GetKvTotal()),
		Draining: state.GetDraining(), Remaining: time.Duration(state.GetRemainingMs()) * time.Millisecond,
		InMemory: state.GetInMemory(), OnDisk: state.GetOnDisk(),
	}
	for _, m := range state.GetModels() {
		report.Models = append(report.Models, registry.Model{Name: m.GetName(), Adapters: m.GetAdapters()})
	}
	a.fleet.Observe(state.GetTargetId(), fleet.Observation{
		Report: report, Host: registry.Host(address), Loading: state.GetLoading(), Watchers: int(state.GetWatchers()), PlannedHere: state.GetPlanner() == a.name,
		AvailableAdapterSlots: int(state.GetAdapterRoom()), QueuedPrefillMs: float64(state.GetUnreadMs()), Parts: partsOf(state),
	}, time.Now())
	if !state.GetHasDemand() {
		return
	}
	demand := make([]fleet.Demand, 0, len(state.GetDemand()))
	for _, d := range state.GetDemand() {
		demand = append(demand, fleet.Demand{Service: d.GetService(), Model: d.GetModel(), WorkMsPerS: float64(d.GetWork())})
	}
	a.fleet.SetTotalDemand(demand, int(state.GetWatchers()), time.Now())
}

func partsOf(state *wire.TargetState) []fleet.PromptPart {
	parts := make([]fleet.PromptPart, 0, len(state.GetParts()))
	for _, p := range state.GetParts() {
		parts = append(parts, fleet.PromptPart{Hash: p.GetHash(), Tokens: int(p.GetTokens())})
	}
	return parts
}

// Ensure has the agent beside a target make it hold a model and adapter; errors wrap dispatch.ErrNotHeld.
func (a *agents) Ensure(ctx context.Context, to registry.Target, requestID, model, adapter, evict string) error {
	address := a.address(to.Address)
	conn := a.dialer.Conn(ctx, address)
	defer conn.Close()
	reply, err := wire.NewDRPCAgentClient(conn).Ensure(ctx, &wire.EnsureRequest{RequestId: requestID, Model: model, Adapter: adapter, Evict: evict})
	if err != nil {
		a.dialer.Forget(address)
		return fmt.Errorf("%w: %w", dispatch.ErrNotHeld, err)
	}
	if reply.GetOutcome() == wire.EnsureOutcome_ENSURE_NO_BUDGET {
		return &dispatch.NoBudgetError{Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond}
	}
	if reply.GetOutcome() != wire.EnsureOutcome_ENSURE_HELD {
		return fmt.Errorf("%w: %s", dispatch.ErrNotHeld, reply.GetDetail())
	}
	return nil
}

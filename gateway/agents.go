package gateway

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"gypsumbank/dialer"
	"gypsumbank/dispatch"
	"gypsumbank/epoch"
	"gypsumbank/fleet"
	"gypsumbank/holdings"
	"gypsumbank/origin"
	"gypsumbank/pause"
	"gypsumbank/registry"
	"gypsumbank/standby"
	"gypsumbank/tally"
	"gypsumbank/wire"
)

const (
	// agentTimeout is the time without a message after which a connection to an agent is closed. It exceeds the agents'
	// heartbeat interval of 500 ms by the delay of two lost packets.
	agentTimeout   = 1500 * time.Millisecond
	reconnectDelay = 300 * time.Millisecond
	// heartbeatInterval is short enough for an agent to notice a lost gateway within a few seconds.
	heartbeatInterval = time.Second
	// relayHeartbeatInterval is the heartbeat interval towards agents that sum the demand for the planning gateway, while
	// there are at most maxGatewaysForFastHeartbeat gateways.
	relayHeartbeatInterval      = 250 * time.Millisecond
	maxGatewaysForFastHeartbeat = 8
	// demandBatchDelay is the delay of an urgent demand update, so that it covers all requests for missing models that
	// arrive together.
	demandBatchDelay = 20 * time.Millisecond
	// usageBatchDelay is the delay of a usage update, so that it covers several changes. It is well below the time for which
	// an agent waits to learn that a request uses an adapter that was loaded for it.
	usageBatchDelay = 10 * time.Millisecond
	// relayCount is the number of agents that receive the demand and read the store for the gateways; with two, the loss of
	// one has no effect. Deployments with more than extraRelayThreshold engines use one more.
	relayCount          = 2
	extraRelayThreshold = 20
)

// agentClients holds the connections to the agents, which run on the VMs of the engines.
type agentClients struct {
	name    string
	port    string
	dialer  *dialer.Dialer
	fleet   *fleet.Fleet
	relay   *relayedReads
	crashes *crashes
	origins *origin.Table
	epochs  *epoch.Tracker
	log     *logrus.Entry

	recordEngine func(host, targetID string, born int64, condition standby.Condition) // called for each state of an engine

	mu             sync.Mutex
	cancelWatch    map[string]context.CancelFunc
	agentAddresses []string                 // of all agents; replaced, never changed
	relayAgents    map[string]bool          // addresses of the agents that receive the demand and read the store
	queuedOrigins  map[string][]uint64      // by agent address: streams whose records are to be sent to it
	connected      map[string]bool          // addresses of the agents whose states arrive
	pushDemand     chan struct{}            // closed and replaced to send the demand now
	pushUsage      map[string]chan struct{} // by agent address; holds a value if the requests in progress at its target have changed
	turnLinks      map[string]*turnLink     // by address of a connected agent
	watchers       sync.WaitGroup
}

func newAgentClients(name string, port int, d *dialer.Dialer, f *fleet.Fleet, relay *relayedReads, crashes *crashes, origins *origin.Table, epochs *epoch.Tracker, log *logrus.Entry) *agentClients {
	return &agentClients{
		name: name, port: strconv.Itoa(port), dialer: d, fleet: f, relay: relay, crashes: crashes, origins: origins, epochs: epochs, log: log,
		cancelWatch: map[string]context.CancelFunc{}, queuedOrigins: map[string][]uint64{}, connected: map[string]bool{}, pushDemand: make(chan struct{}), pushUsage: map[string]chan struct{}{}, turnLinks: map[string]*turnLink{},
		recordEngine: func(string, string, int64, standby.Condition) {},
	}
}

// address returns the address of the agent of the target at targetAddress, or an empty string if that is invalid.
func (a *agentClients) address(targetAddress string) string {
	host := registry.Host(targetAddress)
	if host == "" {
		return ""
	}
	return net.JoinHostPort(host, a.port)
}

// setAddresses starts to watch the agents at the given addresses and stops to watch all others.
func (a *agentClients) setAddresses(addresses map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.agentAddresses = slices.Sorted(maps.Keys(addresses))
	a.relayAgents = selectRelays(addresses)
	for address, stop := range a.cancelWatch {
		if !addresses[address] {
			stop()
			delete(a.cancelWatch, address)
			delete(a.queuedOrigins, address)
			delete(a.pushUsage, address)
		}
	}
	for address := range addresses {
		if _, ok := a.cancelWatch[address]; ok {
			continue
		}
		ctx, stop := context.WithCancel(context.Background())
		a.cancelWatch[address] = stop
		a.pushUsage[address] = make(chan struct{}, 1)
		a.watchers.Add(1)
		go func() {
			defer a.watchers.Done()
			a.watch(ctx, address)
		}()
	}
}

// selectRelays returns the agents that receive the demand and read the store. Each gateway selects the same ones, by the
// hashes of the addresses.
func selectRelays(addresses map[string]bool) map[string]bool {
	byHash := make([]string, 0, len(addresses))
	for address := range addresses {
		byHash = append(byHash, address)
	}
	sort.Slice(byHash, func(i, j int) bool { return xxhash.Sum64String(byHash[i]) < xxhash.Sum64String(byHash[j]) })
	relays := map[string]bool{}
	count := relayCount
	if len(byHash) > extraRelayThreshold {
		count++
	}
	for _, address := range byHash[:min(count, len(byHash))] {
		relays[address] = true
	}
	return relays
}

// connectedRelays returns the number of relay agents whose states arrive. It does not show that they can read the store.
func (a *agentClients) connectedRelays() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for address := range a.relayAgents {
		if a.connected[address] {
			n++
		}
	}
	return n
}

// setConnected records whether the states of an agent arrive.
func (a *agentClients) setConnected(address string, connected bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if connected {
		a.connected[address] = true
		return
	}
	delete(a.connected, address)
}

// PushDemand sends the demand of this gateway to the relay agents now instead of with the next heartbeat.
func (a *agentClients) PushDemand() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.pushDemand)
	a.pushDemand = make(chan struct{})
}

// PushUsage sends the requests of this gateway that are in progress at a target to its agent now.
func (a *agentClients) PushUsage(target registry.Target) { a.push(a.address(target.Address)) }

// push sends a heartbeat to an agent now.
func (a *agentClients) push(address string) {
	select {
	case a.usageChannel(address) <- struct{}{}:
	default:
	}
}

// usageChannel returns the channel that holds a value if the usage is to be sent to an agent now; nil if the agent is not watched.
func (a *agentClients) usageChannel(address string) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pushUsage[address]
}

// demandStatus reports whether an agent receives the demand, and returns the channel that is closed to send it now.
func (a *agentClients) demandStatus(address string) (isRelay bool, pushDemand <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.relayAgents[address], a.pushDemand
}

// close ends all connections and waits for their goroutines.
func (a *agentClients) close() {
	a.setAddresses(nil)
	a.watchers.Wait()
}

// watch applies the states that an agent sends and reconnects when the stream breaks, until ctx ends.
func (a *agentClients) watch(ctx context.Context, address string) {
	disconnected := false
	for ctx.Err() == nil {
		err := a.watchOnce(ctx, address, func() {
			if disconnected {
				a.log.WithField("agent", address).Info("agent regained")
			}
			disconnected = false
		})
		if !disconnected && ctx.Err() == nil {
			a.log.WithError(err).WithField("agent", address).Info("agent lost")
		}
		disconnected = true
		_ = pause.For(ctx, reconnectDelay)
	}
}

// watchOnce connects to an agent, calls onState for each state that it sends and applies the state, until the stream breaks.
func (a *agentClients) watchOnce(ctx context.Context, address string, onState func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	conn, err := a.dialer.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	timeout := time.AfterFunc(agentTimeout, func() { conn.Close() })
	defer timeout.Stop()
	stream, err := wire.NewDRPCAgentClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	link := newTurnLink()
	var sending sync.WaitGroup
	sending.Go(func() { a.sendHeartbeats(ctx, address, stream, began) })
	sending.Go(func() { link.send(ctx, a.name, stream) })
	defer func() {
		cancel()
		conn.Close()
		a.setTurnLink(address, nil)
		link.close()
		sending.Wait()
		a.relay.remove(address)
		a.setConnected(address, false)
	}()
	a.setConnected(address, true)
	a.setTurnLink(address, link)
	var lists holdings.Lists
	for {
		state, err := stream.Recv()
		if err != nil {
			return err
		}
		timeout.Reset(agentTimeout)
		onState()
		link.apply(state)
		if state.GetGrantsOnly() {
			continue
		}
		if news := state.GetQuarantine(); news != nil {
			a.crashes.merge(address, news)
		}
		if storeReads := state.GetStoreReads(); storeReads != nil {
			now := time.Now()
			sentAt := sentAfter(storeReads, began, now)
			metrics.GetOrCreateHistogram("gypsumbank_gateway_store_reads_message_seconds").Update(now.Sub(sentAt).Seconds())
			if err := a.relay.record(address, storeReads, sentAt); err != nil {
				return err
			}
		}
		if state.GetEngineDown() {
			a.applyDown(address, state)
			continue
		}
		lists.Complete(state)
		a.applyState(address, state)
	}
}

// sentAfter returns the latest time at which an agent is known not to have sent a message yet, on a connection that began at a time: after it got the heartbeat
// that it echoes, and by the time that it had it. The message may have been on its way, or unread, for any time since.
func sentAfter(storeReads *wire.StoreReads, began, now time.Time) time.Time {
	sinceBegan := time.Duration(storeReads.GetEchoedMs()+uint64(storeReads.GetEchoAgeMs())) * time.Millisecond
	if at := began.Add(sinceBegan); at.Before(now) {
		return at
	}
	return now
}

// applyDown applies what an agent sends while its engine does not answer: the end of a run, or that a run is silent.
func (a *agentClients) applyDown(address string, state *wire.TargetState) {
	if ended := state.GetEndedRun(); ended != nil {
		a.crashes.checker.MarkEnded(ended.GetTargetId(), ended.GetBorn(), "agent")
		a.recordEngine(registry.Host(address), ended.GetTargetId(), ended.GetBorn(), standby.Ended)
	} else if state.GetTargetId() != "" {
		a.recordEngine(registry.Host(address), state.GetTargetId(), state.GetBorn(), standby.Silent)
	}
	a.applyDemand(state)
}

// applyState updates the fleet from the state that an agent has sent.
func (a *agentClients) applyState(address string, state *wire.TargetState) {
	report := registry.Report{
		Born: state.GetBorn(), Busy: state.GetBusy(), Sequence: state.GetSequence(),
		Waiting: int(state.GetWaiting()), Running: int(state.GetRunning()), KVUsed: int(state.GetKvUsed()), KVTotal: int(state.GetKvTotal()),
		Draining: state.GetDraining(), Remaining: time.Duration(state.GetRemainingMs()) * time.Millisecond,
		InMemory: state.GetInMemory(), OnDisk: state.GetOnDisk(),
	}
	for _, m := range state.GetModels() {
		report.Models = append(report.Models, registry.Model{Name: m.GetName(), Adapters: m.GetAdapters()})
	}
	a.crashes.checker.MarkRuns([]registry.Target{{ID: state.GetTargetId(), Born: report.Born}}, "agent")
	a.recordEngine(registry.Host(address), state.GetTargetId(), report.Born, standby.Answers)
	a.fleet.Observe(state.GetTargetId(), fleet.Observation{
		Report: report, Host: registry.Host(address), Loading: state.GetLoading(), Watchers: int(state.GetWatchers()), PlannedHere: state.GetPlanner() == a.name,
		AvailableAdapterSlots: int(state.GetAdapterRoom()), QueuedPrefillMs: float64(state.GetUnreadMs()), TurnWaitMs: float64(state.GetWaitingMs()), Requests: int(state.GetRequests()), Parts: decodeParts(state),
		Others: tally.Estimate{ErrorRate: float64(state.GetOthersFailedPercent()) / 100, Slowness: float64(state.GetOthersSlownessTenths()) / 10},
	}, time.Now())
	a.applyDemand(state)
}

// applyDemand applies the demand of all gateways, which some states for the planning gateway have.
func (a *agentClients) applyDemand(state *wire.TargetState) {
	if !state.GetHasDemand() {
		return
	}
	demand := make([]fleet.Demand, 0, len(state.GetDemand()))
	for _, d := range state.GetDemand() {
		demand = append(demand, fleet.Demand{Service: d.GetService(), Model: d.GetModel(), WorkMsPerS: float64(d.GetWork())})
	}
	a.fleet.SetTotalDemand(demand, int(state.GetWatchers()), time.Now())
}

// decodeParts returns the prompt parts of a state in either form. Only the low 32 bits of the hashes of packed ones are known.
func decodeParts(state *wire.TargetState) []fleet.PromptPart {
	tokens := state.GetPartTokens()
	parts := make([]fleet.PromptPart, 0, len(state.GetParts())+len(tokens))
	for _, p := range state.GetParts() {
		parts = append(parts, fleet.PromptPart{Hash: p.GetHash(), Tokens: int(p.GetTokens())})
	}
	for i, hash := range state.GetPartHashes() {
		if i < len(tokens) {
			parts = append(parts, fleet.PromptPart{Hash: uint64(hash), Tokens: int(tokens[i])})
		}
	}
	return parts
}

// EnsureLoaded makes a target's agent load a model, and an adapter unless it is empty, and returns once the target holds
// them. Errors wrap dispatch.ErrNotLoaded.
func (a *agentClients) EnsureLoaded(ctx context.Context, target registry.Target, requestID, model, adapter, evict string) error {
	address := a.address(target.Address)
	conn := a.dialer.Conn(ctx, address)
	defer conn.Close()
	reply, err := wire.NewDRPCAgentClient(conn).Ensure(ctx, &wire.EnsureRequest{RequestId: requestID, Model: model, Adapter: adapter, Evict: evict})
	if err != nil {
		a.dialer.CloseIdle(address)
		return fmt.Errorf("%w: %w", dispatch.ErrNotLoaded, err)
	}
	if reply.GetOutcome() == wire.EnsureOutcome_ENSURE_NO_BUDGET {
		return &dispatch.LoadLimitError{Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond}
	}
	if reply.GetOutcome() != wire.EnsureOutcome_ENSURE_HELD {
		return fmt.Errorf("%w: %s", dispatch.ErrNotLoaded, reply.GetDetail())
	}
	return nil
}

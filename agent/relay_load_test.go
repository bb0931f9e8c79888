package agent

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbank/history"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// The load of the deployments that the bytes are counted for: 1.8 engines a gateway, half of the requests with 9,190 prompt tokens, and a
// target that starts, turns warm, drains and leaves each 500 s.
const (
	enginesPerGateway     = 1.8
	longPrefillMs         = 110
	targetLifetime        = 500 * time.Second
	changesPerLife        = 3 // the end of one is the start of the next
	prefillTime           = 100 * time.Millisecond
	residence             = 900 * time.Millisecond
	sharedPrompts         = 40
	gatewayUpdateInterval = time.Second
)

// engineLoad is the load of the engine beside the agent.
type engineLoad struct {
	requestsPerS       float64
	adapterChangesPerS float64 // adapters that the engine loads or drops
	readsStore         bool    // the agent reads the store for the gateways
}

var (
	meanLoad = engineLoad{requestsPerS: 3.1, readsStore: true}
	// busyLoad has 31 prompt parts a second to be passed on and an adapter that comes or goes each second, as the busiest agent of a trial
	// with 104 gateways had, which did not read the store.
	busyLoad      = engineLoad{requestsPerS: 19, adapterChangesPerS: 1}
	busyRelayLoad = engineLoad{requestsPerS: 19, adapterChangesPerS: 1, readsStore: true}
)

// relayUnderLoad is an agent that may read the store for gateways, and the gateways that it sends states to, on a fake clock.
type relayUnderLoad struct {
	load     engineLoad
	gateway  *wire.WatcherUpdate // what each gateway tells of itself
	w        *watchers
	clock    *fakeClock
	random   *rand.Rand
	gateways []*loadedGateway
	targets  []registry.Target
	running  []runningRequest
	models   []*wire.HeldModel
	bytes    int
	messages int
	parts    int

	answerRandom *rand.Rand // of the answers that gateways report; nil if they report none
}

type loadedGateway struct {
	watcher  *watcher
	requests int
	parts    []*wire.PromptPart
	answers  *wire.Answers
	pending  float32
	sentAt   time.Time
	changed  bool
}

type runningRequest struct {
	gateway          *loadedGateway
	firstByte, ended time.Time
	answered         bool
	prefillMs        float32
}

// wholeLists, presentRelease and thisRelease are what gateways tell of themselves: before changes of targets, before compact states,
// and now.
func wholeLists() *wire.WatcherUpdate {
	return &wire.WatcherUpdate{KeepsHoldings: true}
}

func presentRelease() *wire.WatcherUpdate {
	gateway := wholeLists()
	gateway.KeepsTargets = true
	return gateway
}

func thisRelease() *wire.WatcherUpdate {
	gateway := presentRelease()
	gateway.ReadsPackedParts, gateway.KeepsLists = true, true
	return gateway
}

func newRelayUnderLoad(gateways int, load engineLoad, gateway *wire.WatcherUpdate) *relayUnderLoad {
	w, clock := newTestWatchers()
	r := &relayUnderLoad{w: w, clock: clock, random: rand.New(rand.NewPCG(1, 2)), load: load, gateway: gateway}
	for i := range 4 {
		r.models = append(r.models, &wire.HeldModel{Name: fmt.Sprintf("model%05x", i), Adapters: []string{"adapter-a", "adapter-b"}})
	}
	for i := range int(enginesPerGateway*float64(gateways)) + 3 {
		r.targets = append(r.targets, registry.Target{
			ID: fmt.Sprintf("i-%010x", i), Born: clock.at.UnixNano() + int64(i), Service: "engines", Address: fmt.Sprintf("10.%d.0.%d:8000", i/200, i%200),
			AvailabilityZone: "zone-a", Slots: 64, SoftwareVersion: "2.14.1",
		})
	}
	for i := range gateways {
		g := &loadedGateway{watcher: w.add(), sentAt: clock.at.Add(-time.Duration(i) * 7 * time.Millisecond)}
		r.gateways = append(r.gateways, g)
		r.heartbeat(g, i)
	}
	w.setRoutesVersion(3, w.now())
	w.setTargets(r.targets, history.New(1, 1, 1), w.now())
	return r
}

func (r *relayUnderLoad) heartbeat(g *loadedGateway, i int) {
	update := proto.Clone(r.gateway).(*wire.WatcherUpdate)
	update.HasDemand = r.load.readsStore
	update.Node, update.Parts, update.UnreadMs = fmt.Sprintf("frontend-%03d", i), g.parts, g.pending
	update.Answers, g.answers = g.answers, nil
	update.Uses = []*wire.ModelUse{{Model: "m", Requests: uint32(g.requests)}}
	r.w.handleHeartbeat(g.watcher, update)
	g.parts, g.changed, g.sentAt = nil, false, r.clock.at
}

// play passes a time in steps of 5 ms and counts the bytes and messages that the agent sends in it.
func (r *relayUnderLoad) play(duration time.Duration) {
	const step = 5 * time.Millisecond
	changeRate := float64(changesPerLife*len(r.targets)) / targetLifetime.Seconds()
	for n := range int(duration / step) {
		r.clock.advance(step)
		if r.random.Float64() < r.load.requestsPerS*step.Seconds() {
			r.arrive()
		}
		r.endRequests()
		if r.load.adapterChangesPerS > 0 && r.random.Float64() < r.load.adapterChangesPerS*step.Seconds() {
			r.changeAdapter()
		}
		if r.random.Float64() < changeRate*step.Seconds() {
			r.changeTarget()
		}
		if n%int(targetsReadInterval/step) == 0 {
			r.w.setTargets(r.targets, history.New(1, int64(n+1), int64(n+1)), r.w.now())
			r.w.setRoutesVersion(3, r.w.now())
		}
		if n%int(idleReportInterval/step) == 0 {
			r.w.publish(r.state())
		}
		for i, g := range r.gateways {
			if g.changed || r.clock.at.Sub(g.sentAt) >= gatewayUpdateInterval {
				r.heartbeat(g, i)
			}
		}
		for _, g := range r.gateways {
			if state := received(r.w, g.watcher); state != nil {
				r.messages++
				r.bytes += proto.Size(state)
				r.parts += len(state.GetParts()) + len(state.GetPartHashes())
			}
		}
	}
}

// changeTarget has a target begin to drain, leave, come as another run that is cold, or turn warm, in this order.
func (r *relayUnderLoad) changeTarget() {
	t := &r.targets[r.random.IntN(len(r.targets))]
	switch {
	case t.ColdRemaining > 0:
		t.ColdRemaining = 0
	case !t.Draining:
		t.Draining = true
	default:
		t.Draining, t.ColdRemaining, t.Born = false, time.Second, t.Born+1
		t.ID = fmt.Sprintf("i-%010x", r.random.Uint64()>>24)
	}
}

// changeAdapter has the engine drop an adapter or load another one.
func (r *relayUnderLoad) changeAdapter() {
	i := r.random.IntN(len(r.models))
	adapters := slices.Clone(r.models[i].GetAdapters())
	if len(adapters) > 1 {
		adapters = slices.Delete(adapters, 0, 1)
	} else {
		adapters = append(adapters, fmt.Sprintf("adapter-%c", 'c'+r.random.IntN(20)))
	}
	r.models = slices.Clone(r.models)
	r.models[i] = &wire.HeldModel{Name: r.models[i].GetName(), Adapters: adapters}
}

func (r *relayUnderLoad) arrive() {
	g := r.gateways[r.random.IntN(len(r.gateways))]
	sent := runningRequest{gateway: g, firstByte: r.clock.at.Add(prefillTime / 4), ended: r.clock.at.Add(residence)}
	prompt := r.random.Uint64N(sharedPrompts)
	g.parts = append(g.parts, &wire.PromptPart{Hash: prompt * 0x9e3779b97f4a7c15, Tokens: 500})
	if r.random.IntN(2) == 0 {
		sent.prefillMs, sent.firstByte = longPrefillMs, r.clock.at.Add(prefillTime)
		g.parts = append(g.parts, &wire.PromptPart{Hash: prompt * 0xbf58476d1ce4e5b9, Tokens: 5800})
	}
	g.parts = append(g.parts, &wire.PromptPart{Hash: r.random.Uint64(), Tokens: 2890})
	g.requests++
	g.pending += sent.prefillMs
	g.changed = true
	r.running = append(r.running, sent)
}

func (r *relayUnderLoad) endRequests() {
	r.running = slices.DeleteFunc(r.running, func(each runningRequest) bool { return !r.clock.at.Before(each.ended) && r.end(each) })
	for i := range r.running {
		if each := &r.running[i]; !each.answered && !r.clock.at.Before(each.firstByte) {
			each.answered, each.gateway.changed = true, true
			each.gateway.pending -= each.prefillMs
		}
	}
}

func (r *relayUnderLoad) end(each runningRequest) bool {
	each.gateway.requests--
	each.gateway.changed = true
	r.addAnswer(each)
	return true
}

func (r *relayUnderLoad) state() *wire.TargetState {
	state := &wire.TargetState{
		TargetId: "i-0000000000", Born: 1796590000000000000, Sequence: 7, Running: uint32(len(r.running)), KvUsed: uint32(3000 * len(r.running)), KvTotal: 197200, AgeMs: 40, AdapterRoom: 4,
	}
	state.Models = r.models
	for i := range r.models {
		state.InMemory = append(state.InMemory, fmt.Sprintf("model%05x", i+4))
		state.OnDisk = append(state.OnDisk, fmt.Sprintf("model%05x", i), fmt.Sprintf("model%05x", i+4))
	}
	return state
}

// sent returns what the agent sends a second, after a time in which the gateways have got all lists.
func sent(gateways int, load engineLoad, gateway *wire.WatcherUpdate) (bytes, messages, parts float64) {
	const played = 20 * time.Second
	r := newRelayUnderLoad(gateways, load, gateway)
	r.play(2 * time.Second)
	r.bytes, r.messages, r.parts = 0, 0, 0
	r.play(played)
	return float64(r.bytes) / played.Seconds(), float64(r.messages) / played.Seconds(), float64(r.parts) / played.Seconds()
}

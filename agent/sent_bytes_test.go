package agent

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

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
	w.setRoutesVersion(3)
	w.setTargets(r.targets, history.New(1, 1, 1))
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
			r.w.setTargets(r.targets, history.New(1, int64(n+1), int64(n+1)))
			r.w.setRoutesVersion(3)
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

// TestSentBytesByGateways counts what an agent that reads the store sends to 10, 30 and 100 gateways, of deployments with 30, 100 and
// 300 VMs: what it sends to one of them must not grow. Whole lists of targets at each change would grow with the square of the VMs, and
// intervals that don't depend on the number of gateways in proportion to it.
func TestSentBytesByGateways(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]engineLoad{"mean load": meanLoad, "busy engine": busyLoad, "busy engine, reads of the store": busyRelayLoad} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			least, _, _ := sent(10, load, thisRelease())
			for _, gateways := range []int{10, 30, 100} {
				before, messagesBefore, partsBefore := sent(gateways, load, presentRelease())
				bytes, messages, parts := sent(gateways, load, thisRelease())
				t.Logf(name+", %d gateways: %.0f B/s, %.0f messages/s and %.1f parts/s to each in the present release; %.0f B/s, %.0f messages/s and %.1f parts/s now",
					gateways, before, messagesBefore, partsBefore/float64(gateways), bytes, messages, parts/float64(gateways))
				if load == meanLoad {
					whole, _, _ := sent(gateways, load, wholeLists())
					t.Logf("%d gateways: %.0f B/s with whole lists of targets", gateways, whole)
				}
				if bound := least * float64(gateways) / 10; bytes > bound {
					t.Errorf("%.0f B/s at %d gateways, want at most %.0f: %.0f at 10 gateways, by the number of gateways", bytes, gateways, bound, least)
				}
			}
		})
	}
}

// TestBusiestAgentGrowsBySquareRoot counts what the agent beside a busy engine sends, which is the busiest. The target for its growth, with 30 to 300
// VMs, is the square root. Prompt parts and lists of what the engine holds, which each gateway needs, would grow with the number of gateways.
func TestBusiestAgentGrowsBySquareRoot(t *testing.T) {
	t.Parallel()
	most, _, _ := sent(100, busyLoad, thisRelease())
	for _, gateways := range []float64{10, 30} {
		bytes, _, _ := sent(int(gateways), busyLoad, thisRelease())
		growth, bound := most/bytes, math.Sqrt(100/gateways)
		t.Logf("from %.0f to 100 gateways: growth %.2f, the square root is %.2f", gateways, growth, bound)
		if growth > bound {
			t.Errorf("%.0f B/s at %.0f gateways and %.0f at 100: growth %.2f, want at most %.2f", bytes, gateways, most, growth, bound)
		}
	}
}

// TestChangesOfTargetsAddUp draws changes of the registry, gateways that miss messages and such that connect again. What a gateway has
// from whole lists and changes must be what the agent has read, and a change must not be sent as a whole list.
func TestChangesOfTargetsAddUp(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w, clock := newTestWatchers()
		listed := map[string]registry.Target{}
		read := func() {
			targets := slices.Collect(maps.Values(listed))
			w.setTargets(targets, history.New(1, 1, 1))
		}
		var gateway *watcher
		known := map[string]bool{} // by id, whether it drains
		revision := uint64(0)
		connect := func() {
			if gateway != nil {
				w.remove(gateway)
			}
			gateway, known, revision = w.add(), map[string]bool{}, 0
			w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", HasDemand: true, KeepsTargets: true})
		}
		receive := func() {
			state := received(w, gateway)
			reads := state.GetStoreReads()
			if !reads.GetHasTargets() {
				return
			}
			if base := reads.GetBaseRevision(); base != revision && base != 0 {
				t.Fatalf("changes to revision %d for a gateway that has revision %d", base, revision)
			}
			if (reads.GetBaseRevision() == 0) != (revision == 0 || reads.GetRevision() >= revision+keptRevisions) {
				t.Fatalf("base revision %d, the gateway has revision %d of %d", reads.GetBaseRevision(), revision, reads.GetRevision())
			}
			if reads.GetBaseRevision() == 0 {
				clear(known)
			}
			for _, id := range reads.GetRemovedIds() {
				delete(known, id)
			}
			for _, target := range reads.GetTargets() {
				known[target.GetId()] = target.GetDraining()
			}
			revision = reads.GetRevision()
		}
		w.setRoutesVersion(1)
		read()
		w.publish(&wire.TargetState{TargetId: "t"})
		connect()
		id := func(t *rapid.T) string { return fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"a target is listed":         func(t *rapid.T) { id := id(t); listed[id] = registry.Target{ID: id} },
			"a target drains":            func(t *rapid.T) { id := id(t); listed[id] = registry.Target{ID: id, Draining: true} },
			"a target is removed":        func(t *rapid.T) { delete(listed, id(t)) },
			"the agent reads":            func(*rapid.T) { read() },
			"many changes":               func(*rapid.T) { manyChanges(w, listed) },
			"the gateway receives":       func(*rapid.T) { receive() },
			"the gateway connects again": func(*rapid.T) { connect() },
			"the gateway sends heartbeat": func(*rapid.T) {
				w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", HasDemand: true, KeepsTargets: true})
			},
		})
		read()
		clock.advance(time.Second)
		w.publish(&wire.TargetState{TargetId: "t"})
		receive()
		want := map[string]bool{}
		for id, target := range listed {
			want[id] = target.Draining
		}
		if !maps.Equal(known, want) {
			t.Fatalf("the gateway has %v, want %v", known, want)
		}
	})
}

// manyChanges has more revisions begin than the agent knows changes since.
func manyChanges(w *watchers, listed map[string]registry.Target) {
	for i := range keptRevisions + 1 {
		changed := maps.Clone(listed)
		changed["many"] = registry.Target{ID: "many", Born: int64(i)}
		w.setTargets(slices.Collect(maps.Values(changed)), history.New(1, 1, 1))
	}
}

// TestGatewaysWithoutChangesGetWholeLists covers a gateway of an earlier release beside one of this.
func TestGatewaysWithoutChangesGetWholeLists(t *testing.T) {
	t.Parallel()
	w, _ := newTestWatchers()
	gateway := w.add()
	w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", HasDemand: true})
	w.setRoutesVersion(1)
	w.publish(&wire.TargetState{TargetId: "t"})
	for i := range 3 {
		w.setTargets([]registry.Target{{ID: "a"}, {ID: "b", Born: int64(i)}}, history.New(1, 1, 1))
		if reads := received(w, gateway).GetStoreReads(); reads.GetBaseRevision() != 0 || len(reads.GetTargets()) != 2 {
			t.Errorf("store reads %v, want all targets", reads)
		}
	}
}

// TestChangeOfTargetsIsSentInTime covers many gateways: that a target leaves is sent at once, and any other change with the next state,
// which must come within maxHeartbeatInterval though the load does not change.
func TestChangeOfTargetsIsSentInTime(t *testing.T) {
	t.Parallel()
	w, clock := newTestWatchers()
	var gateways []*watcher
	heartbeats := func() {
		for i, g := range gateways {
			w.handleHeartbeat(g, &wire.WatcherUpdate{Node: fmt.Sprint("g", i), HasDemand: true, KeepsTargets: true})
		}
	}
	for range 100 {
		gateways = append(gateways, w.add())
	}
	heartbeats()
	w.setRoutesVersion(1)
	w.setTargets([]registry.Target{{ID: "a"}}, history.New(1, 1, 1))
	w.publish(&wire.TargetState{TargetId: "t"})
	received(w, gateways[7])
	w.setTargets([]registry.Target{{ID: "a"}, {ID: "b"}}, history.New(1, 2, 2))
	waited := time.Duration(0)
	for received(w, gateways[7]).GetStoreReads().GetTargets() == nil && waited < time.Second {
		clock.advance(idleReportInterval)
		waited += idleReportInterval
		w.publish(&wire.TargetState{TargetId: "t"})
	}
	if waited > maxHeartbeatInterval {
		t.Errorf("a new target was sent after %s, want at most %s", waited, maxHeartbeatInterval)
	}
	heartbeats()
	w.setTargets([]registry.Target{{ID: "a", Draining: true}, {ID: "b"}}, history.New(1, 3, 3))
	if reads := received(w, gateways[7]).GetStoreReads(); len(reads.GetTargets()) != 1 || !reads.GetTargets()[0].GetDraining() {
		t.Errorf("store reads %v, want that the target drains at once", reads)
	}
	w.setTargets([]registry.Target{{ID: "b"}}, history.New(1, 4, 4))
	if reads := received(w, gateways[7]).GetStoreReads(); len(reads.GetRemovedIds()) != 1 {
		t.Errorf("store reads %v, want that the target is removed at once", reads)
	}
}

// TestNewestStateGoesOutWithAChangeOfLoad covers many gateways whose requests change the load more often than states are due: each message
// must have what the engine has last reported, not what it reported before the first of these changes.
func TestNewestStateGoesOutWithAChangeOfLoad(t *testing.T) {
	t.Parallel()
	w, clock := newTestWatchers()
	var gateways []*watcher
	for range 30 {
		gateways = append(gateways, w.add())
	}
	running, oldest := 0, 0
	for n := range 200 {
		clock.advance(idleReportInterval / 2)
		for i, g := range gateways {
			w.handleHeartbeat(g, &wire.WatcherUpdate{Node: fmt.Sprint("g", i), Uses: []*wire.ModelUse{{Model: "m", Requests: uint32(n % 4)}}})
		}
		if n%2 == 0 {
			running++
			w.publish(&wire.TargetState{TargetId: "t", Running: uint32(running * runningBucket)})
		}
		if state := received(w, gateways[0]); state != nil {
			oldest = max(oldest, running-int(state.GetRunning())/runningBucket)
		}
	}
	if oldest > 1 {
		t.Errorf("a state was %d reports old, want at most 1", oldest)
	}
}

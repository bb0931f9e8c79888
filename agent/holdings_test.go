package agent

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"gypsumbank/holdings"
	"gypsumbank/wire"
)

// engineLists are the lists of what an engine holds, as an engine or a gateway has them.
type engineLists struct {
	models   map[string][]string // adapters by model
	inMemory []string
	onDisk   []string
}

func (l engineLists) String() string {
	text := fmt.Sprint("in memory ", l.inMemory, ", on disk ", l.onDisk, ", models")
	for _, model := range slices.Sorted(maps.Keys(l.models)) {
		text += fmt.Sprint(" ", model, slices.Sorted(slices.Values(l.models[model])))
	}
	return text
}

func listsOf(state *wire.TargetState) engineLists {
	l := engineLists{models: map[string][]string{}, inMemory: state.GetInMemory(), onDisk: state.GetOnDisk()}
	for _, m := range state.GetModels() {
		l.models[m.GetName()] = m.GetAdapters()
	}
	return l
}

// heldEngine is an engine whose lists change, the agent beside it and one of many gateways that watch it.
type heldEngine struct {
	w         *watchers
	clock     *fakeClock
	born      int64
	published []string // lists of each published state, which has their number as its requests that run
	engine    engineLists
	tells     *wire.WatcherUpdate // what the gateway tells of itself
	gateway   *watcher
	lists     holdings.Lists
	received  string
	requests  uint32
}

func newHeldEngine(gateways int, tells *wire.WatcherUpdate) *heldEngine {
	w, clock := newTestWatchers()
	e := &heldEngine{w: w, clock: clock, born: 1, engine: engineLists{models: map[string][]string{"model0": {"adapter0"}, "model1": nil}}, tells: tells}
	e.publish()
	e.connect()
	e.setGateways(gateways)
	return e
}

// connect has the gateway connect, again if it was connected.
func (e *heldEngine) connect() {
	if e.gateway != nil {
		e.w.remove(e.gateway)
	}
	e.gateway, e.lists = e.w.add(), holdings.Lists{}
}

// setGateways has other gateways connect or leave, up to a number of all.
func (e *heldEngine) setGateways(n int) {
	for other := range e.w.members {
		if other != e.gateway && len(e.w.members) > n {
			e.w.remove(other)
		}
	}
	for len(e.w.members) < n {
		e.w.add()
	}
	e.heartbeats()
}

// heartbeats has all gateways send one.
func (e *heldEngine) heartbeats() {
	e.tells.Node, e.tells.Uses = "g", []*wire.ModelUse{{Model: "m", Requests: e.requests}}
	e.w.handleHeartbeat(e.gateway, e.tells)
	for other := range e.w.members {
		if other != e.gateway {
			e.w.handleHeartbeat(other, &wire.WatcherUpdate{Node: "other", KeepsHoldings: true})
		}
	}
}

func (e *heldEngine) publish() {
	state := &wire.TargetState{TargetId: "t", Born: e.born, Running: uint32(len(e.published)), InMemory: slices.Clone(e.engine.inMemory), OnDisk: slices.Clone(e.engine.onDisk)}
	for _, model := range slices.Sorted(maps.Keys(e.engine.models)) {
		state.Models = append(state.Models, &wire.HeldModel{Name: model, Adapters: slices.Clone(e.engine.models[model])})
	}
	e.published = append(e.published, e.engine.String())
	e.w.publish(state)
}

// receive has the gateway take the state that is queued for it, if any, and checks its lists against those of the engine at that state.
func (e *heldEngine) receive(t *rapid.T) {
	state := received(e.w, e.gateway)
	if state == nil || state.GetEngineDown() {
		return
	}
	if !e.tells.GetKeepsLists() || len(e.w.members) <= maxFewWatchers {
		e.checkEarlierForm(t, state)
	}
	e.lists.Complete(state)
	e.received = listsOf(state).String()
	if want := e.published[state.GetRunning()]; e.received != want {
		t.Fatalf("the gateway has %s, want %s: %v", e.received, want, state)
	}
}

// checkEarlierForm checks that a gateway of an earlier release, or one of few, understands a state.
func (e *heldEngine) checkEarlierForm(t *rapid.T, state *wire.TargetState) {
	if state.GetHasModels() || state.GetHasInMemory() || state.GetHasOnDisk() || state.GetAdapterChanges() != nil {
		t.Fatalf("%d gateways, which keep lists: %v; changes are sent: %v", len(e.w.members), e.tells.GetKeepsLists(), state)
	}
	if state.GetSameHoldings() && !e.tells.GetKeepsHoldings() {
		t.Fatalf("lists are left out for a gateway that does not keep them: %v", state)
	}
}

func toggled(list []string, name string) []string {
	if i := slices.Index(list, name); i >= 0 {
		return slices.Delete(slices.Clone(list), i, i+1)
	}
	return append(slices.Clone(list), name)
}

// TestGatewaysHaveWhatTheEngineHolds draws changes of what an engine holds, states that are replaced before they are sent or that a gateway
// does not read, and connections made again. The lists of a gateway must be those of the engine at the state that it has received.
func TestGatewaysHaveWhatTheEngineHolds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tells := &wire.WatcherUpdate{KeepsHoldings: rapid.SampledFrom([]bool{true, true, true, false}).Draw(t, "keeps holdings")}
		tells.KeepsLists = tells.GetKeepsHoldings() && rapid.Bool().Draw(t, "keeps lists")
		numbers := []int{1, maxFewWatchers, maxFewWatchers + 1, 40}
		e := newHeldEngine(rapid.SampledFrom(numbers).Draw(t, "gateways"), tells)
		name := func(t *rapid.T, kind string) string {
			return fmt.Sprint(kind, rapid.IntRange(0, 3).Draw(t, kind))
		}
		change := map[string]func(*rapid.T){
			"a model comes or goes": func(t *rapid.T) {
				model := name(t, "model")
				if _, held := e.engine.models[model]; held {
					delete(e.engine.models, model)
				} else {
					e.engine.models[model] = nil
				}
			},
			"an adapter comes or goes": func(t *rapid.T) {
				model := name(t, "model")
				if adapters, held := e.engine.models[model]; held {
					e.engine.models[model] = toggled(adapters, name(t, "adapter"))
				}
			},
			"adapters in another order": func(t *rapid.T) {
				model := name(t, "model")
				if adapters, held := e.engine.models[model]; held {
					adapters = slices.Clone(adapters)
					slices.Reverse(adapters)
					e.engine.models[model] = adapters
				}
			},
			"an adapter is listed twice": func(t *rapid.T) {
				model := name(t, "model")
				if adapters := e.engine.models[model]; len(adapters) > 0 {
					e.engine.models[model] = append(slices.Clone(adapters), adapters[0])
				}
			},
			"weights in memory":      func(t *rapid.T) { e.engine.inMemory = toggled(e.engine.inMemory, name(t, "memory")) },
			"weights on disk":        func(t *rapid.T) { e.engine.onDisk = toggled(e.engine.onDisk, name(t, "disk")) },
			"the engine starts anew": func(*rapid.T) { e.born++; e.engine = engineLists{models: map[string][]string{}} },
		}
		changes := slices.Sorted(maps.Keys(change))
		t.Repeat(map[string]func(*rapid.T){
			"the engine reports": func(t *rapid.T) {
				e.clock.advance(time.Duration(rapid.SampledFrom([]int{1, 40, 200, 300}).Draw(t, "ms")) * time.Millisecond)
				change[rapid.SampledFrom(changes).Draw(t, "change")](t)
				e.publish()
			},
			"the engine is down": func(*rapid.T) { e.w.publishDown(&wire.TargetState{EngineDown: true, SameHoldings: true}) },
			"the load changes": func(t *rapid.T) {
				e.clock.advance(time.Duration(rapid.SampledFrom([]int{1, 50, 200}).Draw(t, "ms")) * time.Millisecond)
				e.requests = 10 - e.requests
				e.heartbeats()
			},
			"another number of gateways": func(t *rapid.T) { e.setGateways(rapid.SampledFrom(numbers).Draw(t, "gateways")) },
			"the gateway receives":       func(t *rapid.T) { e.receive(t) },
			"the gateway connects again": func(*rapid.T) { e.connect() },
		})
		e.heartbeats()
		e.clock.advance(time.Second)
		e.publish()
		e.receive(t)
		if e.received != e.engine.String() {
			t.Fatalf("at the end the gateway has %s, want %s", e.received, e.engine)
		}
	})
}

// TestAdapterInAReplacedStateIsSent guards against lists that a gateway never gets: among many gateways an adapter came with a report that was not
// sent by itself, but in place of the last state with a change of the load, and the lists counted as unchanged.
func TestAdapterInAReplacedStateIsSent(t *testing.T) {
	t.Parallel()
	e := newHeldEngine(maxFewWatchers+1, &wire.WatcherUpdate{KeepsHoldings: true})
	e.publish()
	received(e.w, e.gateway)
	e.clock.advance(minLoadStateInterval / 2)
	e.engine.models["model0"] = []string{"adapter0", "adapter1"}
	e.publish()
	e.clock.advance(minLoadStateInterval / 2)
	e.requests = 10
	e.heartbeats()
	state := received(e.w, e.gateway)
	if got, want := listsOf(state).String(), e.engine.String(); got != want {
		t.Errorf("the gateway has %s, want %s", got, want)
	}
}

// TestOnlyWhatHasChangedIsSent guards against lists that are sent again with each adapter that comes or goes.
func TestOnlyWhatHasChangedIsSent(t *testing.T) {
	t.Parallel()
	e := newHeldEngine(maxFewWatchers+1, &wire.WatcherUpdate{KeepsHoldings: true, KeepsLists: true})
	e.engine.inMemory, e.engine.onDisk = []string{"m"}, []string{"d"}
	next := func(change func()) *wire.TargetState {
		change()
		e.clock.advance(heartbeatInterval)
		e.heartbeats()
		e.publish()
		state := received(e.w, e.gateway)
		return &wire.TargetState{
			SameHoldings: state.GetSameHoldings(), HasModels: state.GetHasModels(), HasInMemory: state.GetHasInMemory(), HasOnDisk: state.GetHasOnDisk(),
			Models: state.GetModels(), InMemory: state.GetInMemory(), OnDisk: state.GetOnDisk(), AdapterChanges: state.GetAdapterChanges(),
		}
	}
	adapters := func(adapters ...string) func() { return func() { e.engine.models["model0"] = adapters } }
	next(func() {})
	tests := []struct {
		change func()
		want   *wire.TargetState
	}{
		{func() {}, &wire.TargetState{SameHoldings: true}},
		{adapters("adapter0", "adapter1"), &wire.TargetState{SameHoldings: true, AdapterChanges: []*wire.AdapterChange{{Model: "model0", Added: []string{"adapter1"}}}}},
		{adapters("adapter2", "adapter1"), &wire.TargetState{SameHoldings: true, AdapterChanges: []*wire.AdapterChange{{Model: "model0", Added: []string{"adapter2"}, Removed: []string{"adapter0"}}}}},
		{adapters("adapter1", "adapter2"), &wire.TargetState{SameHoldings: true}},
		{func() { e.engine.inMemory = nil }, &wire.TargetState{SameHoldings: true, HasInMemory: true}},
		{func() { e.engine.onDisk = []string{"d", "e"} }, &wire.TargetState{SameHoldings: true, HasOnDisk: true, OnDisk: []string{"d", "e"}}},
		{func() { delete(e.engine.models, "model0") }, &wire.TargetState{SameHoldings: true, HasModels: true, Models: []*wire.HeldModel{{Name: "model1"}}}},
		{func() { e.connect() }, &wire.TargetState{Models: []*wire.HeldModel{{Name: "model1"}}, OnDisk: []string{"d", "e"}}},
	}
	for i, test := range tests {
		if got := next(test.change); !proto.Equal(got, test.want) {
			t.Errorf("change %d: %v, want %v", i, got, test.want)
		}
	}
}

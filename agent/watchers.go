package agent

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbank/registry"
	"gypsumbank/wire"
)

const (
	// heartbeat is the longest pause between two states that each of many gateways is sent; few get them more often, so
	// that they notice a frozen VM sooner.
	heartbeat       = 500 * time.Millisecond
	heartbeatForFew = 250 * time.Millisecond
	fewWatchers     = 8
	// watcherLifetime is the age of a gateway's last heartbeat, which comes each second, at which it counts as gone.
	watcherLifetime = 2500 * time.Millisecond
	// demandPause is the least time between two messages with the demand.
	demandPause = 250 * time.Millisecond
	// loadPause is the least time between two states that differ in load only.
	loadPause = 200 * time.Millisecond
	// runningStep is by how many running requests a state must differ to be told before the next heartbeat.
	runningStep = 4
	// unreadStepMs is the same for the time to read the prompts that wait.
	unreadStepMs   = 25
	maxQueuedParts = 1024
	// unreadRiseMs is the rise of that time which is told at once, so that gateways do not send several long prompts to
	// one target at the same moment.
	unreadRiseMs = 100
)

// watchers hands the newest state to all gateways that watch, and the demand of all to the one that plans.
type watchers struct {
	now func() time.Time

	mu         sync.Mutex
	all        map[*watcher]struct{}
	last       *wire.TargetState
	holdings   uint64 // number of changes of what the target holds
	sentAt     time.Time
	demandAt   time.Time
	storeReads storeReads
	asked      chan struct{} // holds a value after a gateway has asked for the store to be read, which none did before
}

// watcher is a gateway with its latest demand.
type watcher struct {
	node     string
	seen     time.Time
	demand   []*wire.ModelDemand
	uses     []*wire.ModelUse
	unread   float32
	parts    []*wire.PromptPart // from other gateways, not yet sent to this one
	revision uint64             // of the targets that it was last told
	holdings uint64             // of the target that it was last told, if it keeps them
	keeps    bool               // it need not be told again what the target holds
	updates  chan update
}

// update is a state on its way to a gateway, whole and without the lists of what the target holds.
type update struct {
	state    *wire.TargetState
	short    *wire.TargetState
	holdings uint64
}

func newWatchers(now func() time.Time) *watchers {
	return &watchers{now: now, all: map[*watcher]struct{}{}, asked: make(chan struct{}, 1)}
}

func (w *watchers) add() *watcher {
	added := &watcher{updates: make(chan update, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all[added] = struct{}{}
	if w.last != nil {
		added.updates <- w.update(w.last)
	}
	return added
}

func (w *watchers) remove(gone *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.all, gone)
}

// heard takes over a heartbeat of a gateway.
func (w *watchers) heard(from *watcher, update *wire.WatcherUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from.node, from.seen, from.uses, from.unread = update.GetNode(), w.now(), update.GetUses(), update.GetUnreadMs()
	from.keeps = update.GetKeepsHoldings()
	for each := range w.all {
		if each != from {
			each.learn(update.GetParts())
		}
	}
	w.tellRise()
	if update.GetHasDemand() {
		w.ask()
		from.demand = update.GetDemand()
		w.tellDemand()
	}
}

// publish sends a state that differs from the last one, or is due as a heartbeat; a gateway that lags gets the newest.
func (w *watchers) publish(state *wire.TargetState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	live := w.live()
	state.Watchers = uint32(len(live))
	state.UnreadMs = unread(live)
	if planner := planner(live); planner != nil {
		state.Planner = planner.node
	}
	if w.last != nil && sameHoldings(w.last, state) {
		since := w.now().Sub(w.sentAt)
		pause := heartbeat
		if len(live) <= fewWatchers {
			pause = heartbeatForFew
		}
		if w.now().Sub(w.storeReads.asked) < relayLifetime {
			pause = min(pause, relayHeartbeat)
		}
		if since < loadPause || (since < pause && sameLoad(w.last, state)) {
			return
		}
	}
	if !sameLists(w.last, state) {
		w.holdings++
	}
	w.last, w.sentAt = state, w.now()
	w.sendLast()
	w.tellDemand()
}

// tellRise sends the last state again if much more waits at the target by now; the caller holds the lock.
func (w *watchers) tellRise() {
	if w.last == nil {
		return
	}
	waiting := unread(w.live())
	if waiting < w.last.GetUnreadMs()+unreadRiseMs {
		return
	}
	w.last = proto.Clone(w.last).(*wire.TargetState)
	w.last.UnreadMs = waiting
	w.sendLast()
}

// sendLast sends the last state to all gateways; the caller holds the lock.
func (w *watchers) sendLast() {
	next := w.update(w.last)
	for each := range w.all {
		each.send(next)
	}
}

// update returns a state to send; the caller holds the lock.
func (w *watchers) update(state *wire.TargetState) update {
	short := proto.Clone(state).(*wire.TargetState)
	short.SameHoldings, short.Models, short.InMemory, short.OnDisk = true, nil, nil, nil
	return update{state: state, short: short, holdings: w.holdings}
}

// unread returns the expected ms to read the prompts that gateways have waiting.
func unread(of []*watcher) float32 {
	sum := float32(0)
	for _, each := range of {
		sum += each.unread
	}
	return sum
}

// tellDemand sends the demand of all gateways to the one that plans; the caller holds the lock.
func (w *watchers) tellDemand() {
	live := w.live()
	to := planner(live)
	if to == nil || w.last == nil || w.now().Sub(w.demandAt) < demandPause {
		return
	}
	total := sumDemand(live)
	if len(total) == 0 {
		return
	}
	state := proto.Clone(w.last).(*wire.TargetState)
	state.Demand, state.HasDemand = total, true
	w.demandAt = w.now()
	to.send(w.update(state))
}

// learn queues prompt parts for a gateway; one that lags misses the oldest.
func (w *watcher) learn(parts []*wire.PromptPart) {
	w.parts = append(w.parts, parts...)
	if excess := len(w.parts) - maxQueuedParts; excess > 0 {
		w.parts = w.parts[excess:]
	}
}

// personal returns the state with what is meant for one gateway: the prompt parts that are queued for it and the reads of
// the store, and without the lists of what the target holds if it keeps them.
func (w *watchers) personal(next update, to *watcher) *wire.TargetState {
	w.mu.Lock()
	defer w.mu.Unlock()
	told := w.storeReadsFor(to)
	state := next.state
	if to.keeps && to.holdings == next.holdings {
		state = next.short
	}
	to.holdings = next.holdings
	if len(to.parts) == 0 && told == nil {
		return state
	}
	own := proto.Clone(state).(*wire.TargetState)
	own.Parts, to.parts = to.parts, nil
	own.StoreReads = told
	return own
}

func (w *watcher) send(next update) {
	select {
	case <-w.updates:
	default:
	}
	w.updates <- next
}

// uses returns the requests of all gateways by adapter.
func (w *watchers) uses() map[registry.Adapter]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	uses := map[registry.Adapter]int{}
	for _, each := range w.live() {
		for _, use := range each.uses {
			uses[registry.Adapter{Model: use.GetModel(), Name: use.GetAdapter()}] += int(use.GetRequests())
		}
	}
	return uses
}

func (w *watchers) live() []*watcher {
	live := make([]*watcher, 0, len(w.all))
	for each := range w.all {
		if w.now().Sub(each.seen) < watcherLifetime {
			live = append(live, each)
		}
	}
	return live
}

// planner returns the gateway with the least name, which all agents with the same gateways agree on.
func planner(live []*watcher) *watcher {
	var first *watcher
	for _, each := range live {
		if first == nil || each.node < first.node {
			first = each
		}
	}
	return first
}

func sumDemand(live []*watcher) []*wire.ModelDemand {
	type key struct{ service, model string }
	totals := map[key]*wire.ModelDemand{}
	var all []*wire.ModelDemand
	for _, each := range live {
		for _, d := range each.demand {
			k := key{d.GetService(), d.GetModel()}
			if totals[k] == nil {
				totals[k] = &wire.ModelDemand{Service: d.GetService(), Model: d.GetModel()}
				all = append(all, totals[k])
			}
			totals[k].Work += d.GetWork()
		}
	}
	return all
}

// sameHoldings reports whether two states agree on what gateways must learn at once.
func sameHoldings(a, b *wire.TargetState) bool {
	return a.GetTargetId() == b.GetTargetId() && a.GetBorn() == b.GetBorn() && a.GetDraining() == b.GetDraining() &&
		a.GetBusy() == b.GetBusy() && a.GetLoading() == b.GetLoading() && len(a.GetModels()) == len(b.GetModels()) &&
		a.GetPlanner() == b.GetPlanner()
}

// sameLists reports whether two states agree on what the target holds.
func sameLists(a, b *wire.TargetState) bool {
	sameModel := func(a, b *wire.HeldModel) bool { return proto.Equal(a, b) }
	return a.GetTargetId() == b.GetTargetId() && a.GetBorn() == b.GetBorn() && slices.EqualFunc(a.GetModels(), b.GetModels(), sameModel) &&
		slices.Equal(a.GetInMemory(), b.GetInMemory()) && slices.Equal(a.GetOnDisk(), b.GetOnDisk())
}

// sameLoad reports whether two states differ in no other thing that a gateway decides by.
func sameLoad(a, b *wire.TargetState) bool {
	return a.GetSequence() == b.GetSequence() && int(a.GetUnreadMs()/unreadStepMs) == int(b.GetUnreadMs()/unreadStepMs) && a.GetWaiting() == b.GetWaiting() &&
		a.GetRunning()/runningStep == b.GetRunning()/runningStep && a.GetWatchers() == b.GetWatchers() &&
		(a.GetAdapterRoom() == 0) == (b.GetAdapterRoom() == 0)
}

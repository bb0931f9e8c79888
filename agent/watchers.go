package agent

import (
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbank/holdings"
	"gypsumbank/origin"
	"gypsumbank/quarantine"
	"gypsumbank/tally"
	"gypsumbank/wire"
)

const (
	// heartbeatInterval is the longest pause between two states sent to each gateway. Up to maxFewWatchers gateways get them
	// at fewWatchersHeartbeatInterval, so that they notice a frozen VM sooner.
	heartbeatInterval            = 500 * time.Millisecond
	fewWatchersHeartbeatInterval = 250 * time.Millisecond
	maxFewWatchers               = 8
	// watcherTimeout is the age of its last heartbeat at which a gateway counts as gone; gateways send one every second.
	watcherTimeout = 2500 * time.Millisecond
	// minDemandInterval is the shortest time between two messages with the demand.
	minDemandInterval = 250 * time.Millisecond
	// minLoadStateInterval is the shortest time between two states that differ only in load.
	minLoadStateInterval = 200 * time.Millisecond
	// runningBucket is the size of the groups of numbers of running requests; a change within a group is not by itself sent
	// before the next heartbeat.
	runningBucket = 4
	// pendingPrefillBucketMs is the same for the expected prefill time of the prompts that wait at the target.
	pendingPrefillBucketMs = 25
	// pendingPrefillRiseMs is a rise of that time which is sent at once, so that gateways do not send several long prompts to
	// the same target at the same time.
	pendingPrefillRiseMs = 100
	// minRequestsChange is the change of the number of requests at the target that is sent at once, so that gateways do not
	// take the same free slot. The time between two such messages is at least requestsIntervalPerWatcher for each gateway.
	minRequestsChange          = 2
	requestsIntervalPerWatcher = 5 * time.Millisecond
	// scaledFrom is the number of gateways above which the intervals between states, and the change of the number of requests that is
	// sent at once, grow with the square root of that number, so that the bytes of all states do, too.
	scaledFrom = 10
	// maxHeartbeatInterval bounds that growth: gateways take an agent whose report is 900 ms old for one that may be frozen.
	maxHeartbeatInterval = 600 * time.Millisecond
	// immediateRiseWatchers is the number of gateways up to which a rise of the waiting prompts is sent at once, whatever was sent before. A
	// later one had more gateways send to the same engine meanwhile.
	immediateRiseWatchers = 48
)

// watchers sends the newest state of the target to all gateways that watch it, and the summed demand of all gateways to the
// one that plans which models the targets hold.
type watchers struct {
	now func() time.Time

	mu             sync.Mutex
	members        map[*watcher]struct{}
	lastState      *wire.TargetState
	unsentState    *wire.TargetState  // published after lastState and not sent by itself; nil if there is none
	down           *wire.TargetState  // sent instead of lastState while the engine does not answer; nil if it does
	holdings       holdings.Revisions // of the lists of lastState
	lastSentAt     time.Time
	loadSentAt     time.Time // of the last message between states, see broadcastLoadChange
	demandSentAt   time.Time
	storeReads     storeReads
	partsPassedOn  map[uint64]time.Time // by hash of a prompt part: when it was last passed on to the gateways
	quarantine     *quarantine.Table
	origins        *origin.Table // of the streams of all gateways
	blocklistDue   chan struct{} // holds a value after a content was blocked or unblocked, and when gateways begin to rely on this agent
	prefillTurns   *prefillTurns // nil if there are none
	answers        *tally.Tally  // of the target, as gateways report them
	errorRateSent  float64       // by answers, when the last state was sent
	relayRequested chan struct{} // receives a value when a gateway needs reads of the store and none did before
}

// watcher is a gateway that watches the target, with its last heartbeat.
type watcher struct {
	node              string
	zone              string // availability zone
	lastHeartbeatAt   time.Time
	sentMs            uint64 // time on the gateway's clock at which it sent that; 0 if it told none
	demand            []*wire.ModelDemand
	requests          []*wire.ModelUse
	pendingPrefillMs  float32
	queuedPromptParts []*wire.PromptPart // from other gateways, not yet sent to this one
	targetsRevision   uint64             // of the targets last sent to it
	routesSent        int64              // version of the routes last sent to it
	readsSentAt       time.Time          // when the store was last read of what was last sent to it
	holdings          holdings.Sent      // lists last sent to it
	quarantineSent    uint64             // revision of the quarantine up to which it has been told
	keepsHoldings     bool               // it accepts states without unchanged holdings
	keepsTargets      bool               // it accepts changes to the targets
	readsPackedParts  bool               // it accepts prompt parts in the packed form
	keepsLists        bool               // it accepts changes to the holdings
	updates           chan update
}

// update is a state to be sent to a gateway, in full and without the lists of what the target holds.
type update struct {
	full            *wire.TargetState
	withoutHoldings *wire.TargetState
	holdings        holdings.Revisions
}

func newWatchers(now func() time.Time) *watchers {
	return &watchers{
		now: now, members: map[*watcher]struct{}{}, relayRequested: make(chan struct{}, 1),
		quarantine: quarantine.New(now), origins: origin.New(now), blocklistDue: make(chan struct{}, 1), answers: tally.New(),
	}
}

// add registers a gateway and queues the last state for it.
func (w *watchers) add() *watcher {
	added := &watcher{updates: make(chan update, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members[added] = struct{}{}
	if w.lastState != nil || w.down != nil {
		added.updates <- w.newestUpdate()
	}
	return added
}

func (w *watchers) remove(gone *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.members, gone)
}

// handleHeartbeat records what a gateway reports and passes its prompt parts on to the others. A heartbeat with demand also
// requests reads of the store.
func (w *watchers) handleHeartbeat(from *watcher, heartbeat *wire.WatcherUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from.node, from.lastHeartbeatAt, from.requests, from.pendingPrefillMs = heartbeat.GetNode(), w.now(), heartbeat.GetUses(), heartbeat.GetUnreadMs()
	from.sentMs = heartbeat.GetSentMs()
	from.keepsHoldings, from.keepsTargets = heartbeat.GetKeepsHoldings(), heartbeat.GetKeepsTargets()
	from.readsPackedParts, from.keepsLists = heartbeat.GetReadsPackedParts(), heartbeat.GetKeepsLists()
	parts := w.partsToPassOn(heartbeat.GetParts())
	for each := range w.members {
		if each != from {
			each.queuePromptParts(parts)
		}
	}
	w.mergeQuarantine(heartbeat.GetQuarantine())
	w.origins.Merge(heartbeat.GetOrigins())
	w.recordAnswers(from, heartbeat)
	w.broadcastLoadChange()
	if heartbeat.GetHasDemand() {
		w.requestRelay()
		from.demand = heartbeat.GetDemand()
		w.sendDemandToPlanner()
	}
}

// publish sends a state to all gateways if it differs enough from the last one or is due as a heartbeat. For a gateway that
// reads more slowly than states are sent, the newest state replaces the one it has not read.
func (w *watchers) publish(state *wire.TargetState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers.Begin(tally.Run{TargetID: state.GetTargetId(), Born: state.GetBorn()})
	live := w.live()
	state.Watchers = uint32(len(live))
	state.UnreadMs, state.WaitingMs = w.unreadMs(live)
	state.Requests = sumRequests(live)
	if planner := planner(live); planner != nil {
		state.Planner = planner.node
	}
	if w.lastState != nil && w.down == nil && sameUrgentState(w.lastState, state) {
		sinceLast := w.now().Sub(w.lastSentAt)
		interval := w.heartbeatInterval(len(live))
		if sinceLast < min(interval, scaledByGateways(minLoadStateInterval, len(live))) || (sinceLast < interval && sameLoad(w.lastState, state)) {
			w.unsentState = state
			return
		}
	}
	w.setLastState(state)
	w.lastSentAt, w.down = w.now(), nil
	w.broadcastLast()
	w.sendDemandToPlanner()
}

// setLastState has a state take the place of the last one; the caller holds the lock.
func (w *watchers) setLastState(state *wire.TargetState) {
	w.holdings = w.holdings.Next(w.lastState, state)
	w.lastState, w.unsentState = state, nil
}

// scaledByGateways returns an interval that grows with the square root of the number of gateways above scaledFrom.
func scaledByGateways(interval time.Duration, gateways int) time.Duration {
	return time.Duration(float64(interval) * growth(gateways))
}

// growth returns the square root of the number of gateways over scaledFrom, at least 1.
func growth(gateways int) float64 { return math.Sqrt(max(1, float64(gateways)/scaledFrom)) }

// useNewestState replaces the last state by the one published after it, if that may be sent in its place, and counts as a message that
// the next heartbeat follows after its interval. Up to maxFewWatchers gateways get their states at their own times. The caller holds the lock.
func (w *watchers) useNewestState(gateways int) {
	if gateways <= maxFewWatchers || w.down != nil {
		return
	}
	w.lastSentAt = w.now()
	if w.unsentState != nil {
		w.setLastState(w.unsentState)
	}
}

// publishDown tells all gateways that the engine does not answer, by a state that names the run that has ended or is silent, if any. It does
// so again as a heartbeat: this process still reads the store and passes on what gateways tell each other.
func (w *watchers) publishDown(state *wire.TargetState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down != nil && w.now().Sub(w.lastSentAt) < w.heartbeatInterval(len(w.live())) && proto.Equal(w.down, state) {
		return
	}
	w.unsentState = nil
	w.down, w.lastSentAt = state, w.now()
	w.broadcastLast()
}

// heartbeatInterval returns the longest pause between two states sent to each of a number of gateways; the caller holds the lock.
func (w *watchers) heartbeatInterval(gateways int) time.Duration {
	interval := heartbeatInterval
	if gateways <= maxFewWatchers {
		interval = fewWatchersHeartbeatInterval
	}
	if w.now().Sub(w.storeReads.requestedAt) < relayRequestTTL {
		interval = min(interval, relayHeartbeatInterval)
	}
	return max(interval, min(scaledByGateways(interval, gateways), maxHeartbeatInterval))
}

// broadcastLoadChange sends the last state again if, since it was sent, the pending prefill time at the target has risen by
// pendingPrefillRiseMs, the number of requests there has changed by minRequestsChange or the error rate has risen by errorRateRise; the
// caller holds the lock.
func (w *watchers) broadcastLoadChange() {
	if w.lastState == nil || w.down != nil {
		return
	}
	live := w.live()
	pending, waiting := w.unreadMs(live)
	requests := sumRequests(live)
	prefillRose := pending >= w.lastState.GetUnreadMs()+pendingPrefillRiseMs && (len(live) <= immediateRiseWatchers || w.loadChangeDue(len(live)))
	if !prefillRose && !w.requestsChangeDue(requests, len(live)) && !w.errorRateRiseDue(len(live)) {
		return
	}
	w.useNewestState(len(live))
	w.lastState = proto.Clone(w.lastState).(*wire.TargetState)
	w.lastState.UnreadMs, w.lastState.WaitingMs, w.lastState.Requests = pending, waiting, requests
	w.loadSentAt = w.now()
	w.broadcastLast()
}

// requestsChangeDue reports whether a new number of requests at the target is to be sent now; the caller holds the lock.
func (w *watchers) requestsChangeDue(requests uint32, gateways int) bool {
	change := int(requests) - int(w.lastState.GetRequests())
	if least := minRequestsChange * growth(gateways); math.Abs(float64(change)) < least {
		return false
	}
	return w.loadChangeDue(gateways)
}

// loadChangeDue reports whether the last message about a change of the load was long enough ago; the caller holds the lock.
func (w *watchers) loadChangeDue(gateways int) bool {
	sentAt := w.loadSentAt
	if gateways > maxFewWatchers && w.lastSentAt.After(sentAt) {
		sentAt = w.lastSentAt
	}
	return w.now().Sub(sentAt) >= time.Duration(gateways)*requestsIntervalPerWatcher
}

// broadcastLast sends the last state, or that the engine does not answer, to all gateways; the caller holds the lock.
func (w *watchers) broadcastLast() {
	w.errorRateSent = w.errorRate()
	next := w.newestUpdate()
	for each := range w.members {
		each.send(next)
	}
}

// newestUpdate returns the last state or, while the engine does not answer, that instead; the caller holds the lock.
func (w *watchers) newestUpdate() update {
	if w.down != nil {
		return update{full: w.down, withoutHoldings: w.down}
	}
	return w.newUpdate(w.lastState)
}

// newUpdate returns a state in both forms in which it may be sent; the caller holds the lock.
func (w *watchers) newUpdate(state *wire.TargetState) update {
	return update{full: state, withoutHoldings: holdings.Without(state), holdings: w.holdings}
}

// loadChanged sends the last state again if the load has changed enough.
func (w *watchers) loadChanged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broadcastLoadChange()
}

// sendDemandToPlanner sends the summed demand of all gateways to the planner, at most every minDemandInterval; the caller
// holds the lock.
func (w *watchers) sendDemandToPlanner() {
	live := w.live()
	recipient := planner(live)
	if recipient == nil || (w.lastState == nil && w.down == nil) || w.now().Sub(w.demandSentAt) < minDemandInterval {
		return
	}
	total := sumDemand(live)
	if len(total) == 0 {
		return
	}
	next := w.newestUpdate()
	for _, state := range []**wire.TargetState{&next.full, &next.withoutHoldings} {
		*state = proto.Clone(*state).(*wire.TargetState)
		(*state).Demand, (*state).HasDemand = total, true
	}
	w.demandSentAt = w.now()
	recipient.send(next)
}

// stateFor returns the message for one gateway: the state with the prompt parts queued for it, the reads of the store and what the other
// gateways have seen of the target's answers, and without the lists of what the target holds if the gateway has them already. Messages on a
// stream arrive in order or not at all, so that the gateway has the lists that were last sent to it.
func (w *watchers) stateFor(next update, recipient *watcher) *wire.TargetState {
	w.mu.Lock()
	defer w.mu.Unlock()
	reads := w.storeReadsFor(recipient)
	state := next.full
	switch {
	case state.GetEngineDown():
	case recipient.keepsLists && len(w.members) > maxFewWatchers && recipient.holdings.Any():
		state = recipient.holdings.Changes(next.full, next.withoutHoldings, next.holdings)
	case recipient.keepsHoldings && recipient.holdings.Has(next.holdings):
		state = next.withoutHoldings
	}
	if !state.GetEngineDown() {
		recipient.holdings.Record(next.full, next.holdings)
	}
	entries, revision := w.quarantine.Changes(recipient.quarantineSent, false)
	recipient.quarantineSent = revision
	if len(recipient.queuedPromptParts) == 0 && reads == nil && entries == nil {
		return w.addOthers(state, recipient)
	}
	message := proto.Clone(w.addOthers(state, recipient)).(*wire.TargetState)
	if recipient.readsPackedParts && len(w.members) > maxFewWatchers {
		message.PartHashes, message.PartTokens = packParts(recipient.queuedPromptParts)
	} else {
		message.Parts = recipient.queuedPromptParts
	}
	recipient.queuedPromptParts = nil
	message.StoreReads, message.Quarantine = reads, entries
	return message
}

// send queues an update in place of one not yet sent; the caller holds the lock of the watchers.
func (w *watcher) send(next update) {
	select {
	case <-w.updates:
	default:
	}
	w.updates <- next
}

// live returns the gateways whose last heartbeat is younger than watcherTimeout; the caller holds the lock.
func (w *watchers) live() []*watcher {
	live := make([]*watcher, 0, len(w.members))
	for each := range w.members {
		if w.now().Sub(each.lastHeartbeatAt) < watcherTimeout {
			live = append(live, each)
		}
	}
	return live
}

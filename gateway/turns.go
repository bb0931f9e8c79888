package gateway

import (
	"context"
	"sync"
	"time"

	"gypsumbank/dispatch"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// turnLink holds the prefill turns that are asked of one agent over one connection.
type turnLink struct {
	changed chan struct{} // holds a value if something is to be sent

	mu       sync.Mutex
	grants   bool // the agent answers
	closed   bool
	lastID   uint64
	open     map[uint64]chan dispatch.TurnAnswer // of the requests without a grant or refusal
	requests []turnRequest                       // to be sent
	ended    []uint64                            // to be sent
}

// turnRequest is a request that has not been sent yet.
type turnRequest struct {
	id uint64
	dispatch.TurnRequest
}

func newTurnLink() *turnLink {
	return &turnLink{changed: make(chan struct{}, 1), open: map[uint64]chan dispatch.TurnAnswer{}}
}

// AskTurn asks the agent of a target for a turn to have a long prompt prefilled; ok is false if the agent is not connected or does
// not answer such requests.
func (a *agentClients) AskTurn(target registry.Target, request dispatch.TurnRequest) (turn dispatch.Turn, ok bool) {
	a.mu.Lock()
	link := a.turnLinks[a.address(target.Address)]
	a.mu.Unlock()
	if link == nil {
		return dispatch.Turn{}, false
	}
	return link.ask(request)
}

// grantsTurns reports whether the agent of a target can be asked for turns now.
func (a *agentClients) grantsTurns(targetAddress string) bool {
	a.mu.Lock()
	link := a.turnLinks[a.address(targetAddress)]
	a.mu.Unlock()
	if link == nil {
		return false
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.grants && !link.closed
}

// setTurnLink records over which connection an agent is asked; nil for none.
func (a *agentClients) setTurnLink(address string, link *turnLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if link == nil {
		delete(a.turnLinks, address)
		return
	}
	a.turnLinks[address] = link
}

// ask queues a request to be sent.
func (l *turnLink) ask(request dispatch.TurnRequest) (turn dispatch.Turn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.grants || l.closed {
		return dispatch.Turn{}, false
	}
	l.lastID++
	id, answers := l.lastID, make(chan dispatch.TurnAnswer, 1)
	l.open[id] = answers
	l.requests = append(l.requests, turnRequest{id: id, TurnRequest: request})
	l.wake()
	var once sync.Once
	return dispatch.Turn{Answers: answers, End: func() { once.Do(func() { l.end(id) }) }}, true
}

// end tells the agent that a turn, or a request for one, is not needed any more.
func (l *turnLink) end(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, id)
	if l.closed {
		return
	}
	for i, r := range l.requests {
		if r.id == id {
			l.requests = append(l.requests[:i], l.requests[i+1:]...)
			return
		}
	}
	l.ended = append(l.ended, id)
	l.wake()
}

func (l *turnLink) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// take returns what is to be sent, or nil.
func (l *turnLink) take(node string, now time.Time) *wire.WatcherUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.requests) == 0 && len(l.ended) == 0 {
		return nil
	}
	update := &wire.WatcherUpdate{Node: node, TurnsOnly: true, EndedPrefills: l.ended}
	for _, r := range l.requests {
		update.PrefillRequests = append(update.PrefillRequests, &wire.PrefillRequest{
			Id: r.id, PrefillMs: float32(r.Rank.Prefill.Seconds() * 1000), Priority: uint32(max(0, r.Rank.Priority)), ObjectiveMs: int32(r.Rank.Objective.Sub(now).Milliseconds()),
			WaitMs: uint32(max(0, r.GiveUp.Sub(now).Milliseconds())), Returned: r.Rank.Returned, Content: r.Content,
			Customer: uint64(r.Rank.Customer), CustomerWeight: float32(r.Rank.Weight),
		})
	}
	l.requests, l.ended = nil, nil
	return update
}

// send sends requests and ends as they come, until ctx ends or the stream breaks.
func (l *turnLink) send(ctx context.Context, node string, stream wire.DRPCAgent_WatchClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
		}
		if update := l.take(node, time.Now()); update != nil {
			if err := stream.Send(update); err != nil {
				return
			}
		}
	}
}

// apply passes on the answers of the agent to those who wait for them.
func (l *turnLink) apply(state *wire.TargetState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !state.GetEngineDown() {
		l.grants = state.GetGrantsTurns()
	}
	for _, w := range state.GetWaitingPrefills() {
		answer := dispatch.TurnAnswer{Kind: dispatch.TurnWaits, Wait: time.Duration(w.GetWaitMs()) * time.Millisecond}
		if w.GetRefused() {
			answer.Kind = dispatch.TurnRefused
		}
		l.answer(w.GetId(), answer)
	}
	for _, id := range state.GetGrantedPrefills() {
		l.answer(id, dispatch.TurnAnswer{Kind: dispatch.TurnGranted})
	}
}

// answer replaces the answer that has not been read, if there is one; the caller holds the lock.
func (l *turnLink) answer(id uint64, answer dispatch.TurnAnswer) {
	answers, ok := l.open[id]
	if !ok {
		return // it has been withdrawn meanwhile, which the agent will learn
	}
	select {
	case <-answers:
	default:
	}
	answers <- answer
	if answer.Kind != dispatch.TurnWaits {
		delete(l.open, id)
	}
}

// close tells all who wait that the connection is lost.
func (l *turnLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for id := range l.open {
		l.answer(id, dispatch.TurnAnswer{Kind: dispatch.TurnLost})
	}
}

package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"gypsumbank/occupancy"
	"gypsumbank/wire"
)

// heartbeat is the longest pause between two states that a gateway is sent.
const heartbeat = 500 * time.Millisecond

// service answers gateways.
type service struct{ agent *Agent }

// Watch streams the state of the target as it changes.
func (s *service) Watch(_ *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	ctx := stream.Context()
	updates := s.agent.watches.add()
	defer s.agent.watches.remove(updates)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case state := <-updates:
			if err := stream.Send(state); err != nil {
				return err
			}
		}
	}
}

// Ensure has the target hold a model and adapter and returns when it does or can't.
func (s *service) Ensure(ctx context.Context, in *wire.EnsureRequest) (*wire.EnsureReply, error) {
	err := s.agent.ensure(ctx, in.GetModel(), in.GetAdapter(), in.GetEvict())
	reply := &wire.EnsureReply{}
	switch {
	case err == nil:
		reply.Outcome = wire.EnsureOutcome_ENSURE_HELD
	case errors.Is(err, occupancy.ErrUnknownModel):
		reply.Outcome = wire.EnsureOutcome_ENSURE_UNKNOWN_MODEL
	case errors.Is(err, occupancy.ErrNoRoom):
		reply.Outcome = wire.EnsureOutcome_ENSURE_NO_ROOM
	default:
		reply.Outcome = wire.EnsureOutcome_ENSURE_TARGET_DOWN
	}
	if err != nil {
		reply.Detail = err.Error()
		s.agent.log.WithError(err).WithField("request", in.GetRequestId()).WithField("model", in.GetModel()).
			WithField("adapter", in.GetAdapter()).WithField("evict", in.GetEvict()).Info("not held")
	}
	return reply, nil
}

// state returns the message with what the agent knows of its engine.
func (a *Agent) state() *wire.TargetState {
	r := a.report
	state := &wire.TargetState{
		TargetId: a.targetID, Born: r.Born, Sequence: r.Sequence,
		Waiting: uint32(r.Waiting), Running: uint32(r.Running), KvUsed: uint32(r.KVUsed), KvTotal: uint32(r.KVTotal),
		Draining: r.Draining, RemainingMs: uint32(r.Remaining.Milliseconds()), Busy: r.Busy,
		InMemory: r.InMemory, OnDisk: r.OnDisk, Loading: a.occupancy.Loading(),
		AgeMs: uint32(time.Since(a.reportAt).Milliseconds()),
	}
	for _, m := range a.occupancy.Models() {
		state.Models = append(state.Models, &wire.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	return state
}

// watches hands the newest state to all gateways that watch.
type watches struct {
	mu       sync.Mutex
	channels map[chan *wire.TargetState]struct{}
	last     *wire.TargetState
	sentAt   time.Time
}

func newWatches() *watches { return &watches{channels: map[chan *wire.TargetState]struct{}{}} }

func (w *watches) add() chan *wire.TargetState {
	updates := make(chan *wire.TargetState, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.channels[updates] = struct{}{}
	if w.last != nil {
		updates <- w.last
	}
	return updates
}

func (w *watches) remove(updates chan *wire.TargetState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, updates)
}

// publish sends a state that differs from the last one, or is due as a heartbeat; a gateway that lags gets the newest.
func (w *watches) publish(state *wire.TargetState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state.Watchers = uint32(len(w.channels))
	if w.last != nil && sameHoldings(w.last, state) {
		since := time.Since(w.sentAt)
		if since < loadPause || (since < heartbeat && sameLoad(w.last, state)) {
			return
		}
	}
	w.last, w.sentAt = state, time.Now()
	for updates := range w.channels {
		select {
		case <-updates:
		default:
		}
		updates <- state
	}
}

// sameHoldings reports whether two states agree on what gateways must learn at once.
func sameHoldings(a, b *wire.TargetState) bool {
	return a.GetTargetId() == b.GetTargetId() && a.GetBorn() == b.GetBorn() && a.GetDraining() == b.GetDraining() &&
		a.GetBusy() == b.GetBusy() && a.GetLoading() == b.GetLoading() && len(a.GetModels()) == len(b.GetModels())
}

// sameLoad reports whether two states differ in no other thing that a gateway decides by.
func sameLoad(a, b *wire.TargetState) bool {
	return a.GetSequence() == b.GetSequence() && a.GetWaiting() == b.GetWaiting() &&
		a.GetRunning()/runningStep == b.GetRunning()/runningStep && a.GetWatchers() == b.GetWatchers()
}

const (
	// loadPause is the least time between two states that differ in load only.
	loadPause = 100 * time.Millisecond
	// runningStep is by how many running requests a state must differ to be told before the next heartbeat.
	runningStep = 4
)

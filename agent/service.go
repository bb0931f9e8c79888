package agent

import (
	"context"
	"errors"
	"time"

	"gypsumbank/occupancy"
	"gypsumbank/wire"
)

// service answers gateways.
type service struct{ agent *Agent }

// Watch streams the state of the target as it changes.
func (s *service) Watch(stream wire.DRPCAgent_WatchStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	watcher := s.agent.watchers.add()
	defer s.agent.watchers.remove(watcher)
	go func() {
		defer cancel()
		for {
			update, err := stream.Recv()
			if err != nil {
				return
			}
			s.agent.watchers.heard(watcher, update)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case next := <-watcher.updates:
			if err := stream.Send(s.agent.watchers.personal(next, watcher)); err != nil {
				return err
			}
		}
	}
}

// Ensure has the target hold a model and adapter and returns when it does or can't.
func (s *service) Ensure(ctx context.Context, in *wire.EnsureRequest) (*wire.EnsureReply, error) {
	err := s.agent.ensure(ctx, in.GetModel(), in.GetAdapter(), in.GetEvict())
	reply := &wire.EnsureReply{}
	var noBudget *noBudgetError
	switch {
	case err == nil:
		reply.Outcome = wire.EnsureOutcome_ENSURE_HELD
	case errors.Is(err, occupancy.ErrUnknownModel):
		reply.Outcome = wire.EnsureOutcome_ENSURE_UNKNOWN_MODEL
	case errors.Is(err, occupancy.ErrNoRoom):
		reply.Outcome = wire.EnsureOutcome_ENSURE_NO_ROOM
	case errors.As(err, &noBudget):
		reply.Outcome = wire.EnsureOutcome_ENSURE_NO_BUDGET
		reply.WaitMs = uint32(noBudget.wait.Milliseconds())
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
		AgeMs:       uint32(time.Since(a.reportAt).Milliseconds()),
		AdapterRoom: uint32(a.occupancy.AvailableAdapterSlots(time.Now())),
	}
	for _, m := range a.occupancy.Models() {
		state.Models = append(state.Models, &wire.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	return state
}

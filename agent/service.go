package agent

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
	"gypsumbank/occupancy"
	"gypsumbank/wire"
)

// agentServer implements the RPC service that gateways call.
type agentServer struct {
	wire.DRPCAgentUnimplementedServer
	agent *Agent
}

// Watch streams the state of the target to a gateway as it changes, and handles the heartbeats that the gateway sends.
func (s *agentServer) Watch(stream wire.DRPCAgent_WatchStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	watcher := s.agent.watchers.add()
	defer s.agent.watchers.remove(watcher)
	turns := s.agent.turns.add()
	defer s.agent.turns.remove(turns)
	go func() {
		defer cancel()
		for {
			heartbeat, err := stream.Recv()
			if err != nil {
				return
			}
			s.agent.turns.handle(turns, heartbeat)
			if heartbeat.GetTurnsOnly() {
				continue
			}
			s.agent.observeEpoch(epoch.Epoch(heartbeat.GetStoreEpoch()), heartbeat.GetNode())
			s.agent.watchers.handleHeartbeat(watcher, heartbeat)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-turns.ready:
			if err := stream.Send(s.agent.turns.take(turns)); err != nil {
				return err
			}
		case next := <-watcher.updates:
			if err := stream.Send(s.agent.watchers.stateFor(next, watcher)); err != nil {
				return err
			}
		}
	}
}

// observeEpoch records the epoch of the store that a gateway knows; it is 0 before the gateway has read the store.
func (a *Agent) observeEpoch(known epoch.Epoch, gateway string) {
	if known != 0 && a.epochs.Observe(known) {
		a.log.WithFields(logrus.Fields{"epoch": known, "known-from": gateway}).Warn("store has come back from an older copy")
	}
}

// Ensure requests that the target load a model and adapter, and returns once it holds them or the request has failed.
func (s *agentServer) Ensure(ctx context.Context, in *wire.EnsureRequest) (*wire.EnsureReply, error) {
	err := s.agent.ensureHeld(ctx, in.GetModel(), in.GetAdapter(), in.GetEvict())
	reply := &wire.EnsureReply{}
	var noBudget *noBudgetError
	switch {
	case err == nil:
		reply.Outcome = wire.EnsureOutcome_ENSURE_HELD
	case errors.Is(err, occupancy.ErrUnknownModel):
		s.agent.requestRoutes()
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
			WithField("adapter", in.GetAdapter()).WithField("evict", in.GetEvict()).Info("model or adapter could not be made available")
	}
	return reply, nil
}

// Origin returns at which software version a stream began, if a gateway has told this agent.
func (s *agentServer) Origin(_ context.Context, in *wire.OriginRequest) (*wire.OriginReply, error) {
	version, age, known := s.agent.watchers.origins.Lookup(in.GetStream())
	return &wire.OriginReply{Known: known, SoftwareVersion: string(version), AgeMs: uint32(age.Milliseconds())}, nil
}

// targetState returns the state of the engine as sent to gateways.
func (a *Agent) targetState() *wire.TargetState {
	r := a.lastReport
	state := &wire.TargetState{
		TargetId: a.targetID, Born: r.Born, Sequence: r.Sequence,
		Waiting: uint32(r.Waiting), Running: uint32(r.Running), KvUsed: uint32(r.KVUsed), KvTotal: uint32(r.KVTotal),
		Draining: r.Draining, RemainingMs: uint32(r.Remaining.Milliseconds()), Busy: r.Busy,
		InMemory: r.InMemory, OnDisk: r.OnDisk, Loading: a.occupancy.Loading(),
		AgeMs:       uint32(time.Since(a.lastReportAt).Milliseconds()),
		AdapterRoom: uint32(a.occupancy.AvailableAdapterSlots(time.Now())),
		GrantsTurns: true,
	}
	for _, m := range a.occupancy.Models() {
		state.Models = append(state.Models, &wire.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	return state
}

// requestRoutes has the routes read soon.
func (a *Agent) requestRoutes() {
	select {
	case a.routesNeeded <- struct{}{}:
	default:
	}
}

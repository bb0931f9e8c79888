package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/engine"
	"gypsumbank/loader"
	"gypsumbank/meter"
	"gypsumbank/queue"
	"gypsumbank/timeline"
	"gypsumbank/wire"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	eventBufferSize   = 64
	crashCheckTimeout = 500 * time.Millisecond
	cancelTimeout     = 200 * time.Millisecond
	refusalRetryAfter = 500 * time.Millisecond
)

var (
	errDraining   = errors.New("target is leaving")
	errSuperseded = errors.New("superseded by a later attempt of the same request")
	errMoved      = errors.New("run moves to another target")
	errPreempted  = errors.New("run gives its slot to another")
	errEngineDown = errors.New("engine had crashed before the run began")
)

// run is an attempt of a request that is in progress at this target.
type run struct {
	attempt uint32
	cancel  context.CancelCauseFunc
	ended   chan struct{} // closed when the run has ended
}

// Generate runs a request and streams its events, with heartbeats while there is nothing else to send.
func (s *Sidecar) Generate(request *wire.GenerateRequest, stream wire.DRPCSidecar_GenerateStream) error {
	s.node.Ring().Observe(request.GetClock())
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	if refused := s.refusalBeforeRun(request); refused != nil {
		return stream.Send(refusedEvent(request, refused))
	}
	current, err := s.registerRun(ctx, request, cancel)
	if err != nil {
		return stream.Send(s.finalEvent(request, err))
	}
	events := make(chan *wire.GenerateEvent, eventBufferSize)
	go func() {
		defer close(events)
		defer s.unregisterRun(request, current)
		s.produceEvents(ctx, request, events)
	}()
	err = s.sendEvents(request, stream, events)
	cancel(err)
	for range events {
	}
	return err
}

// refusalBeforeRun returns why a request is refused before it is queued, or nil.
func (s *Sidecar) refusalBeforeRun(request *wire.GenerateRequest) *wire.Refused {
	switch {
	case s.loader == nil:
		return s.newRefusal(wire.RefusalReason_REFUSAL_UNKNOWN_MODEL, "target is not a model engine")
	case s.draining.Load():
		return s.newRefusal(wire.RefusalReason_REFUSAL_LEAVING, "target is leaving")
	case s.node.Suspects().Blocked(request.GetFingerprint()):
		return s.newRefusal(wire.RefusalReason_REFUSAL_SUSPECT, "content crashed targets")
	}
	return nil
}

// registerRun registers a run after it has cancelled an earlier attempt of the same request and waited for its end. It
// returns errSuperseded if the registered attempt is not an earlier one.
func (s *Sidecar) registerRun(ctx context.Context, request *wire.GenerateRequest, cancel context.CancelCauseFunc) (*run, error) {
	current := &run{attempt: request.GetAttempt(), cancel: cancel, ended: make(chan struct{})}
	for {
		s.mu.Lock()
		earlier, ok := s.runs[request.GetRequestId()]
		if !ok {
			s.runs[request.GetRequestId()] = current
			s.mu.Unlock()
			return current, nil
		}
		s.mu.Unlock()
		if earlier.attempt >= current.attempt {
			return nil, errSuperseded
		}
		earlier.cancel(errSuperseded)
		select {
		case <-earlier.ended:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Sidecar) unregisterRun(request *wire.GenerateRequest, current *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, request.GetRequestId())
	close(current.ended)
}

// sendEvents forwards events to the stream until the channel is closed. Nothing else sends on the stream meanwhile, so
// it also sends a heartbeat after each full interval without an event.
func (s *Sidecar) sendEvents(request *wire.GenerateRequest, stream wire.DRPCSidecar_GenerateStream, events <-chan *wire.GenerateEvent) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	idle := false
	for {
		select {
		case event, ok := <-events:
			if !ok {
				return nil
			}
			idle = false
			if event.GetToken() == nil {
				event.Clock = s.node.Ring().NextClock()
			}
			if err := stream.Send(event); err != nil {
				return err
			}
		case <-ticker.C:
			if idle {
				if err := stream.Send(heartbeatEvent(request)); err != nil {
					return err
				}
			}
			idle = true
		}
	}
}

// produceEvents runs a request and writes its events to the channel: accepted, then tokens, and always a finished,
// refused or interrupted event at the end.
func (s *Sidecar) produceEvents(ctx context.Context, request *wire.GenerateRequest, events chan<- *wire.GenerateEvent) {
	status := &wire.NodeStatus{}
	s.fillStatus(status)
	events <- &wire.GenerateEvent{RequestId: request.GetRequestId(), Kind: &wire.GenerateEvent_Accepted{Accepted: &wire.Accepted{Hint: status.GetHint()}}}
	finished, err := s.execute(ctx, request, events)
	if err != nil {
		events <- s.finalEvent(request, err)
		return
	}
	s.recordEvent(timeline.RequestFinished, request, finished.GetReason())
	events <- &wire.GenerateEvent{RequestId: request.GetRequestId(), Kind: &wire.GenerateEvent_Finished{Finished: finished}}
}

// execute runs a request to its end. It holds the lease on the model throughout, but acquires a new slot after each
// preemption and continues after the tokens generated so far.
func (s *Sidecar) execute(ctx context.Context, request *wire.GenerateRequest, events chan<- *wire.GenerateEvent) (*wire.Finished, error) {
	lease, err := s.loader.Acquire(ctx, request.GetModel(), request.GetAdapter(), request.GetMayLoad())
	if err != nil {
		return nil, err
	}
	defer s.loader.Release(lease)
	ticket := queue.Request{
		Member:         request.GetMember(),
		Priority:       int(request.GetPriority()),
		Exclusive:      request.GetKnownCrashes() > 0,
		AttainedTokens: len(request.GetPrefix()),
	}
	progress := &runProgress{tokens: request.GetPrefix()}
	for {
		slot, err := s.queue.Acquire(ctx, ticket)
		if err != nil {
			return nil, err
		}
		finished, err := s.streamFromEngine(ctx, request, lease, slot, progress, events)
		slot.Release(err == nil)
		if !errors.Is(err, errPreempted) {
			return finished, err
		}
		ticket.AttainedTokens = len(progress.tokens)
	}
}

// runProgress holds the tokens generated so far, from which a preempted run continues in its next slot.
type runProgress struct{ tokens []string }

// streamFromEngine runs a request on the engine until it ends, is cancelled or is preempted. It checks the order of the
// tokens and meters them.
func (s *Sidecar) streamFromEngine(ctx context.Context, request *wire.GenerateRequest, lease loader.Lease, slot *queue.Slot, progress *runProgress, events chan<- *wire.GenerateEvent) (*wire.Finished, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.cancelOnStop(ctx, slot, cancel)
	incarnation, begun := s.loader.View().Incarnation, time.Now()
	lastTokenAt := begun
	finished := &wire.Finished{}
	engineReq := s.engineRequest(request, lease, progress.tokens)
	err := s.engine.Generate(ctx, engineReq, func(chunk engine.Chunk) error {
		next := len(progress.tokens)
		if chunk.Done {
			finished.Reason = chunk.Reason
			finished.PromptTokens = uint32(chunk.PromptTokens)
			finished.CompletionTokens = uint32(next)
			return nil
		}
		if chunk.Index != next {
			return fmt.Errorf("%w: token %d came in place of %d", engine.ErrStreamBroken, chunk.Index, next)
		}
		now := time.Now()
		s.meterToken(request, slot, now.Sub(lastTokenAt))
		lastTokenAt = now
		if err := s.queueEvent(ctx, events, tokenEvent(request, chunk)); err != nil {
			return err
		}
		progress.tokens = append(progress.tokens, chunk.Token)
		return nil
	})
	if err != nil && ctx.Err() != nil {
		s.cancelOnEngine(engineReq.ID)
	}
	if err != nil {
		return nil, s.endCause(ctx, request, incarnation, begun, err)
	}
	s.node.Meter().Add(request.GetMember(), meter.Use{PromptTokens: uint64(finished.GetPromptTokens()), Requests: 1})
	if request.GetKnownCrashes() > 0 {
		s.node.Suspects().Clear(request.GetFingerprint())
	}
	return finished, nil
}

// cancelOnEngine cancels a run on the engine. Without it, the engine would notice the closed connection only when it
// writes the next tokens, and the run would hold its place in the batch until then.
func (s *Sidecar) cancelOnEngine(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engine.Cancel(ctx, id); err != nil {
		s.log.WithError(err).WithField("run", id).Debug("cancelling a run on the engine failed")
	}
}

// cancelOnStop cancels a run that is preempted or that has not ended within the grace period of a drain.
func (s *Sidecar) cancelOnStop(ctx context.Context, slot *queue.Slot, cancel context.CancelCauseFunc) {
	select {
	case <-slot.Preempted:
		cancel(errPreempted)
	case <-s.moveRuns:
		cancel(errMoved)
	case <-ctx.Done():
	}
}

func (s *Sidecar) queueEvent(ctx context.Context, events chan<- *wire.GenerateEvent, event *wire.GenerateEvent) error {
	select {
	case events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// meterToken charges one token to the slot and counts it for the member, with the run's share of the accelerator time
// since its previous token: the elapsed time divided by the number of runs that share the accelerator.
func (s *Sidecar) meterToken(request *wire.GenerateRequest, slot *queue.Slot, elapsed time.Duration) {
	acceleratorTime := elapsed / time.Duration(max(1, s.queue.Running()))
	s.node.Meter().Add(request.GetMember(), meter.Use{CompletionTokens: 1, AcceleratorTime: acceleratorTime})
	slot.Charge(1)
}

func heartbeatEvent(request *wire.GenerateRequest) *wire.GenerateEvent {
	return &wire.GenerateEvent{
		RequestId: request.GetRequestId(),
		Kind:      &wire.GenerateEvent_Heartbeat{Heartbeat: &wire.Heartbeat{}},
	}
}

func tokenEvent(request *wire.GenerateRequest, chunk engine.Chunk) *wire.GenerateEvent {
	return &wire.GenerateEvent{
		RequestId: request.GetRequestId(),
		Kind:      &wire.GenerateEvent_Token{Token: &wire.Token{Index: uint32(chunk.Index), Text: chunk.Token}},
	}
}

func (s *Sidecar) engineRequest(request *wire.GenerateRequest, lease loader.Lease, prefix []string) engine.Request {
	engineReq := engine.Request{
		ID:        fmt.Sprintf("%s-%d", request.GetRequestId(), request.GetAttempt()),
		Model:     lease.Model.String(),
		Prompt:    request.GetPrompt(),
		Prefix:    prefix,
		MaxTokens: int(request.GetMaxTokens()),
		Seed:      request.GetSeed(),
		Priority:  int(request.GetPriority()),
	}
	if lease.Adapter.Name != "" {
		engineReq.Adapter = lease.Adapter.String()
	}
	return engineReq
}

func (s *Sidecar) recordEvent(kind timeline.Kind, request *wire.GenerateRequest, detail string) {
	s.node.Ring().Add(timeline.Event{
		Kind:      kind,
		RequestID: request.GetRequestId(),
		Customer:  request.GetCustomer(),
		Target:    s.config.Node.Name,
		Model:     request.GetModel(),
		Detail:    detail,
	})
	s.log.WithFields(logrus.Fields{
		"request-id": request.GetRequestId(),
		"customer":   request.GetCustomer(),
		"model":      request.GetModel(),
		"detail":     detail,
	}).Debug(string(kind))
}

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
	eventBuffer       = 64
	crashCheckTimeout = 500 * time.Millisecond
	cancelTimeout     = 200 * time.Millisecond
	queueRetryAfter   = 500 * time.Millisecond
)

var (
	errLeaving    = errors.New("target is leaving")
	errSuperseded = errors.New("superseded by a later attempt of the same request")
	errMoving     = errors.New("run moves to another target")
	errPreempted  = errors.New("run gives its slot to another")
)

// run is one attempt of a request at this target.
type run struct {
	attempt uint32
	cancel  context.CancelCauseFunc
	ended   chan struct{}
}

// Generate runs a request and streams its events; it sends a heartbeat while there is nothing else to send.
func (s *Sidecar) Generate(request *wire.GenerateRequest, stream wire.DRPCSidecar_GenerateStream) error {
	s.node.Ring().Observe(request.GetClock())
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	if refused := s.precheck(request); refused != nil {
		return stream.Send(refusedEvent(request, refused))
	}
	own, err := s.begin(ctx, request, cancel)
	if err != nil {
		return stream.Send(s.ending(request, err))
	}
	events := make(chan *wire.GenerateEvent, eventBuffer)
	go func() {
		defer close(events)
		defer s.end(request, own)
		s.produce(ctx, request, events)
	}()
	err = s.forward(request, stream, events)
	cancel(err)
	for range events {
	}
	return err
}

func (s *Sidecar) precheck(request *wire.GenerateRequest) *wire.Refused {
	switch {
	case s.loader == nil:
		return s.refusal(wire.RefusalReason_REFUSAL_UNKNOWN_MODEL, "target is not a model engine")
	case s.leaving.Load():
		return s.refusal(wire.RefusalReason_REFUSAL_LEAVING, "target is leaving")
	case s.node.Suspects().Blocked(request.GetFingerprint()):
		return s.refusal(wire.RefusalReason_REFUSAL_SUSPECT, "content crashed targets")
	}
	return nil
}

// begin registers a run and ends an earlier attempt of the same request.
func (s *Sidecar) begin(ctx context.Context, request *wire.GenerateRequest, cancel context.CancelCauseFunc) (*run, error) {
	own := &run{attempt: request.GetAttempt(), cancel: cancel, ended: make(chan struct{})}
	for {
		s.mu.Lock()
		earlier, ok := s.runs[request.GetRequestId()]
		if !ok {
			s.runs[request.GetRequestId()] = own
			s.mu.Unlock()
			return own, nil
		}
		s.mu.Unlock()
		if earlier.attempt >= own.attempt {
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

func (s *Sidecar) end(request *wire.GenerateRequest, own *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, request.GetRequestId())
	close(own.ended)
}

// forward is the only sender on the stream.
func (s *Sidecar) forward(request *wire.GenerateRequest, stream wire.DRPCSidecar_GenerateStream, events <-chan *wire.GenerateEvent) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	quiet := false
	for {
		select {
		case event, ok := <-events:
			if !ok {
				return nil
			}
			quiet = false
			if event.GetToken() == nil {
				event.Clock = s.node.Ring().NextClock()
			}
			if err := stream.Send(event); err != nil {
				return err
			}
		case <-ticker.C:
			if quiet {
				if err := stream.Send(heartbeatEvent(request)); err != nil {
					return err
				}
			}
			quiet = true
		}
	}
}

// produce runs a request and always ends with a finished, refused or interrupted event.
func (s *Sidecar) produce(ctx context.Context, request *wire.GenerateRequest, events chan<- *wire.GenerateEvent) {
	status := &wire.NodeStatus{}
	s.describe(status)
	events <- &wire.GenerateEvent{RequestId: request.GetRequestId(), Kind: &wire.GenerateEvent_Accepted{Accepted: &wire.Accepted{Hint: status.GetHint()}}}
	finished, err := s.execute(ctx, request, events)
	if err != nil {
		events <- s.ending(request, err)
		return
	}
	s.record(timeline.RequestFinished, request, finished.GetReason())
	events <- &wire.GenerateEvent{RequestId: request.GetRequestId(), Kind: &wire.GenerateEvent_Finished{Finished: finished}}
}

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
	progress := &stint{prefix: request.GetPrefix()}
	for {
		slot, err := s.queue.Acquire(ctx, ticket)
		if err != nil {
			return nil, err
		}
		finished, err := s.stream(ctx, request, lease, slot, progress, events)
		slot.Release(err == nil)
		if !errors.Is(err, errPreempted) {
			return finished, err
		}
		ticket.AttainedTokens = len(progress.prefix)
	}
}

// stint carries the tokens of a run from one slot to the next.
type stint struct{ prefix []string }

// stream runs a request on the engine until it ends or is preempted, checks the order of its tokens and meters them.
func (s *Sidecar) stream(ctx context.Context, request *wire.GenerateRequest, lease loader.Lease, slot *queue.Slot, progress *stint, events chan<- *wire.GenerateEvent) (*wire.Finished, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.watchStop(ctx, slot, cancel)
	incarnation := s.loader.View().Incarnation
	last := time.Now()
	finished := &wire.Finished{}
	prepared := s.engineRequest(request, lease, progress.prefix)
	err := s.engine.Generate(ctx, prepared, func(chunk engine.Chunk) error {
		next := len(progress.prefix)
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
		s.charge(request, slot, now.Sub(last))
		last = now
		if err := s.emit(ctx, events, tokenEvent(request, chunk)); err != nil {
			return err
		}
		progress.prefix = append(progress.prefix, chunk.Token)
		return nil
	})
	if err != nil && ctx.Err() != nil {
		s.cancelOnEngine(prepared.ID)
	}
	if err != nil {
		return nil, s.causeOf(ctx, request, incarnation, err)
	}
	s.node.Meter().Add(request.GetMember(), meter.Use{PromptTokens: uint64(finished.GetPromptTokens()), Requests: 1})
	if request.GetKnownCrashes() > 0 {
		s.node.Suspects().Clear(request.GetFingerprint())
	}
	return finished, nil
}

// cancelOnEngine frees the place of a run in the batch, which the engine would else notice only at its next tokens.
func (s *Sidecar) cancelOnEngine(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engine.Cancel(ctx, id); err != nil {
		s.log.WithError(err).WithField("run", id).Debug("run not cancelled on the engine")
	}
}

// watchStop cancels a run that is preempted or outlives the grace of a drain.
func (s *Sidecar) watchStop(ctx context.Context, slot *queue.Slot, cancel context.CancelCauseFunc) {
	select {
	case <-slot.Preempted:
		cancel(errPreempted)
	case <-s.moving:
		cancel(errMoving)
	case <-ctx.Done():
	}
}

func (s *Sidecar) emit(ctx context.Context, events chan<- *wire.GenerateEvent, event *wire.GenerateEvent) error {
	select {
	case events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Sidecar) charge(request *wire.GenerateRequest, slot *queue.Slot, elapsed time.Duration) {
	share := elapsed / time.Duration(max(1, s.queue.Running()))
	s.node.Meter().Add(request.GetMember(), meter.Use{CompletionTokens: 1, AcceleratorTime: share})
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
	prepared := engine.Request{
		ID:        fmt.Sprintf("%s-%d", request.GetRequestId(), request.GetAttempt()),
		Model:     lease.Model.String(),
		Prompt:    request.GetPrompt(),
		Prefix:    prefix,
		MaxTokens: int(request.GetMaxTokens()),
		Seed:      request.GetSeed(),
		Priority:  int(request.GetPriority()),
	}
	if lease.Adapter.Name != "" {
		prepared.Adapter = lease.Adapter.String()
	}
	return prepared
}

func (s *Sidecar) record(kind timeline.Kind, request *wire.GenerateRequest, detail string) {
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

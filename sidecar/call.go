package sidecar

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/bytebudget"
	"gypsumbank/completeness"
	"gypsumbank/idempotency"
	"gypsumbank/meter"
	"gypsumbank/service"
	"gypsumbank/timeline"
	"gypsumbank/wire"
)

// Call runs one call of the plain service, or returns the stored answer if a call with the same idempotency key has
// run.
func (s *Sidecar) Call(ctx context.Context, request *wire.CallRequest) (*wire.CallReply, error) {
	s.activeCalls.Add(1)
	defer s.activeCalls.Add(-1)
	s.node.Ring().Observe(request.GetClock())
	memory := s.answerMemory.Begin(request.GetMember())
	defer memory.Release()
	reply := s.handleCall(ctx, request, memory)
	reply.Clock = s.node.Ring().NextClock()
	return reply, nil
}

func (s *Sidecar) handleCall(ctx context.Context, request *wire.CallRequest, memory *bytebudget.Hold) *wire.CallReply {
	if s.registry == nil || request.GetService() != s.config.Sidecar.Service {
		return s.refusedReply(wire.RefusalReason_REFUSAL_UNKNOWN_MODEL, "target is not a replica of the service")
	}
	if s.draining.Load() {
		return s.refusedReply(wire.RefusalReason_REFUSAL_LEAVING, errDraining.Error())
	}
	if s.node.Suspects().Blocked(request.GetFingerprint()) {
		return s.refusedReply(wire.RefusalReason_REFUSAL_SUSPECT, "targets crashed while they ran this call")
	}
	if request.GetIdempotencyKey() == "" {
		answer, err := s.callTarget(ctx, request, memory)
		return s.ranReply(ctx, request, answer, err)
	}
	key := idempotency.NewKey(request.GetCustomer(), request.GetIdempotencyKey())
	return s.applyDecision(ctx, request, s.registry.Begin(ctx, key, requestDigest(request)), memory)
}

func (s *Sidecar) applyDecision(ctx context.Context, request *wire.CallRequest, decision idempotency.Decision, memory *bytebudget.Hold) *wire.CallReply {
	switch decision := decision.(type) {
	case idempotency.Run:
		return s.runKeyedCall(ctx, request, decision, memory)
	case idempotency.Replay:
		return s.replayReply(request, decision)
	case idempotency.Unknown:
		s.recordCallEvent(timeline.CallUnknown, request, decision.Detail)
		return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: decision.Detail}
	case idempotency.NotOwner:
		reply := s.refusedReply(wire.RefusalReason_REFUSAL_NOT_HOME, "another target owns the key")
		reply.Owner = decision.Owner
		return reply
	case idempotency.NotReady:
		reply := s.refusedReply(wire.RefusalReason_REFUSAL_BUSY, decision.Detail)
		reply.Refused.RetryAfterMs = uint32(decision.RetryAfter.Milliseconds())
		return reply
	case idempotency.Mismatch:
		return s.refusedReply(wire.RefusalReason_REFUSAL_KEY_REUSED, "the idempotency key was used with another request")
	}
	return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: "no decision"}
}

// runKeyedCall runs a call with an idempotency key. The call is not cancelled if the entry disconnects, so that a retry
// with the same key learns its outcome.
func (s *Sidecar) runKeyedCall(ctx context.Context, request *wire.CallRequest, run idempotency.Run, memory *bytebudget.Hold) *wire.CallReply {
	ctx = context.WithoutCancel(ctx)
	answer, err := s.callTarget(ctx, request, memory)
	s.registry.Finish(ctx, run, answer, err)
	s.recordCallEvent(timeline.CallRun, request, "")
	return s.ranReply(ctx, request, answer, err)
}

// ranReply is targetReply for a call that was sent now. If the service has ended under it, its content may be the cause.
func (s *Sidecar) ranReply(ctx context.Context, request *wire.CallRequest, answer service.Answer, err error) *wire.CallReply {
	reply := s.targetReply(answer, err)
	switch {
	case err == nil:
		s.node.Suspects().Clear(request.GetFingerprint())
	case errors.Is(err, service.ErrNoAnswer) && s.serviceEnded(ctx):
		reply.CrashCount = request.GetKnownCrashes() + 1
		s.node.Suspects().Raise(request.GetFingerprint(), reply.GetCrashCount())
		s.recordCallEvent(timeline.SuspectSeen, request, fmt.Sprintf("%d crashes", reply.GetCrashCount()))
	}
	return reply
}

// serviceEnded reports whether nothing listens at the address of the service.
func (s *Sidecar) serviceEnded(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	return errors.Is(s.service.Dial(ctx), syscall.ECONNREFUSED)
}

// replayReply returns the stored answer of an earlier call with the same key, if it was kept.
func (s *Sidecar) replayReply(request *wire.CallRequest, decision idempotency.Replay) *wire.CallReply {
	s.recordCallEvent(timeline.CallReplayed, request, "")
	if decision.Answer == nil {
		return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_RUN, Replayed: true, Detail: "the answer was too large to keep"}
	}
	reply := s.targetReply(*decision.Answer, nil)
	reply.Replayed = true
	return reply
}

func (s *Sidecar) callTarget(ctx context.Context, request *wire.CallRequest, memory *bytebudget.Hold) (service.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Sidecar.CallTimeout)
	defer cancel()
	call := service.Call{Method: request.GetMethod(), Path: request.GetPath(), Body: request.GetBody()}
	for _, header := range request.GetHeaders() {
		call.Headers = append(call.Headers, service.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	answer, err := s.service.Do(ctx, call, memory)
	if err == nil && answer.Completeness != completeness.Whole && s.serviceEnded(ctx) {
		return service.Answer{}, fmt.Errorf("%w: the service ended with its answer", service.ErrNoAnswer)
	}
	return answer, err
}

// targetReply turns the answer of the service into a reply. The outcome is not-run only if the call was certainly not
// sent.
func (s *Sidecar) targetReply(answer service.Answer, err error) *wire.CallReply {
	switch {
	case errors.Is(err, service.ErrNotSent):
		return s.refusedReply(wire.RefusalReason_REFUSAL_TARGET_DOWN, err.Error())
	case err != nil:
		return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
	}
	reply := &wire.CallReply{Outcome: wire.Outcome_OUTCOME_RUN, Status: uint32(answer.Status), Body: answer.Body}
	if answer.Completeness != completeness.Whole {
		reply.AnswerEnd = wire.AnswerEnd_ANSWER_END_UNPROVEN
	}
	for _, header := range answer.Headers {
		reply.Headers = append(reply.Headers, &wire.Header{Name: header.Name, Value: header.Value})
	}
	return reply
}

func (s *Sidecar) refusedReply(reason wire.RefusalReason, detail string) *wire.CallReply {
	return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: detail, Refused: s.newRefusal(reason, detail)}
}

// recordCallEvent counts one request of the member and adds an event to the timeline.
func (s *Sidecar) recordCallEvent(kind timeline.Kind, request *wire.CallRequest, detail string) {
	s.node.Meter().Add(request.GetMember(), meter.Use{Requests: 1})
	s.node.Ring().Add(timeline.Event{
		Kind:      kind,
		RequestID: request.GetRequestId(),
		Customer:  request.GetCustomer(),
		Target:    s.config.Node.Name,
		Model:     request.GetService(),
		Detail:    detail,
	})
}

// requestDigest hashes the content of a call, by which the reuse of a key for another call is recognized.
func requestDigest(request *wire.CallRequest) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(request.GetMethod() + "\x00" + request.GetPath() + "\x00")
	_, _ = hash.Write(request.GetBody())
	return hash.Sum64()
}

package sidecar

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/idempotency"
	"gypsumbank/meter"
	"gypsumbank/service"
	"gypsumbank/timeline"
	"gypsumbank/wire"
)

// Call runs one call of the plain service, or answers from the run that the same key had before.
func (s *Sidecar) Call(ctx context.Context, request *wire.CallRequest) (*wire.CallReply, error) {
	s.node.Ring().Observe(request.GetClock())
	reply := s.call(ctx, request)
	reply.Clock = s.node.Ring().NextClock()
	return reply, nil
}

func (s *Sidecar) call(ctx context.Context, request *wire.CallRequest) *wire.CallReply {
	if s.registry == nil || request.GetService() != s.config.Sidecar.Service {
		return s.callRefused(wire.RefusalReason_REFUSAL_UNKNOWN_MODEL, "target is not a replica of the service")
	}
	if s.leaving.Load() {
		return s.callRefused(wire.RefusalReason_REFUSAL_LEAVING, errLeaving.Error())
	}
	if request.GetIdempotencyKey() == "" {
		answer, err := s.callTarget(ctx, request)
		return s.reply(answer, err)
	}
	key := idempotency.NewKey(request.GetCustomer(), request.GetIdempotencyKey())
	return s.decide(ctx, request, s.registry.Begin(ctx, key, digest(request)))
}

func (s *Sidecar) decide(ctx context.Context, request *wire.CallRequest, decision idempotency.Decision) *wire.CallReply {
	switch decision := decision.(type) {
	case idempotency.Run:
		return s.runOnce(ctx, request, decision)
	case idempotency.Replay:
		return s.replay(request, decision)
	case idempotency.Unknown:
		s.recordCall(timeline.CallUnknown, request, decision.Detail)
		return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: decision.Detail}
	case idempotency.NotOwner:
		reply := s.callRefused(wire.RefusalReason_REFUSAL_NOT_HOME, "another target owns the key")
		reply.Owner = decision.Owner
		return reply
	case idempotency.NotReady:
		reply := s.callRefused(wire.RefusalReason_REFUSAL_BUSY, decision.Detail)
		reply.Refused.RetryAfterMs = uint32(decision.RetryAfter.Milliseconds())
		return reply
	case idempotency.Mismatch:
		return s.callRefused(wire.RefusalReason_REFUSAL_KEY_REUSED, "the idempotency key was used with another request")
	}
	return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: "no decision"}
}

// runOnce runs a call to its end even if the entry goes away, so that its outcome is known to whoever asks next.
func (s *Sidecar) runOnce(ctx context.Context, request *wire.CallRequest, run idempotency.Run) *wire.CallReply {
	ctx = context.WithoutCancel(ctx)
	answer, err := s.callTarget(ctx, request)
	s.registry.Finish(ctx, run, answer, err)
	s.recordCall(timeline.CallRun, request, "")
	return s.reply(answer, err)
}

func (s *Sidecar) replay(request *wire.CallRequest, decision idempotency.Replay) *wire.CallReply {
	s.recordCall(timeline.CallReplayed, request, "")
	if decision.Answer == nil {
		return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_RUN, Replayed: true, Detail: "the answer was too large to keep"}
	}
	reply := s.reply(*decision.Answer, nil)
	reply.Replayed = true
	return reply
}

func (s *Sidecar) callTarget(ctx context.Context, request *wire.CallRequest) (service.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Sidecar.CallTimeout)
	defer cancel()
	call := service.Call{Method: request.GetMethod(), Path: request.GetPath(), Body: request.GetBody()}
	for _, header := range request.GetHeaders() {
		call.Headers = append(call.Headers, service.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return s.service.Do(ctx, call)
}

func (s *Sidecar) reply(answer service.Answer, err error) *wire.CallReply {
	switch {
	case errors.Is(err, service.ErrNotSent):
		return s.callRefused(wire.RefusalReason_REFUSAL_TARGET_DOWN, err.Error())
	case err != nil:
		return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
	}
	reply := &wire.CallReply{Outcome: wire.Outcome_OUTCOME_RUN, Status: uint32(answer.Status), Body: answer.Body}
	for _, header := range answer.Headers {
		reply.Headers = append(reply.Headers, &wire.Header{Name: header.Name, Value: header.Value})
	}
	return reply
}

func (s *Sidecar) callRefused(reason wire.RefusalReason, detail string) *wire.CallReply {
	return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: detail, Refused: s.refusal(reason, detail)}
}

func (s *Sidecar) recordCall(kind timeline.Kind, request *wire.CallRequest, detail string) {
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

func digest(request *wire.CallRequest) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(request.GetMethod() + "\x00" + request.GetPath() + "\x00")
	_, _ = hash.Write(request.GetBody())
	return hash.Sum64()
}

package sidecar

import (
	"context"
	"errors"
	"fmt"

	"gypsumbank/engine"
	"gypsumbank/loader"
	"gypsumbank/queue"
	"gypsumbank/timeline"
	"gypsumbank/wire"
)

// causeOf turns the end of a stream into its cause: cancelled, moved, cut, or cut by a crash of the target.
func (s *Sidecar) causeOf(ctx context.Context, request *wire.GenerateRequest, incarnation uint64, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrNotResident) || !errors.Is(err, engine.ErrStreamBroken) {
		return err
	}
	if !s.crashed(incarnation) {
		return err
	}
	crashes := request.GetKnownCrashes() + 1
	s.node.Suspects().Raise(request.GetFingerprint(), crashes)
	s.record(timeline.SuspectSeen, request, fmt.Sprintf("%d crashes", crashes))
	return &crashError{crashes: crashes}
}

// crashed reports whether the engine is away or is no longer the given incarnation.
func (s *Sidecar) crashed(incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	state, err := s.engine.State(ctx)
	return err != nil || state.Incarnation != incarnation
}

type crashError struct{ crashes uint32 }

func (e *crashError) Error() string { return fmt.Sprintf("target crashed, %d times so far", e.crashes) }

// ending turns an error into the last event of a run.
func (s *Sidecar) ending(request *wire.GenerateRequest, err error) *wire.GenerateEvent {
	var crash *crashError
	switch {
	case errors.As(err, &crash):
		return s.interrupted(request, wire.InterruptReason_INTERRUPT_TARGET_CRASHED, err, crash.crashes)
	case errors.Is(err, errMoving):
		return s.interrupted(request, wire.InterruptReason_INTERRUPT_DRAINING, err, 0)
	case errors.Is(err, errSuperseded), errors.Is(err, context.Canceled):
		return s.interrupted(request, wire.InterruptReason_INTERRUPT_SUPERSEDED, err, 0)
	case errors.Is(err, queue.ErrFull):
		return s.refused(request, wire.RefusalReason_REFUSAL_QUEUE_FULL, err)
	case errors.Is(err, queue.ErrClosed):
		return s.refused(request, wire.RefusalReason_REFUSAL_LEAVING, err)
	case errors.Is(err, loader.ErrUnknownModel):
		return s.refused(request, wire.RefusalReason_REFUSAL_UNKNOWN_MODEL, err)
	case errors.Is(err, loader.ErrTargetDown), errors.Is(err, engine.ErrUnreachable):
		return s.refused(request, wire.RefusalReason_REFUSAL_TARGET_DOWN, err)
	case errors.Is(err, loader.ErrNotResident), errors.Is(err, engine.ErrNotResident):
		return s.refused(request, wire.RefusalReason_REFUSAL_NOT_RESIDENT, err)
	}
	return s.interrupted(request, wire.InterruptReason_INTERRUPT_TARGET_ERROR, err, 0)
}

func (s *Sidecar) refused(request *wire.GenerateRequest, reason wire.RefusalReason, err error) *wire.GenerateEvent {
	s.record(timeline.RequestRefused, request, err.Error())
	return refusedEvent(request, s.refusal(reason, err.Error()))
}

func (s *Sidecar) interrupted(request *wire.GenerateRequest, reason wire.InterruptReason, err error, crashes uint32) *wire.GenerateEvent {
	s.record(timeline.RequestCancelled, request, err.Error())
	interrupted := &wire.Interrupted{Reason: reason, Detail: err.Error(), CrashCount: crashes}
	return &wire.GenerateEvent{
		RequestId: request.GetRequestId(),
		Kind:      &wire.GenerateEvent_Interrupted{Interrupted: interrupted},
	}
}

func (s *Sidecar) refusal(reason wire.RefusalReason, detail string) *wire.Refused {
	status := &wire.NodeStatus{}
	s.describe(status)
	return &wire.Refused{
		Reason:       reason,
		RetryAfterMs: uint32(queueRetryAfter.Milliseconds()),
		Hint:         status.GetHint(),
		Detail:       detail,
	}
}

func refusedEvent(request *wire.GenerateRequest, refused *wire.Refused) *wire.GenerateEvent {
	return &wire.GenerateEvent{
		RequestId: request.GetRequestId(),
		Kind:      &wire.GenerateEvent_Refused{Refused: refused},
	}
}

package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gypsumbank/engine"
	"gypsumbank/loader"
	"gypsumbank/queue"
	"gypsumbank/timeline"
	"gypsumbank/wire"
)

// endCause returns why a run on the engine failed: the cause of its cancellation, a crashError if the engine has
// crashed since the run began, or else err. A crash raises the crash count of the request's content, unless the crash
// was noticed before the run began: the run was then sent to an engine that was already going down.
func (s *Sidecar) endCause(ctx context.Context, request *wire.GenerateRequest, incarnation uint64, begun time.Time, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrNotResident) || !errors.Is(err, engine.ErrStreamBroken) {
		return err
	}
	if !s.engineCrashed(incarnation) {
		return err
	}
	if s.crashes.noticedBefore(incarnation, begun) {
		return fmt.Errorf("%w: %w", errEngineDown, err)
	}
	s.crashes.notice(incarnation, time.Now())
	crashes := request.GetKnownCrashes() + 1
	s.node.Suspects().Raise(request.GetFingerprint(), crashes)
	s.recordEvent(timeline.SuspectSeen, request, fmt.Sprintf("%d crashes", crashes))
	return &crashError{crashes: crashes}
}

// engineCrashed reports whether the engine does not answer or is no longer the given incarnation.
func (s *Sidecar) engineCrashed(incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	state, err := s.engine.State(ctx)
	return err != nil || state.Incarnation != incarnation
}

// crashError means that the engine crashed during a run. The field crashes is the number of known crashes while content
// of this fingerprint was running, including this one.
type crashError struct{ crashes uint32 }

func (e *crashError) Error() string { return fmt.Sprintf("target crashed, %d times so far", e.crashes) }

// finalEvent turns the error of a failed run into its last event: refused if the target could not start the run or
// resume it after a preemption, else interrupted.
func (s *Sidecar) finalEvent(request *wire.GenerateRequest, err error) *wire.GenerateEvent {
	var crash *crashError
	switch {
	case errors.As(err, &crash):
		return s.interruptedRunEvent(request, wire.InterruptReason_INTERRUPT_TARGET_CRASHED, err, crash.crashes)
	case errors.Is(err, errMoved):
		return s.interruptedRunEvent(request, wire.InterruptReason_INTERRUPT_DRAINING, err, 0)
	case errors.Is(err, errSuperseded), errors.Is(err, context.Canceled):
		return s.interruptedRunEvent(request, wire.InterruptReason_INTERRUPT_SUPERSEDED, err, 0)
	case errors.Is(err, queue.ErrFull):
		return s.refusedRunEvent(request, wire.RefusalReason_REFUSAL_QUEUE_FULL, err)
	case errors.Is(err, queue.ErrClosed):
		return s.refusedRunEvent(request, wire.RefusalReason_REFUSAL_LEAVING, err)
	case errors.Is(err, loader.ErrUnknownModel):
		return s.refusedRunEvent(request, wire.RefusalReason_REFUSAL_UNKNOWN_MODEL, err)
	case errors.Is(err, loader.ErrTargetDown), errors.Is(err, engine.ErrUnreachable):
		return s.refusedRunEvent(request, wire.RefusalReason_REFUSAL_TARGET_DOWN, err)
	case errors.Is(err, loader.ErrNotResident), errors.Is(err, engine.ErrNotResident):
		return s.refusedRunEvent(request, wire.RefusalReason_REFUSAL_NOT_RESIDENT, err)
	}
	return s.interruptedRunEvent(request, wire.InterruptReason_INTERRUPT_TARGET_ERROR, err, 0)
}

// refusedRunEvent records a refusal and returns its event.
func (s *Sidecar) refusedRunEvent(request *wire.GenerateRequest, reason wire.RefusalReason, err error) *wire.GenerateEvent {
	s.recordEvent(timeline.RequestRefused, request, err.Error())
	return refusedEvent(request, s.newRefusal(reason, err.Error()))
}

// interruptedRunEvent records an interruption and returns its event.
func (s *Sidecar) interruptedRunEvent(request *wire.GenerateRequest, reason wire.InterruptReason, err error, crashes uint32) *wire.GenerateEvent {
	s.recordEvent(timeline.RequestCancelled, request, err.Error())
	interrupted := &wire.Interrupted{Reason: reason, Detail: err.Error(), CrashCount: crashes}
	return &wire.GenerateEvent{
		RequestId: request.GetRequestId(),
		Kind:      &wire.GenerateEvent_Interrupted{Interrupted: interrupted},
	}
}

// newRefusal returns a refusal with the present load of the target, for the entry's next choice.
func (s *Sidecar) newRefusal(reason wire.RefusalReason, detail string) *wire.Refused {
	status := &wire.NodeStatus{}
	s.fillStatus(status)
	return &wire.Refused{
		Reason:       reason,
		RetryAfterMs: uint32(refusalRetryAfter.Milliseconds()),
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

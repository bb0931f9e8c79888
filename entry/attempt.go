package entry

import (
	"context"
	"fmt"
	"time"

	"gypsumbank/completion"
	"gypsumbank/router"
	"gypsumbank/wire"
)

// attempt sends a job to one target and passes the tokens of its stream on to the caller. The attempt fails if the
// target sends nothing, not even a heartbeat, for the silence timeout.
func (e *Entry) attempt(ctx context.Context, job *job, choice router.Choice) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	job.attempt++
	e.router.BeginAttempt(choice.VM.Name)
	defer e.router.EndAttempt(choice.VM.Name)
	e.recordEvent(job.event(routedEventKind(job), choice.VM.Name, fmt.Sprintf("attempt %d, token %d", job.attempt, len(job.deliveredTokens))))
	watchdog := time.AfterFunc(e.config.Entry.SilenceTimeout, func() { cancel(errTargetSilent) })
	defer watchdog.Stop()
	conn := e.node.Dialer().Conn(ctx, choice.VM.Address)
	lastTokenAt := time.Time{}
	stream, err := wire.NewDRPCSidecarClient(conn).Generate(ctx, e.generateRequest(job, choice))
	if err != nil {
		return attemptBroken{err: contextCauseOr(ctx, err)}
	}
	defer closeStream(stream)
	for {
		event, err := stream.Recv()
		if err != nil {
			return attemptBroken{err: contextCauseOr(ctx, err)}
		}
		watchdog.Reset(e.config.Entry.SilenceTimeout)
		e.node.Ring().Observe(event.GetClock())
		if event.GetRequestId() != job.caller.requestID {
			return attemptBroken{err: errWrongRequest}
		}
		if event.GetToken() != nil {
			now := time.Now()
			if !lastTokenAt.IsZero() {
				e.router.ObserveTokenGap(choice.VM.Name, now.Sub(lastTokenAt))
			}
			lastTokenAt = now
		}
		if result := e.handleEvent(ctx, job, choice, event); result != nil {
			return result
		}
	}
}

// handleEvent processes one event of the stream and returns the result of the attempt, or nil if the stream goes on.
func (e *Entry) handleEvent(ctx context.Context, job *job, choice router.Choice, event *wire.GenerateEvent) attemptResult {
	switch kind := event.GetKind().(type) {
	case *wire.GenerateEvent_Accepted:
		e.router.ObserveHint(choice.VM.Name, kind.Accepted.GetHint())
	case *wire.GenerateEvent_Heartbeat:
	case *wire.GenerateEvent_Token:
		if result := job.deliverToken(ctx, kind.Token); result != nil {
			return result
		}
		return e.moveIfSlow(job, choice)
	case *wire.GenerateEvent_Finished:
		if int(kind.Finished.GetCompletionTokens()) != len(job.deliveredTokens) {
			return attemptBroken{err: errTokenOrder}
		}
		job.finishReason = kind.Finished.GetReason()
		job.usage = completion.NewUsage(int(kind.Finished.GetPromptTokens()), len(job.deliveredTokens))
		return attemptFinished{}
	case *wire.GenerateEvent_Refused:
		return attemptRefused{refusal: kind.Refused}
	case *wire.GenerateEvent_Interrupted:
		return attemptInterrupted{interruption: kind.Interrupted}
	}
	return nil
}

// moveIfSlow ends an attempt at a slow target, at most once per request, if another target that holds the model has
// free slots and is not slow.
func (e *Entry) moveIfSlow(job *job, choice router.Choice) attemptResult {
	if job.movedFromSlow || len(job.deliveredTokens)%tokensPerMoveCheck != 0 || !e.router.FasterHolderExists(job.routerRequest(), choice.VM.Name) {
		return nil
	}
	job.movedFromSlow = true
	return attemptMoved{}
}

// deliverToken passes a token on to the caller. A token that was already delivered is dropped; one that skips an index
// breaks the attempt.
func (j *job) deliverToken(ctx context.Context, token *wire.Token) attemptResult {
	j.mayHaveStarted = true
	if len(j.deliveredTokens) == 0 {
		firstTokenSeconds.Update(time.Since(j.startedAt).Seconds())
	}
	tokensDelivered.Inc()
	index := int(token.GetIndex())
	if index < len(j.deliveredTokens) {
		return nil
	}
	if index > len(j.deliveredTokens) {
		return attemptBroken{err: errTokenOrder}
	}
	select {
	case j.tokens <- token.GetText():
		j.deliveredTokens = append(j.deliveredTokens, token.GetText())
		return nil
	case <-ctx.Done():
		return attemptBroken{err: context.Cause(ctx)}
	}
}

// generateRequest returns the message for the next attempt, which continues after the delivered tokens.
func (e *Entry) generateRequest(job *job, choice router.Choice) *wire.GenerateRequest {
	return &wire.GenerateRequest{
		RequestId:    job.caller.requestID,
		Attempt:      job.attempt,
		Customer:     job.caller.customer.Name(),
		Member:       job.caller.customer.Member(),
		Model:        job.model,
		Adapter:      job.adapter,
		Prompt:       job.request.Prompt(),
		MaxTokens:    uint32(job.request.MaxTokens()),
		Seed:         job.seed,
		Priority:     int32(job.caller.plan.Priority),
		Prefix:       job.deliveredTokens,
		Fingerprint:  job.fingerprint,
		KnownCrashes: e.node.Suspects().Crashes(job.fingerprint),
		MayLoad:      choice.MayLoad,
		Clock:        e.node.Ring().NextClock(),
	}
}

package entry

import (
	"context"
	"fmt"
	"time"

	"gypsumbank/completion"
	"gypsumbank/router"
	"gypsumbank/wire"
)

// attempt sends a job to one target and passes its tokens on.
func (e *Entry) attempt(ctx context.Context, job *job, choice router.Choice) attemptEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	job.attempt++
	e.router.BeginAttempt(choice.VM.Name)
	defer e.router.EndAttempt(choice.VM.Name)
	e.record(job.event(routeKind(job), choice.VM.Name, fmt.Sprintf("attempt %d, token %d", job.attempt, len(job.prefix))))
	watchdog := time.AfterFunc(e.config.Entry.SilenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	conn := e.node.Dialer().Conn(ctx, choice.VM.Address)
	last := time.Time{}
	stream, err := wire.NewDRPCSidecarClient(conn).Generate(ctx, e.message(job, choice))
	if err != nil {
		return broken{err: causeOr(ctx, err)}
	}
	defer closeStream(stream)
	for {
		event, err := stream.Recv()
		if err != nil {
			return broken{err: causeOr(ctx, err)}
		}
		watchdog.Reset(e.config.Entry.SilenceTimeout)
		e.node.Ring().Observe(event.GetClock())
		if event.GetRequestId() != job.caller.requestID {
			return broken{err: errForeign}
		}
		if event.GetToken() != nil {
			now := time.Now()
			if !last.IsZero() {
				e.router.ObserveTokenGap(choice.VM.Name, now.Sub(last))
			}
			last = now
		}
		if end := e.take(ctx, job, choice, event); end != nil {
			return end
		}
	}
}

// take handles one event and returns how the attempt ended, or nil if it goes on.
func (e *Entry) take(ctx context.Context, job *job, choice router.Choice, event *wire.GenerateEvent) attemptEnd {
	switch kind := event.GetKind().(type) {
	case *wire.GenerateEvent_Accepted:
		e.router.ObserveHint(choice.VM.Name, kind.Accepted.GetHint())
	case *wire.GenerateEvent_Heartbeat:
	case *wire.GenerateEvent_Token:
		if end := job.deliver(ctx, kind.Token); end != nil {
			return end
		}
		return e.moveFrom(job, choice)
	case *wire.GenerateEvent_Finished:
		if int(kind.Finished.GetCompletionTokens()) != len(job.prefix) {
			return broken{err: errOrder}
		}
		job.reason = kind.Finished.GetReason()
		job.usage = completion.NewUsage(int(kind.Finished.GetPromptTokens()), len(job.prefix))
		return finished{}
	case *wire.GenerateEvent_Refused:
		return refused{refusal: kind.Refused}
	case *wire.GenerateEvent_Interrupted:
		return interrupted{cause: kind.Interrupted}
	}
	return nil
}

// moveFrom ends an attempt at a slow target, once a request, if another target holds the model and is not slow.
func (e *Entry) moveFrom(job *job, choice router.Choice) attemptEnd {
	if job.moved || len(job.prefix)%moveCheckTokens != 0 || !e.router.FasterHolderExists(job.route(), choice.VM.Name) {
		return nil
	}
	job.moved = true
	return moved{}
}

// deliver passes the next token to the caller, drops one that it already has and rejects a gap.
func (j *job) deliver(ctx context.Context, token *wire.Token) attemptEnd {
	j.sent = true
	if len(j.prefix) == 0 {
		firstToken.Update(time.Since(j.started).Seconds())
	}
	tokensDelivered.Inc()
	index := int(token.GetIndex())
	if index < len(j.prefix) {
		return nil
	}
	if index > len(j.prefix) {
		return broken{err: errOrder}
	}
	select {
	case j.tokens <- token.GetText():
		j.prefix = append(j.prefix, token.GetText())
		return nil
	case <-ctx.Done():
		return broken{err: context.Cause(ctx)}
	}
}

func (e *Entry) message(job *job, choice router.Choice) *wire.GenerateRequest {
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
		Prefix:       job.prefix,
		Fingerprint:  job.fingerprint,
		KnownCrashes: e.node.Suspects().Crashes(job.fingerprint),
		MayLoad:      choice.MayLoad,
		Clock:        e.node.Ring().NextClock(),
	}
}

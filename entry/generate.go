package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"storj.io/drpc"

	"gypsumbank/completion"
	"gypsumbank/dialer"
	"gypsumbank/router"
	"gypsumbank/suspect"
	"gypsumbank/timeline"
	"gypsumbank/wire"
)

const (
	tokenBuffer     = 64
	maxAttempts     = 64
	retryPause      = 100 * time.Millisecond
	searchTime      = 15 * time.Second // time without progress after which a request is given up
	busyRetry       = 2 * time.Second
	prefixChars     = 128
	moveCheckTokens = 8
)

var (
	errTimeout = errors.New("request took too long")
	errSilent  = errors.New("target made no progress")
	errForeign = errors.New("answer belongs to another request")
	errOrder   = errors.New("tokens came out of order")
)

// job is one request for a completion on its way through targets.
type job struct {
	caller      *caller
	started     time.Time
	request     *completion.Request
	model       string
	adapter     string
	seed        uint64
	fingerprint uint64
	tokens      chan string
	ended       chan *problem

	// The fields below belong to the goroutine of generate until ended has a value.
	prefix  []string
	attempt uint32
	sent    bool // a target may have started the request
	moved   bool // the request has left a slow target
	reason  string
	usage   completion.Usage
}

// attemptEnd is how an attempt ended: finished, refused, interrupted, broken or moved.
type attemptEnd interface{ attemptEnd() }

type finished struct{}

type refused struct{ refusal *wire.Refused }

type interrupted struct{ cause *wire.Interrupted }

type broken struct{ err error }

// moved ends an attempt at a slow target whose request goes on at another.
type moved struct{}

func (finished) attemptEnd()    {}
func (refused) attemptEnd()     {}
func (interrupted) attemptEnd() {}
func (broken) attemptEnd()      {}
func (moved) attemptEnd()       {}

// generate runs a job to its end, over as many targets as it takes.
func (e *Entry) generate(ctx context.Context, job *job) *problem {
	tried := map[string]bool{}
	progress := time.Now()
	full := 0
	for job.attempt < maxAttempts && time.Since(progress) < searchTime {
		choice, err := e.router.Pick(job.caller.lists.Allowances(), job.route(), tried, full > 0)
		if err != nil {
			clear(tried)
			if full > 0 {
				return e.giveUp(job, "all targets are busy", busyRetry)
			}
			if !pause(ctx, retryPause) {
				return e.stopped(ctx, job)
			}
			continue
		}
		if e.router.Slowness(choice.VM.Name) > router.SlowFrom {
			e.spread(ctx, job)
		}
		before := len(job.prefix)
		end := e.attempt(ctx, job, choice)
		if len(job.prefix) > before {
			progress = time.Now()
			clear(tried)
		}
		if ctx.Err() != nil {
			return e.stopped(ctx, job)
		}
		switch end := end.(type) {
		case finished:
			e.node.Suspects().Clear(job.fingerprint)
			e.record(job.event(timeline.RequestFinished, choice.VM.Name, job.reason))
			return nil
		case refused:
			tried[choice.VM.Name] = true
			e.spread(ctx, job)
			if failed := e.afterRefusal(job, choice, end.refusal); failed != nil {
				return failed
			}
			if end.refusal.GetReason() == wire.RefusalReason_REFUSAL_QUEUE_FULL {
				full++
			}
		case interrupted:
			tried[choice.VM.Name] = true
			if failed := e.afterInterruption(ctx, job, choice, end.cause); failed != nil {
				return failed
			}
		case moved:
			tried[choice.VM.Name] = true
			e.record(job.event(timeline.RequestMoved, choice.VM.Name, "target is slow"))
		case broken:
			tried[choice.VM.Name] = true
			e.afterBreak(job, choice, end.err)
		}
	}
	return e.giveUp(job, "no target could serve the request", busyRetry)
}

// attempt sends a job to one target and passes its tokens on.
func (e *Entry) attempt(ctx context.Context, job *job, choice router.Choice) attemptEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	job.attempt++
	e.router.Begin(choice.VM.Name)
	defer e.router.End(choice.VM.Name)
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
		if event.GetRequestId() != job.caller.requestID {
			return broken{err: errForeign}
		}
		if event.GetToken() != nil {
			now := time.Now()
			if !last.IsZero() {
				e.router.Token(choice.VM.Name, now.Sub(last))
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
		e.router.Observe(choice.VM.Name, kind.Accepted.GetHint())
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
	if job.moved || len(job.prefix)%moveCheckTokens != 0 || !e.router.Better(job.route(), choice.VM.Name) {
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
		Clock:        e.node.Ring().Clock(),
	}
}

func (e *Entry) afterRefusal(job *job, choice router.Choice, refusal *wire.Refused) *problem {
	e.router.Observe(choice.VM.Name, refusal.GetHint())
	e.record(job.event(timeline.RequestRefused, choice.VM.Name, refusal.GetDetail()))
	switch refusal.GetReason() {
	case wire.RefusalReason_REFUSAL_LEAVING:
		e.node.Roster().MarkLeaving(choice.VM.Name, true)
	case wire.RefusalReason_REFUSAL_TARGET_DOWN:
		e.router.Unreachable(choice.VM.Name)
	case wire.RefusalReason_REFUSAL_SUSPECT:
		e.node.Suspects().Raise(job.fingerprint, suspect.BlockAfter)
		return crashing(job.outcome())
	}
	return nil
}

// afterInterruption spreads the word of a crash before anything is answered, so that a resubmission meets it.
func (e *Entry) afterInterruption(ctx context.Context, job *job, choice router.Choice, cause *wire.Interrupted) *problem {
	job.sent = true
	e.record(job.event(timeline.RequestRetried, choice.VM.Name, cause.GetDetail()))
	switch cause.GetReason() {
	case wire.InterruptReason_INTERRUPT_DRAINING:
		e.node.Roster().MarkLeaving(choice.VM.Name, true)
	case wire.InterruptReason_INTERRUPT_TARGET_CRASHED:
		e.router.Unreachable(choice.VM.Name)
		e.node.Suspects().Raise(job.fingerprint, cause.GetCrashCount())
		e.node.NotifyEntries(context.WithoutCancel(ctx))
	}
	if e.node.Suspects().Blocked(job.fingerprint) {
		return crashing(job.outcome())
	}
	return nil
}

func (e *Entry) afterBreak(job *job, choice router.Choice, err error) {
	e.record(job.event(timeline.RequestRetried, choice.VM.Name, err.Error()))
	if !errors.Is(err, dialer.ErrNotConnected) {
		job.sent = true
	}
	e.node.Dialer().Forget(choice.VM.Address)
	e.router.Unreachable(choice.VM.Name)
}

// giveUp ends a job that no target could finish.
func (e *Entry) giveUp(job *job, message string, retryAfter time.Duration) *problem {
	e.record(job.event(timeline.RequestFailed, "", message))
	failed := unavailable("no_capacity", message, retryAfter)
	failed.outcome = job.outcome()
	return failed
}

// stopped ends a job whose caller has gone or whose time is over.
func (e *Entry) stopped(ctx context.Context, job *job) *problem {
	cause := context.Cause(ctx)
	if errors.Is(cause, errTimeout) {
		e.record(job.event(timeline.RequestFailed, "", cause.Error()))
		return &problem{
			status: fasthttp.StatusGatewayTimeout, kind: "server_error", code: "timeout",
			message: cause.Error(), outcome: job.outcome(),
		}
	}
	e.record(job.event(timeline.RequestCancelled, "", "caller has gone"))
	return unavailable("cancelled", "the caller has gone", 0)
}

func crashing(outcome string) *problem {
	return &problem{
		status:  fasthttp.StatusUnprocessableEntity,
		kind:    "invalid_request_error",
		code:    "request_crashes_targets",
		message: "targets crashed while they ran this request",
		outcome: outcome,
	}
}

// outcome tells what is known about a job that failed.
func (j *job) outcome() string {
	switch {
	case len(j.prefix) > 0:
		return outcomeRun
	case j.sent:
		return outcomeUnknown
	}
	return outcomeNotRun
}

// route returns what the choice of a target depends on.
func (j *job) route() router.Request {
	start := j.request.Prompt()
	start = start[:min(len(start), prefixChars)]
	return router.Request{Model: j.model, Adapter: j.adapter, Prefix: xxhash.Sum64String(j.model + "\x00" + start)}
}

func (j *job) used() int { return len(j.prefix) }

func (j *job) event(kind timeline.Kind, target, detail string) timeline.Event {
	return timeline.Event{
		Kind:      kind,
		RequestID: j.caller.requestID,
		Customer:  j.caller.customer.Name(),
		Target:    target,
		Model:     j.model,
		Detail:    detail,
	}
}

func routeKind(job *job) timeline.Kind {
	if len(job.prefix) > 0 {
		return timeline.RequestResumed
	}
	return timeline.RequestRouted
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func closeStream(stream drpc.Stream) { _ = stream.Close() }

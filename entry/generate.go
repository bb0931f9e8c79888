package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"storj.io/drpc"

	"gypsumbank/completion"
	"gypsumbank/dialer"
	"gypsumbank/pause"
	"gypsumbank/router"
	"gypsumbank/suspect"
	"gypsumbank/timeline"
	"gypsumbank/wire"
)

const (
	tokenBuffer     = 64
	maxRuns         = 64 // attempts that a target took on; one refused at once counts for nothing
	refusalsAtOnce  = 16 // refused attempts after which a request pauses, so that many full targets are not asked in a burst
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

// search is what a job has learnt on its way through targets.
type search struct {
	tried    map[string]bool // targets that did not serve the job since its last token
	progress time.Time       // when the last token came
	full     bool            // a holder of the model had no room
	runs     int             // attempts that a target took on
	refusals int             // attempts refused since the last pause
}

// generate runs a job to its end, over as many targets as it takes.
func (e *Entry) generate(ctx context.Context, job *job) *problem {
	s := &search{tried: map[string]bool{}, progress: time.Now()}
	for s.runs < maxRuns && time.Since(s.progress) < searchTime {
		done, failed := e.step(ctx, job, s)
		if ctx.Err() != nil {
			return e.stopped(ctx, job)
		}
		if done {
			return failed
		}
	}
	return e.giveUp(job, "no target could serve the request", busyRetry)
}

// step makes the next attempt of a job and reports whether the job is done with.
func (e *Entry) step(ctx context.Context, job *job, s *search) (bool, *problem) {
	choice, err := e.router.Pick(job.caller.lists.Allowances(), job.route(), s.tried, s.full)
	if err != nil {
		clear(s.tried)
		s.refusals = 0
		if s.full {
			return true, e.giveUp(job, "all targets are busy", busyRetry)
		}
		_ = pause.For(ctx, retryPause)
		return false, nil
	}
	if e.router.Slowness(choice.VM.Name) > router.SlownessThreshold {
		e.scaleOut(ctx, job)
	}
	before := len(job.prefix)
	end := e.attempt(ctx, job, choice)
	if len(job.prefix) > before {
		s.progress = time.Now()
		clear(s.tried)
	}
	s.tried[choice.VM.Name] = true
	if ctx.Err() != nil {
		return false, nil
	}
	return e.afterAttempt(ctx, job, choice, end, s)
}

// afterAttempt draws the conclusions from an attempt and reports whether the job is done with.
func (e *Entry) afterAttempt(ctx context.Context, job *job, choice router.Choice, end attemptEnd, s *search) (bool, *problem) {
	var failed *problem
	switch end := end.(type) {
	case finished:
		e.node.Suspects().Clear(job.fingerprint)
		e.record(job.event(timeline.RequestFinished, choice.VM.Name, job.reason))
		return true, nil
	case refused:
		e.scaleOut(ctx, job)
		s.full = s.full || end.refusal.GetReason() == wire.RefusalReason_REFUSAL_QUEUE_FULL
		failed = e.afterRefusal(job, choice, end.refusal)
		s.refused(ctx)
		return failed != nil, failed
	case interrupted:
		failed = e.afterInterruption(ctx, job, choice, end.cause)
	case moved:
		e.record(job.event(timeline.RequestMoved, choice.VM.Name, "target is slow"))
	case broken:
		e.afterBreak(job, choice, end.err)
	}
	s.runs++
	return failed != nil, failed
}

// refused counts an attempt that no target took on and pauses after a number of them.
func (s *search) refused(ctx context.Context) {
	s.refusals++
	if s.refusals >= refusalsAtOnce {
		s.refusals = 0
		_ = pause.For(ctx, retryPause)
	}
}

func (e *Entry) afterRefusal(job *job, choice router.Choice, refusal *wire.Refused) *problem {
	e.router.ObserveHint(choice.VM.Name, refusal.GetHint())
	e.record(job.event(timeline.RequestRefused, choice.VM.Name, refusal.GetDetail()))
	switch refusal.GetReason() {
	case wire.RefusalReason_REFUSAL_LEAVING:
		e.node.Roster().SetLeaving(choice.VM.Name, true)
	case wire.RefusalReason_REFUSAL_TARGET_DOWN:
		e.router.MarkUnreachable(choice.VM.Name)
	case wire.RefusalReason_REFUSAL_SUSPECT:
		e.node.Suspects().Raise(job.fingerprint, suspect.BlockAfterCrashes)
		return crashing(job.outcome())
	}
	return nil
}

// afterInterruption reports a crash to the other entries before anything is answered, so that a resubmission is recognized.
func (e *Entry) afterInterruption(ctx context.Context, job *job, choice router.Choice, cause *wire.Interrupted) *problem {
	job.sent = true
	e.record(job.event(timeline.RequestRetried, choice.VM.Name, cause.GetDetail()))
	switch cause.GetReason() {
	case wire.InterruptReason_INTERRUPT_DRAINING:
		e.node.Roster().SetLeaving(choice.VM.Name, true)
	case wire.InterruptReason_INTERRUPT_TARGET_CRASHED:
		e.router.MarkUnreachable(choice.VM.Name)
		e.node.Suspects().Raise(job.fingerprint, cause.GetCrashCount())
		e.node.SendSuspectsToEntries(context.WithoutCancel(ctx))
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
	e.node.Dialer().CloseIdle(choice.VM.Address)
	e.router.MarkUnreachable(choice.VM.Name)
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

func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func closeStream(stream drpc.Stream) { _ = stream.Close() }

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
	tokenBufferSize       = 64
	maxIncompleteAttempts = 64 // attempts of a request that broke off or moved; refused attempts do not count
	refusalsPerPause      = 16 // refusals after which a request pauses, so that many full targets do not get a burst of attempts
	retryDelay            = 100 * time.Millisecond
	noProgressTimeout     = 15 * time.Second // time without a new token after which a request gets no further attempt
	busyRetryAfter        = 2 * time.Second
	routePrefixBytes      = 128 // length of the start of a prompt by which prompts with a common start go to the same target
	tokensPerMoveCheck    = 8   // tokens between two checks whether a request should move from a slow target
)

var (
	errRequestTimeout = errors.New("request took too long")
	errStopping       = errors.New("entry has stopped before the request ended")
	errTargetSilent   = errors.New("target made no progress")
	errWrongRequest   = errors.New("answer belongs to another request")
	errTokenOrder     = errors.New("tokens came out of order")
)

// job is one request for a completion, which may take several attempts at different targets.
type job struct {
	caller      *caller
	startedAt   time.Time
	request     *completion.Request
	model       string
	adapter     string
	seed        uint64
	fingerprint uint64
	tokens      chan string         // closed after result has its value
	result      chan *errorResponse // nil if the job succeeded

	// Until result has a value, only the goroutine of generate may use the fields below.
	deliveredTokens []string // sent to the next target as the prefix to continue
	attempt         uint32   // number of the latest attempt, from 1
	mayHaveStarted  bool     // a target may have started the request
	movedFromSlow   bool     // the request was moved away from a slow target, which happens at most once
	finishReason    string
	usage           completion.Usage
}

// attemptResult is how an attempt ended: attemptFinished, attemptRefused, attemptInterrupted, attemptBroken or
// attemptMoved.
type attemptResult interface{ isAttemptResult() }

// attemptFinished means that the answer is complete.
type attemptFinished struct{}

// attemptRefused means that the target did not run the request, or did not go on with it after a preemption.
type attemptRefused struct{ refusal *wire.Refused }

// attemptInterrupted means that the sidecar ended the run early and reported why.
type attemptInterrupted struct{ interruption *wire.Interrupted }

// attemptBroken means that the stream failed or carried events that do not fit the request.
type attemptBroken struct{ err error }

// attemptMoved means that the entry ended an attempt at a slow target to continue the request at another one.
type attemptMoved struct{}

func (attemptFinished) isAttemptResult()    {}
func (attemptRefused) isAttemptResult()     {}
func (attemptInterrupted) isAttemptResult() {}
func (attemptBroken) isAttemptResult()      {}
func (attemptMoved) isAttemptResult()       {}

// searchState carries what the attempts of a job have shown so far.
type searchState struct {
	tried              map[string]bool // targets already tried; cleared on progress and when none is left
	lastProgress       time.Time       // end of the latest attempt that delivered a token, or start of the job
	holderFull         bool            // a target refused the job because its queue was full
	incompleteAttempts int             // attempts that broke off or moved
	refusalsSincePause int
}

// generate runs a job to its end with as many attempts as it takes, up to the limits on attempts and on time without
// progress. It returns nil if the answer is complete.
func (e *Entry) generate(ctx context.Context, job *job) *errorResponse {
	s := &searchState{tried: map[string]bool{}, lastProgress: time.Now()}
	for s.incompleteAttempts < maxIncompleteAttempts && time.Since(s.lastProgress) < noProgressTimeout {
		done, failed := e.attemptNext(ctx, job, s)
		if ctx.Err() != nil {
			return e.failContextEnded(ctx, job)
		}
		if done {
			return failed
		}
	}
	return e.failNoCapacity(job, "no target could serve the request", busyRetryAfter)
}

// attemptNext makes the next attempt of a job and reports whether the job has ended. If no target is left to try, it
// starts over with all targets after a pause, or fails the job if a target's queue was full.
func (e *Entry) attemptNext(ctx context.Context, job *job, s *searchState) (bool, *errorResponse) {
	choice, err := e.router.Pick(job.caller.snapshot.Allowances(), job.routerRequest(), s.tried, s.holderFull)
	if err != nil {
		clear(s.tried)
		s.refusalsSincePause = 0
		if s.holderFull {
			return true, e.failNoCapacity(job, "all targets are busy", busyRetryAfter)
		}
		_ = pause.For(ctx, retryDelay)
		return false, nil
	}
	if e.router.Slowness(choice.VM.Name) > router.SlownessThreshold {
		e.scaleOut(ctx, job)
	}
	deliveredBefore := len(job.deliveredTokens)
	result := e.attempt(ctx, job, choice)
	if len(job.deliveredTokens) > deliveredBefore {
		s.lastProgress = time.Now()
		clear(s.tried)
	}
	s.tried[choice.VM.Name] = true
	if ctx.Err() != nil {
		return false, nil
	}
	return e.handleAttemptResult(ctx, job, choice, result, s)
}

// handleAttemptResult updates the state of the job, the router and the suspects after an attempt and reports whether
// the job has ended.
func (e *Entry) handleAttemptResult(ctx context.Context, job *job, choice router.Choice, result attemptResult, s *searchState) (bool, *errorResponse) {
	var failed *errorResponse
	switch end := result.(type) {
	case attemptFinished:
		e.node.Suspects().Clear(job.fingerprint)
		e.recordEvent(job.event(timeline.RequestFinished, choice.VM.Name, job.finishReason))
		return true, nil
	case attemptRefused:
		e.scaleOut(ctx, job)
		s.holderFull = s.holderFull || end.refusal.GetReason() == wire.RefusalReason_REFUSAL_QUEUE_FULL
		failed = e.handleRefusal(job, choice, end.refusal)
		s.countRefusal(ctx)
		return failed != nil, failed
	case attemptInterrupted:
		failed = e.handleInterruption(ctx, job, choice, end.interruption)
	case attemptMoved:
		e.recordEvent(job.event(timeline.RequestMoved, choice.VM.Name, "target is slow"))
	case attemptBroken:
		e.handleBrokenAttempt(job, choice, end.err)
	}
	s.incompleteAttempts++
	return failed != nil, failed
}

// countRefusal counts a refused attempt and pauses after every refusalsPerPause of them.
func (s *searchState) countRefusal(ctx context.Context) {
	s.refusalsSincePause++
	if s.refusalsSincePause >= refusalsPerPause {
		s.refusalsSincePause = 0
		_ = pause.For(ctx, retryDelay)
	}
}

func (e *Entry) handleRefusal(job *job, choice router.Choice, refusal *wire.Refused) *errorResponse {
	e.router.ObserveHint(choice.VM.Name, refusal.GetHint())
	e.recordEvent(job.event(timeline.RequestRefused, choice.VM.Name, refusal.GetDetail()))
	switch refusal.GetReason() {
	case wire.RefusalReason_REFUSAL_LEAVING:
		e.node.Roster().SetLeaving(choice.VM.Name, true)
	case wire.RefusalReason_REFUSAL_TARGET_DOWN:
		e.router.MarkUnreachable(choice.VM.Name)
	case wire.RefusalReason_REFUSAL_SUSPECT:
		e.node.Suspects().Raise(job.fingerprint, suspect.BlockAfterCrashes)
		return crashingRequestError(job.outcome())
	}
	return nil
}

// handleInterruption reports a crash to the other entries before the caller gets an answer, so that they recognize the
// content if the caller submits it again.
func (e *Entry) handleInterruption(ctx context.Context, job *job, choice router.Choice, interruption *wire.Interrupted) *errorResponse {
	job.mayHaveStarted = true
	e.recordEvent(job.event(timeline.RequestRetried, choice.VM.Name, interruption.GetDetail()))
	switch interruption.GetReason() {
	case wire.InterruptReason_INTERRUPT_DRAINING:
		e.node.Roster().SetLeaving(choice.VM.Name, true)
	case wire.InterruptReason_INTERRUPT_TARGET_CRASHED:
		e.router.MarkUnreachable(choice.VM.Name)
		e.node.Suspects().Raise(job.fingerprint, interruption.GetCrashCount())
		e.node.SendSuspectsToEntries(context.WithoutCancel(ctx))
	}
	if e.node.Suspects().Blocked(job.fingerprint) {
		return crashingRequestError(job.outcome())
	}
	return nil
}

// handleBrokenAttempt drops the idle connections to the target, since they may have failed as well, and avoids the
// target for a while. The request may have started there unless no connection was made.
func (e *Entry) handleBrokenAttempt(job *job, choice router.Choice, err error) {
	e.recordEvent(job.event(timeline.RequestRetried, choice.VM.Name, err.Error()))
	if !errors.Is(err, dialer.ErrNotConnected) {
		job.mayHaveStarted = true
	}
	e.node.Dialer().CloseIdle(choice.VM.Address)
	e.router.MarkUnreachable(choice.VM.Name)
}

// failNoCapacity records that no target could finish the job and returns the error for the caller.
func (e *Entry) failNoCapacity(job *job, message string, retryAfter time.Duration) *errorResponse {
	e.recordEvent(job.event(timeline.RequestFailed, "", message))
	failed := serverError("no_capacity", message, retryAfter)
	failed.outcome = job.outcome()
	return failed
}

// failContextEnded returns the error of a job that was cancelled because its caller disconnected or the request timeout
// passed.
func (e *Entry) failContextEnded(ctx context.Context, job *job) *errorResponse {
	cause := context.Cause(ctx)
	if errors.Is(cause, errRequestTimeout) {
		e.recordEvent(job.event(timeline.RequestFailed, "", cause.Error()))
		return &errorResponse{
			status: fasthttp.StatusGatewayTimeout, errorType: "server_error", code: "timeout",
			message: cause.Error(), outcome: job.outcome(),
		}
	}
	if errors.Is(cause, errStopping) {
		return e.failStopping(job)
	}
	e.recordEvent(job.event(timeline.RequestCancelled, "", "caller has gone"))
	return serverError("cancelled", "the caller has gone", 0)
}

// failStopping returns the error of a job that the end of the entry has cut short: another entry can run it at once if it has not run.
func (e *Entry) failStopping(job *job) *errorResponse {
	e.recordEvent(job.event(timeline.RequestFailed, "", errStopping.Error()))
	failed := serverError("stopping", errStopping.Error(), 0)
	failed.outcome = job.outcome()
	if failed.outcome != outcomeNotRun {
		failed.status = fasthttp.StatusBadGateway
	}
	return failed
}

// crashingRequestError refuses a content that is blocked because targets crashed while they ran it.
func crashingRequestError(outcome string) *errorResponse {
	return &errorResponse{
		status:    fasthttp.StatusUnprocessableEntity,
		errorType: "invalid_request_error",
		code:      "request_crashes_targets",
		message:   "targets crashed while they ran this request",
		outcome:   outcome,
	}
}

// outcome returns the value of the outcome header for a job that failed: run, unknown or not-run.
func (j *job) outcome() string {
	switch {
	case len(j.deliveredTokens) > 0:
		return outcomeRun
	case j.mayHaveStarted:
		return outcomeUnknown
	}
	return outcomeNotRun
}

// routerRequest returns the properties of the job by which the router chooses a target.
func (j *job) routerRequest() router.Request {
	promptStart := j.request.Prompt()
	promptStart = promptStart[:min(len(promptStart), routePrefixBytes)]
	return router.Request{Model: j.model, Adapter: j.adapter, Prefix: xxhash.Sum64String(j.model + "\x00" + promptStart)}
}

func (j *job) tokensUsed() int { return len(j.deliveredTokens) }

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

// routedEventKind tells the first attempts from those that resume an answer after its first tokens.
func routedEventKind(job *job) timeline.Kind {
	if len(job.deliveredTokens) > 0 {
		return timeline.RequestResumed
	}
	return timeline.RequestRouted
}

// contextCauseOr returns the cause of a context that has ended, else err.
func contextCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func closeStream(stream drpc.Stream) { _ = stream.Close() }

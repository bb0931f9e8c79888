package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/retrybudget"
	"gypsumbank/route"
)

// ErrNotHeld reports that a target can't be made to hold a model or adapter now.
var ErrNotHeld = errors.New("target can not hold it now")

// NoBudgetError reports that no load from the weight store may begin for a time; it wraps ErrNotHeld.
type NoBudgetError struct{ Wait time.Duration }

// Error returns the time to wait.
func (e *NoBudgetError) Error() string {
	return fmt.Sprintf("%v: no load from the weight store for %s", ErrNotHeld, e.Wait)
}

// Unwrap returns ErrNotHeld.
func (e *NoBudgetError) Unwrap() error { return ErrNotHeld }

// Targets sends requests to targets.
type Targets interface {
	Send(ctx context.Context, req *request.Request, by registry.Delivery) reply.Reply
}

// Residency has targets hold models and adapters; errors wrap ErrNotHeld.
type Residency interface {
	Ensure(ctx context.Context, to registry.Target, requestID, model, adapter, evict string) error
	// TellDemand has the demand told at once to the gateway that plans.
	TellDemand()
	// TellLoad has what this gateway has at a target told to its agent.
	TellLoad(of registry.Target)
}

// Dispatcher holds what the dispatches of a gateway share.
type Dispatcher struct {
	fleet     *fleet.Fleet
	targets   Targets
	residency Residency
	budget    *retrybudget.Budget
	log       *logrus.Entry
	now       func() time.Time
}

// New returns a dispatcher that reads the time from now.
func New(f *fleet.Fleet, targets Targets, residency Residency, budget *retrybudget.Budget, log *logrus.Entry, now func() time.Time) *Dispatcher {
	return &Dispatcher{fleet: f, targets: targets, residency: residency, budget: budget, log: log, now: now}
}

// Dispatch is the way of one request to its targets.
type Dispatch struct {
	*Dispatcher
	request  *request.Request
	route    *route.Route
	service  string
	ctx      context.Context // ends with the caller, at the deadline or by Close
	cancel   context.CancelFunc
	deadline time.Time
	exclude  map[string]bool
	sends    int // requests that left this process
	runs     int // of those, the ones that may have run
	log      *logrus.Entry
}

const (
	// defaultWait bounds a request where neither its caller nor its route says how long it may take.
	defaultWait = 30 * time.Second
	// settleTime is what is left of a caller's deadline when its request gets its final answer.
	settleTime = 20 * time.Millisecond
	// minRun is the least time in which a target can be expected to answer.
	minRun = 10 * time.Millisecond
	// maxSends bounds how often a request is offered to targets that refuse it.
	maxSends = 3
	// maxUnreached bounds how many targets without a connection are tried.
	maxUnreached = 4
	// usualRetryAfter is told to callers when nothing better is known.
	usualRetryAfter = 300 * time.Millisecond
	// adapterWait bounds the wait for an adapter, which takes some ms to load.
	adapterWait = 600 * time.Millisecond
	// loadTimeout bounds a load, which takes a few seconds after the runs of the model that makes way.
	loadTimeout = 15 * time.Second
	// modelPoll is the pause before another look at which targets hold a model.
	modelPoll = 40 * time.Millisecond
)

// Begin returns the dispatch of a request on a route to a service, which must be closed; ctx ends when the caller leaves.
func (d *Dispatcher) Begin(ctx context.Context, req *request.Request, r *route.Route, service string) *Dispatch {
	wait := r.Timeout
	if req.Timeout > 0 && (wait == 0 || req.Timeout < wait) {
		wait = req.Timeout
	}
	d.budget.Request(service, d.now())
	req.Priority = r.Priority
	if d.fleet.RecordDemand(service, req, d.now()) {
		d.residency.TellDemand()
	}
	if wait <= 0 {
		wait = defaultWait
	}
	deadline := req.Arrived.Add(wait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-settleTime))
	return &Dispatch{
		Dispatcher: d, request: req, route: r, service: service,
		ctx: ctx, cancel: cancel, deadline: deadline,
		exclude: map[string]bool{},
		log:     d.log.WithFields(logrus.Fields{"request": req.ID, "route": r.Name, "kind": r.Kind.String(), "service": service}),
	}
}

// Close ends the dispatch and what it still has at a target.
func (d *Dispatch) Close() { d.cancel() }

// TimedOut reports whether the deadline has come, as opposed to the caller having left.
func (d *Dispatch) TimedOut() bool { return errors.Is(d.ctx.Err(), context.DeadlineExceeded) }

// Run takes the request to targets.
func (d *Dispatch) Run() Outcome {
	unreached := 0
	for {
		choice, refused := d.choose()
		if d.ctx.Err() != nil {
			return d.ended()
		}
		if refused != nil {
			return d.unanswered(*refused)
		}
		outcome, again := d.attempt(choice)
		if !again {
			return outcome
		}
		if _, ok := outcome.(unreachable); ok {
			if unreached++; unreached > maxUnreached {
				return d.unanswered(Refused{Reason: NoTarget, RetryAfter: usualRetryAfter})
			}
		}
	}
}

// unreachable is the outcome of an attempt without a connection; it never leaves the package.
type unreachable struct{ Abandoned }

// choose returns a target that holds what the request needs, or why there is none.
func (d *Dispatch) choose() (fleet.Choice, *Refused) {
	for {
		if d.ctx.Err() != nil {
			return fleet.Choice{}, nil
		}
		now := d.now()
		choice, ok := d.fleet.Choose(fleet.Query{Service: d.service, Request: d.request, Exclude: d.exclude}, now)
		left := d.deadline.Sub(now)
		switch {
		case !ok:
			return choice, &Refused{Reason: NoTarget, RetryAfter: usualRetryAfter}
		case choice.LacksModel:
			if refused := d.awaitModel(left); refused != nil {
				return choice, refused
			}
			continue
		case choice.Expected+minRun > left:
			d.log.WithFields(logrus.Fields{
				"target": choice.Target.ID, "expected-ms": choice.Expected.Milliseconds(), "left-ms": left.Milliseconds(),
				"candidates": choice.Candidates, "report-age-ms": choice.ReportAge.Milliseconds(),
			}).Info("no target answers in time")
			return choice, &Refused{Reason: Overload, RetryAfter: choice.Expected / 2}
		case !choice.LacksAdapter:
			return choice, nil
		}
		if err := d.loadAdapter(choice); err != nil {
			d.exclude[choice.Target.ID] = true
			d.log.WithError(err).WithField("target", choice.Target.ID).Info("adapter not loaded")
			if d.ctx.Err() != nil || len(d.exclude) >= maxSends {
				return choice, &Refused{Reason: NoAdapter, RetryAfter: usualRetryAfter}
			}
			continue
		}
		return choice, nil
	}
}

func (d *Dispatch) loadAdapter(choice fleet.Choice) error {
	ctx, cancel := context.WithTimeout(d.ctx, adapterWait)
	defer cancel()
	err := d.residency.Ensure(ctx, choice.Target, d.request.ID, d.request.Model, d.request.Adapter, "")
	if err == nil {
		d.fleet.MarkHeld(choice.Target.ID, d.request.Model, d.request.Adapter)
	}
	return err
}

// awaitModel waits a little for a target to hold the model, or tells why that would be in vain.
func (d *Dispatch) awaitModel(left time.Duration) *Refused {
	eta, known := d.fleet.LoadETA(d.service, d.request.Model, d.now())
	if !known || eta+minRun > left {
		d.log.WithFields(logrus.Fields{
			"model": d.request.Model, "listed": known, "expected-ms": eta.Milliseconds(), "left-ms": left.Milliseconds(),
		}).Info("model will not be held in time")
		return &Refused{Reason: NoModel, RetryAfter: max(usualRetryAfter, min(eta, left/3))}
	}
	select {
	case <-d.ctx.Done():
	case <-time.After(modelPoll):
	}
	return nil
}

// Load has a target load a model.
func (d *Dispatcher) Load(ctx context.Context, p fleet.Placement) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	begun := d.now()
	log := d.log.WithFields(logrus.Fields{
		"target": p.Target.ID, "model": p.Model, "evict": p.Evict, "copies": p.Copies,
		"work-ms-per-s": int(p.WorkPerCopyMsPerS), "expected-ms": p.ETA.Milliseconds(),
	})
	log.Info("model load begins")
	err := d.residency.Ensure(ctx, p.Target, "", p.Model, "", p.Evict)
	log = log.WithField("took-ms", d.now().Sub(begun).Milliseconds())
	if err != nil {
		log.WithError(err).Info("model not loaded")
		var noBudget *NoBudgetError
		if errors.As(err, &noBudget) {
			d.fleet.MarkStoreExhausted(p.Target.Service, d.now().Add(noBudget.Wait))
		}
		d.fleet.MarkLoadFailed(p.Target.ID, p.Model)
		return
	}
	log.Info("model loaded")
	d.fleet.MarkHeld(p.Target.ID, p.Model, "")
	d.fleet.MarkLoaded(p.Target.ID, p.Model, d.now())
}

// attempt sends the request to the chosen target and reports whether to go on with another.
func (d *Dispatch) attempt(choice fleet.Choice) (Outcome, bool) {
	now := d.now()
	if d.sends > 0 && !d.budget.Take(d.service, d.fleet.GatewayCount(), now) {
		return d.unanswered(Refused{Reason: NoRetryBudget, RetryAfter: usualRetryAfter}), false
	}
	assignment := d.fleet.Assign(choice, d.request, now)
	if d.request.Model != "" {
		d.residency.TellLoad(choice.Target)
		assignment.OnEnd(func() { d.residency.TellLoad(choice.Target) })
	}
	result := d.targets.Send(d.ctx, d.request, registry.Delivery{
		Target: choice.Target, TimeLeft: d.deadline.Sub(now), AtMostOnce: !d.route.Repeatable(), KVCacheSource: choice.FetchFrom,
	})
	took := d.now().Sub(now)
	log := d.log.WithFields(logrus.Fields{
		"target": choice.Target.ID, "waited-ms": now.Sub(d.request.Arrived).Milliseconds(), "expected-ms": choice.Expected.Milliseconds(), "took-ms": took.Milliseconds(),
		"unread": choice.PrefillTokens, "fetched": choice.FetchTokens, "report-age-ms": choice.ReportAge.Milliseconds(), "candidates": choice.Candidates, "send": d.sends + 1,
	})
	switch result := result.(type) {
	case reply.Answered:
		d.sends++
		d.runs++
		return d.answered(result, assignment, log)
	case reply.NotRun:
		d.sends++
		return d.notRun(result, assignment, log)
	case reply.NotSent:
		d.exclude[choice.Target.ID] = true
		assignment.End(fleet.Unreached, d.now())
		log.WithError(result.Err).Info("target not reached")
		if d.ctx.Err() != nil {
			return d.ended(), false
		}
		return unreachable{}, true
	case reply.Broken:
		d.sends++
		d.runs++
		return d.broken(result, assignment, log)
	}
	return Failed{Reason: AnswerLost}, false
}

func (d *Dispatch) answered(result reply.Answered, assignment *fleet.Assignment, log *logrus.Entry) (Outcome, bool) {
	assignment.Start(d.now())
	if d.request.Model != "" {
		d.residency.TellLoad(assignment.Target())
	}
	if result.Answer.Status >= 500 && d.mayRunAgain() {
		assignment.End(fleet.Failed, d.now())
		result.Answer.Body.Close()
		d.exclude[assignment.Target().ID] = true
		log.WithField("status", result.Answer.Status).Info("target failed, sending again")
		return nil, true
	}
	log.WithField("status", result.Answer.Status).Info("answer begins")
	return Answered{Answer: result.Answer, Assignment: assignment}, false
}

func (d *Dispatch) notRun(result reply.NotRun, assignment *fleet.Assignment, log *logrus.Entry) (Outcome, bool) {
	to := assignment.Target()
	assignment.End(fleet.Refused, d.now())
	log.WithFields(logrus.Fields{"misplaced": result.Misplaced, "other": result.Other}).Info("target refused")
	switch {
	case result.Other != "":
		d.fleet.MarkReplaced(to.ID)
	case result.Misplaced:
		d.fleet.MarkNotHeld(to.ID, d.request.Model, d.request.Adapter)
	default:
		d.exclude[to.ID] = true
	}
	if d.sends >= maxSends {
		return d.unanswered(Refused{Reason: AllRefused, RetryAfter: usualRetryAfter}), false
	}
	return nil, true
}

func (d *Dispatch) broken(result reply.Broken, assignment *fleet.Assignment, log *logrus.Entry) (Outcome, bool) {
	if d.ctx.Err() != nil {
		assignment.End(fleet.Abandoned, d.now())
		log.WithField("timed-out", d.TimedOut()).Info("target had not answered")
		return d.ended(), false
	}
	assignment.End(fleet.Failed, d.now())
	d.exclude[assignment.Target().ID] = true
	log.WithError(result.Err).Info("answer lost")
	if d.mayRunAgain() {
		return nil, true
	}
	return Failed{Reason: AnswerLost}, false
}

func (d *Dispatch) mayRunAgain() bool {
	return d.ctx.Err() == nil && d.route.Repeatable() && d.runs < d.route.MaxAttempts && d.deadline.Sub(d.now()) > minRun+settleTime
}

// Resume takes a stream on to another target after the event with the given id.
func (d *Dispatch) Resume(lastEventID string) Outcome {
	d.request.LastEventID = lastEventID
	if !d.mayRunAgain() {
		return Failed{Reason: StreamBroken}
	}
	return d.Run()
}

// Exclude leaves a target out of what follows.
func (d *Dispatch) Exclude(id string) { d.exclude[id] = true }

// unanswered returns refused, or a failure if an earlier attempt may have run.
func (d *Dispatch) unanswered(refused Refused) Outcome {
	if d.runs > 0 {
		return Failed{Reason: refused.Reason}
	}
	return refused
}

// ended returns the outcome of a request whose caller has left or whose deadline has come.
func (d *Dispatch) ended() Outcome {
	if !d.TimedOut() {
		return Abandoned{}
	}
	if d.runs > 0 {
		return Failed{Reason: TimeoutMayRun, TimedOut: true}
	}
	return Refused{Reason: TimeoutNotRun, RetryAfter: usualRetryAfter}
}

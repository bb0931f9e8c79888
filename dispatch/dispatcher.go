package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
	"gypsumbank/origin"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/retrybudget"
	"gypsumbank/route"
	"gypsumbank/waitlist"
)

// Sender sends requests to targets.
type Sender interface {
	Send(ctx context.Context, req *request.Request, delivery registry.Delivery) reply.Result
}

// AgentClient communicates with the agents of model engines.
type AgentClient interface {
	// EnsureLoaded makes the agent load a model, and an adapter unless it is empty, and returns once the target holds them.
	// Errors wrap ErrNotLoaded.
	EnsureLoaded(ctx context.Context, target registry.Target, requestID, model, adapter, evict string) error
	// PushDemand sends the demand of this gateway to the agents now, for the gateway that plans model loads.
	PushDemand()
	// FindOrigin asks the agents that gateways tell of their streams at which software version one began, and returns the age
	// of that record; ok is false if none knows it.
	FindOrigin(ctx context.Context, stream uint64) (version registry.SoftwareVersion, age time.Duration, ok bool)
	// PushUsage sends the requests of this gateway that are in progress at a target to its agent.
	PushUsage(target registry.Target)
	// AskTurn asks the agent of a target for a turn to have a long prompt prefilled; ok is false if it can't be asked.
	AskTurn(target registry.Target, request TurnRequest) (turn Turn, ok bool)
	// PushOrigin tells agents at which software version a stream has begun.
	PushOrigin(stream uint64)
}

// Registry is the registry of targets, of which the fleet is a copy.
type Registry interface {
	// Refresh updates the fleet by a read of the registry that begins after the call.
	Refresh(ctx context.Context) error
}

// Quarantine finds the contents of requests under which targets crash.
type Quarantine interface {
	// Blocked returns for how long requests with any of the contents are to be refused; 0 if they need not be.
	Blocked(contents []request.Content) time.Duration
	// Suspect records that an answer broke off before it had begun, or soon after.
	Suspect(target registry.Target, contents []request.Content)
	// Clear records that a request with the contents was answered.
	Clear(contents []request.Content)
	// MarkReplaced records that another run has the address of a target, so that this one has ended.
	MarkReplaced(target registry.Target)
}

// Dispatcher holds the state that all dispatches of a gateway share.
type Dispatcher struct {
	fleet      *fleet.Fleet
	sender     Sender
	agents     AgentClient
	registry   Registry
	budget     *retrybudget.Budget
	quarantine Quarantine
	origins    *origin.Table  // streams that began here
	waits      *waitlist.List // requests that wait for room at an engine
	returns    *returnMemory
	log        *logrus.Entry
	now        func() time.Time
	stop       *stop

	storedVersions Registry // the store's row of software versions; nil if it is not used
	attempts       *engineAttempts
}

// New returns a dispatcher that reads the time from now.
func New(f *fleet.Fleet, sender Sender, agents AgentClient, registry Registry, budget *retrybudget.Budget, quarantine Quarantine, origins *origin.Table, log *logrus.Entry, now func() time.Time) *Dispatcher {
	return &Dispatcher{fleet: f, sender: sender, agents: agents, registry: registry, budget: budget, quarantine: quarantine, origins: origins, waits: waitlist.New(), returns: newReturnMemory(), log: log, now: now, stop: newStop(), attempts: newEngineAttempts(log, now)}
}

// Dispatch is one request with the state of its attempts.
type Dispatch struct {
	*Dispatcher
	request      *request.Request
	contents     []request.Content // what the request may have in common with others under which targets have crashed
	route        *route.Route
	service      string
	ctx          context.Context // ends when the caller disconnects, shortly before the deadline, with the grace or by Close
	cancel       func()
	deadline     time.Time
	excluded     map[string]bool
	sendCount    int // attempts that left this process
	possibleRuns int // of those, attempts that may have run
	// streamVersion is the software version that wrote the first event of the stream, at which alone it may go on; nil for a
	// stream without events.
	streamVersion *registry.SoftwareVersion
	backup        *fleet.Backup   // copy of the run of the attempt in progress, at which its stream may go on; nil without one
	wentOn        bool            // the attempt in progress goes on from a copy
	engineAttempt *engineAttempt  // in progress; nil for a plain service
	place         *waitlist.Place // while the request waits for room
	granted       grantedService  // for the attempt in progress
	wait          wait            // in progress; zero if there is none
	turn          *Turn           // to have the prompt prefilled; nil if the request has none
	returned      bool            // the caller has come back after a refusal for lack of room
	log           *logrus.Entry
}

const (
	// defaultTimeout applies to a request for which neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// finalResponseMargin is how long before a caller's deadline its request gets a final response.
	finalResponseMargin = 20 * time.Millisecond
	// minResponseTime is the shortest time in which a target can be expected to respond.
	minResponseTime = 10 * time.Millisecond
	// maxSends bounds the sends of a request that targets refuse, and the targets tried to load its adapter.
	maxSends = 3
	// maxConnectFailures is how many failed connections are tolerated for one request.
	maxConnectFailures = 4
	// defaultRetryAfter is the Retry-After for callers when there is no better estimate.
	defaultRetryAfter = 300 * time.Millisecond
	// StoppingRetryAfter is the Retry-After of a process that stops. It is short because another gateway can serve the
	// request at once.
	StoppingRetryAfter = 20 * time.Millisecond
)

// Deadline returns until when a request on a route must have its final answer.
func Deadline(req *request.Request, r *route.Route) time.Time {
	timeout := r.Timeout
	if req.Timeout > 0 && (timeout == 0 || req.Timeout < timeout) {
		timeout = req.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return req.Arrived.Add(timeout)
}

// Begin returns the dispatch of a request on a route to a service and counts the request in the retry budget and the
// demand. The dispatch must be closed. The given ctx ends when the caller disconnects.
func (d *Dispatcher) Begin(ctx context.Context, req *request.Request, r *route.Route, service string) *Dispatch {
	d.budget.CountRequest(service, d.now())
	if d.fleet.RecordDemand(service, req, d.now()) {
		d.agents.PushDemand()
	}
	deadline := Deadline(req, r)
	ctx, end := context.WithCancelCause(ctx)
	endWithGrace := context.AfterFunc(d.stop.grace, func() { end(errGraceOver) })
	ctx, cancelDeadline := context.WithDeadline(ctx, deadline.Add(-finalResponseMargin))
	cancel := func() {
		endWithGrace()
		cancelDeadline()
		end(nil)
	}
	contents := req.Contents()
	return &Dispatch{
		Dispatcher: d, request: req, contents: contents, route: r, service: service,
		returned: d.returns.has(contents[len(contents)-1].Hash, d.now()),
		ctx:      ctx, cancel: cancel, deadline: deadline,
		excluded: map[string]bool{},
		log:      d.log.WithFields(logrus.Fields{"request": req.ID, "route": r.Name, "kind": r.Kind.String(), "service": service}),
	}
}

// Close ends the dispatch and cancels an attempt in progress.
func (d *Dispatch) Close() { d.cancel() }

// TimedOut reports whether the dispatch ended at the deadline, as opposed to the caller having disconnected.
func (d *Dispatch) TimedOut() bool { return errors.Is(d.ctx.Err(), context.DeadlineExceeded) }

// Run sends the request to one target after another until its outcome is known.
func (d *Dispatch) Run() Outcome {
	defer d.leaveWaitlist()
	defer d.settleService()
	if refused := d.findOrigin(); refused != nil {
		return d.finalOutcome(*refused)
	}
	connectFailures := 0
	for {
		d.settleService()
		choice, refused := d.chooseTarget()
		if d.ctx.Err() != nil {
			return d.contextOutcome()
		}
		if refused != nil {
			return d.refuse(*refused)
		}
		choice, mayBegin, refused := d.takePrefillTurn(choice)
		if refused != nil {
			return d.refuse(*refused)
		}
		if !mayBegin {
			continue
		}
		sendsBefore := d.sendCount
		outcome, retry := d.attempt(choice)
		d.endPrefillTurn(sendsBefore)
		if !retry {
			return outcome
		}
		if _, ok := outcome.(connectFailed); ok {
			if connectFailures++; connectFailures > maxConnectFailures {
				return d.finalOutcome(Refused{Reason: NoTarget, RetryAfter: defaultRetryAfter})
			}
		}
	}
}

// connectFailed is the outcome of an attempt that could not connect to its target. It is never returned to callers of the
// package.
type connectFailed struct{ Abandoned }

// chooseTarget returns a target that holds the model and adapter of the request, after waiting or loading as needed, or the
// reason why there is none. If the context has ended, the choice is empty or must not be used.
func (d *Dispatch) chooseTarget() (fleet.Choice, *Refused) {
	for {
		if d.ctx.Err() != nil {
			return fleet.Choice{}, nil
		}
		if refused := d.refuseQuarantined(); refused != nil {
			return fleet.Choice{}, refused
		}
		now := d.now()
		choice, ok := d.chooseInTime(now)
		remaining := d.beginDeadline(choice).Sub(now)
		if refused := d.refuseStopping(choice); refused != nil {
			return choice, refused
		}
		switch {
		case !ok:
			return choice, &Refused{Reason: NoTarget, RetryAfter: defaultRetryAfter}
		case choice.LacksModel:
			if refused := d.waitForModel(remaining); refused != nil {
				return choice, refused
			}
			continue
		case choice.Expected+minResponseTime > remaining:
			d.log.WithFields(logrus.Fields{
				"target": choice.Target.ID, "expected-ms": choice.Expected.Milliseconds(), "left-ms": remaining.Milliseconds(),
				"candidates": choice.Candidates, "report-age-ms": choice.ReportAge.Milliseconds(), "output-tokens": d.request.ExpectedOutputTokens(),
			}).Info("no target answers in time")
			return choice, &Refused{Reason: Overload, RetryAfter: max(choice.Expected/2, choice.TurnWait)}
		}
		mayBegin, refused := d.waitForTurn(choice, now)
		if refused != nil {
			return choice, refused
		}
		if !mayBegin {
			continue
		}
		d.endWait()
		if !choice.LacksAdapter {
			return choice, nil
		}
		if err := d.loadAdapter(choice); err != nil {
			d.excluded[choice.Target.ID] = true
			d.log.WithError(err).WithField("target", choice.Target.ID).Info("adapter not loaded")
			if d.ctx.Err() != nil || len(d.excluded) >= maxSends {
				return choice, &Refused{Reason: NoAdapter, RetryAfter: defaultRetryAfter}
			}
			continue
		}
		return choice, nil
	}
}

// query returns what a target is chosen by.
func (d *Dispatch) query() fleet.Query {
	return fleet.Query{
		Service: d.service, Request: d.request, AtMostOnce: !d.route.Repeatable(), Exclude: d.excluded, SoftwareVersion: d.streamVersion,
		LoadsModel: d.streamVersion != nil, BeginsResumable: d.beginsResumable(),
	}
}

// refuseQuarantined returns a refusal if targets have crashed under requests with the same contents.
func (d *Dispatch) refuseQuarantined() *Refused {
	left := d.quarantine.Blocked(d.contents)
	if left == 0 {
		return nil
	}
	d.log.WithFields(logrus.Fields{
		"model": d.request.Model, "parts": d.request.SharedPartIDs(), "content": d.contents[len(d.contents)-1], "left-ms": left.Milliseconds(),
	}).Info("targets crash under requests like this one")
	return &Refused{Reason: CrashesTargets, RetryAfter: left}
}

// MarkAnswered records that the request was answered, so that its contents are not the cause of crashes.
func (d *Dispatch) MarkAnswered() { d.quarantine.Clear(d.contents) }

// MarkBroken records that a target's answer broke off before it had begun, or soon after.
func (d *Dispatch) MarkBroken(target registry.Target) { d.quarantine.Suspect(target, d.contents) }

package dispatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
)

// chooseBackup reserves KV cache at a second engine for a copy of the run that begins at the chosen one; nil if the run is not to be copied.
func (d *Dispatch) chooseBackup(choice fleet.Choice, now time.Time) *fleet.Backup {
	backup, decision := d.fleet.ChooseBackup(choice, d.request, d.route, d.deadline, now)
	if decision.Reason == "" {
		return nil
	}
	metrics.GetOrCreateCounter(`gypsumbank_gateway_copies_total{decision="` + string(decision.Reason) + `"}`).Inc()
	if !decision.Worth() {
		return backup
	}
	second := ""
	if backup != nil {
		second = backup.Target().ID
	}
	d.log.WithFields(logrus.Fields{
		"target": choice.Target.ID, "second": second, "tokens": d.request.PromptTokens + d.request.ExpectedOutputTokens(), "reason": decision.Reason,
		"transfer-ms": decision.Transfer.Milliseconds(), "left-ms": d.deadline.Sub(now).Milliseconds(),
	}).Info("copy of the run")
	return backup
}

// HasCopy reports whether the run of the answer in progress can go on at a second engine.
func (d *Dispatch) HasCopy() bool { return d.backup != nil }

// WentOn reports whether the answer in progress is that of a second engine.
func (d *Dispatch) WentOn() bool { return d.wentOn }

// DropCopy has the run not go on at a second engine.
func (d *Dispatch) DropCopy() { d.backup = nil }

// hasStopped reports whether the first engine works no more on the request whose answer broke off with an error: its agent says that it has
// ended, it has ended the connection itself, or the connection was reset, which ends the run, also of an engine that was suspended when it wakes.
// Where a connection has timed out, the reset may not arrive, so that the engine may be at work beyond a broken link.
func (d *Dispatch) hasStopped(err error) bool {
	if d.engineAttempt.isGivenUp() {
		return true
	}
	var netErr net.Error
	isTimeout := errors.As(err, &netErr) && netErr.Timeout()
	return !isTimeout && !errors.Is(err, syscall.EHOSTUNREACH) && !errors.Is(err, syscall.ENETUNREACH) && !errors.Is(err, reply.ErrInvalid)
}

// GoOn sends the request to the engine that keeps a copy of its run, after the engine that ran it has broken off its answer with an error, and
// returns the rest of the stream after the event with the given id. The connection to the first engine must have been reset. ok is false if there is
// no copy, or the first engine may still be at work.
func (d *Dispatch) GoOn(broken registry.Target, lastEventID string, err error) (outcome Outcome, ok bool) {
	backup := d.backup
	d.backup = nil
	if backup == nil || !d.hasStopped(err) {
		return nil, false
	}
	began := d.now()
	log := d.log.WithFields(logrus.Fields{"from": broken.ID, "to": backup.Target().ID, "last-event": lastEventID, "given-up": d.engineAttempt.isGivenUp()})
	d.request.LastEventID = lastEventID
	choice, refused := d.mayGoOn(backup, broken)
	if refused != "" {
		return d.stopsHere(log, refused, began), true
	}
	outcome, result := d.sendToCopy(choice)
	log = log.WithField("took-ms", d.now().Sub(began).Milliseconds())
	if result != goneOn {
		return d.stopsHere(log, result, began), true
	}
	countGoOn(goneOn)
	log.Info("stream goes on at its copy")
	d.wentOn = true
	return outcome, true
}

// Results of an attempt to go on at a copy, as written to logs and metrics.
const (
	goneOn        = "gone-on"
	callerGone    = "caller-left"
	tooLate       = "too-late"
	noRetryBudget = "no-retry-budget"
	otherVersion  = "other-version"
	secondGone    = "second-engine-gone"
	quarantined   = "crashes-targets"
	noCopy        = "no-copy"
	errorStatus   = "error-status"
	notReached    = "not-reached"
	noAnswer      = "no-answer"
)

// countGoOn counts an attempt to go on at a copy by its result.
func countGoOn(result string) {
	metrics.GetOrCreateCounter(`gypsumbank_gateway_copies_used_total{result="` + result + `"}`).Inc()
}

// stopsHere logs and counts a stream that does not go on, and returns its outcome.
func (d *Dispatch) stopsHere(log *logrus.Entry, result string, began time.Time) Outcome {
	countGoOn(result)
	log.WithFields(logrus.Fields{"result": result, "took-ms": d.now().Sub(began).Milliseconds()}).Info("stream does not go on at its copy")
	if d.ctx.Err() != nil {
		return d.contextOutcome()
	}
	return Failed{Reason: StreamBroken}
}

// mayGoOn returns the choice of the engine that keeps the copy, or why the stream must not go on there.
func (d *Dispatch) mayGoOn(backup *fleet.Backup, broken registry.Target) (choice fleet.Choice, refused string) {
	now := d.now()
	switch {
	case d.ctx.Err() != nil:
		return choice, callerGone
	case d.deadline.Sub(now) <= minResponseTime+finalResponseMargin:
		return choice, tooLate
	case d.quarantine.Blocked(d.contents) > 0:
		return choice, quarantined
	case d.streamVersion == nil && !d.bindVersion(d.confirmOrigin(streamOrigin{version: broken.SoftwareVersion, source: "answer"})):
		return choice, otherVersion
	}
	choice, ok := backup.Use(*d.streamVersion, d.now())
	if !ok {
		return choice, secondGone
	}
	if !d.budget.AllowRetry(d.service, d.fleet.GatewayCount(), d.now()) {
		return choice, noRetryBudget
	}
	return choice, ""
}

// sendToCopy sends the request once to the engine that keeps the copy of its run.
func (d *Dispatch) sendToCopy(choice fleet.Choice) (Outcome, string) {
	now := d.now()
	assignment := d.assign(choice, nil, now)
	result := d.sender.Send(d.engineAttempt.ctx, d.request, registry.Delivery{
		Target: choice.Target, TimeLeft: d.deadline.Sub(now), AtMostOnce: true, Copy: &registry.RunCopy{Address: choice.Target.Address, Name: d.request.ID},
	})
	switch result := result.(type) {
	case reply.Answered:
		d.sendCount++
		d.possibleRuns++
		d.recordNotice(assignment, result.Notice)
		if status := result.Response.Status; status >= http.StatusMultipleChoices {
			result.Response.Body.Close()
			assignment.End(fleet.Misdirected, d.now())
			if status == http.StatusServiceUnavailable {
				return nil, noCopy
			}
			return nil, errorStatus
		}
		assignment.Start(d.now())
		d.agents.PushUsage(choice.Target)
		return Answered{Response: result.Response, Assignment: assignment}, goneOn
	case reply.NotRun:
		d.sendCount++
		if result.OtherTargetID == "" {
			d.recordNotice(assignment, result.Notice)
		}
		assignment.End(fleet.Misdirected, d.now())
		return nil, noCopy
	case reply.NotSent:
		assignment.End(fleet.Unreached, d.now())
		return nil, notReached
	}
	d.sendCount++
	d.possibleRuns++
	if d.ctx.Err() != nil {
		assignment.End(fleet.Abandoned, d.now())
		return nil, callerGone
	}
	assignment.End(fleet.Failed, d.now())
	d.MarkBroken(choice.Target)
	return nil, noAnswer
}

// assign records that the request is sent to the chosen target, with a copy of its run unless backup is nil, and watches the engine's state
// while it is there.
func (d *Dispatch) assign(choice fleet.Choice, backup *fleet.Backup, now time.Time) *fleet.Assignment {
	assignment := d.fleet.Assign(choice, d.request, now)
	d.backup, d.engineAttempt = backup, nil
	if backup != nil {
		assignment.SetBackup(backup)
	}
	if d.request.Model == "" {
		return assignment
	}
	current := d.attempts.begin(d.ctx, choice.Target, d.request.ID, backup != nil, now)
	d.engineAttempt = current
	d.agents.PushUsage(choice.Target)
	assignment.OnEnd(func() {
		d.attempts.remove(current)
		d.agents.PushUsage(choice.Target)
	})
	return assignment
}

// attemptContext returns the context of the attempt in progress.
func (d *Dispatch) attemptContext() context.Context {
	if d.engineAttempt != nil {
		return d.engineAttempt.ctx
	}
	return d.ctx
}

package dispatch

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/connpool"
	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
)

// attempt sends the request to the chosen target and reports whether to retry it on another.
func (d *Dispatch) attempt(choice fleet.Choice) (Outcome, bool) {
	if refused := d.refuseStopping(choice); refused != nil {
		return d.finalOutcome(*refused), false // the stop has begun since the choice
	}
	now := d.now()
	if !d.fleet.TakeTurn(choice, now) {
		return nil, true // another request has taken it since the choice
	}
	if d.sendCount > 0 && !d.budget.AllowRetry(d.service, d.fleet.GatewayCount(), now) {
		return d.finalOutcome(Refused{Reason: NoRetryBudget, RetryAfter: defaultRetryAfter}), false
	}
	delivery := registry.Delivery{
		Target: choice.Target, TimeLeft: d.deadline.Sub(now), AtMostOnce: !d.route.Repeatable(), KVCacheSource: choice.FetchFrom,
	}
	backup := d.chooseBackup(choice, now)
	if backup != nil {
		delivery.BackupAddress = backup.Target().Address
	}
	d.logSentInStop(choice)
	assignment := d.assign(choice, backup, now)
	result := d.sender.Send(d.attemptContext(), d.request, delivery)
	elapsed := d.now().Sub(now)
	log := d.log.WithFields(logrus.Fields{
		"target": choice.Target.ID, "waited-ms": now.Sub(d.request.Arrived).Milliseconds(), "expected-ms": choice.Expected.Milliseconds(), "took-ms": elapsed.Milliseconds(),
		"unread": choice.PrefillTokens, "fetched": choice.FetchTokens, "report-age-ms": choice.ReportAge.Milliseconds(), "candidates": choice.Candidates, "rank": choice.Rank, "connected": choice.Connected, "prompt-class": choice.PromptClass, "send": d.sendCount + 1,
	})
	if choice.PromptClass != "" {
		metrics.GetOrCreateCounter(`gypsumbank_gateway_prompt_class_total{chosen="` + string(choice.PromptClass) + `"}`).Inc()
	}
	switch result := result.(type) {
	case reply.Answered:
		d.sendCount++
		d.possibleRuns++
		return d.handleAnswered(result, assignment, log)
	case reply.NotRun:
		d.sendCount++
		return d.handleNotRun(result, assignment, log)
	case reply.NotSent:
		return d.handleNotSent(result, assignment, elapsed, log)
	case reply.NoUsableResponse:
		d.sendCount++
		d.possibleRuns++
		return d.handleNoResponse(result, assignment, log)
	}
	return Failed{Reason: AnswerLost}, false
}

// slowConnect is the time from which a connection that is not open yet counts as failed, though its caller has left.
const slowConnect = 100 * time.Millisecond

// handleNotSent has another target tried, which must not be this one again, unless the caller has left or no connection can be opened to any.
func (d *Dispatch) handleNotSent(result reply.NotSent, assignment *fleet.Assignment, elapsed time.Duration, log *logrus.Entry) (Outcome, bool) {
	if errors.Is(result.Err, connpool.ErrExhausted) {
		assignment.End(fleet.Abandoned, d.now()) // the target has no part in it
		log.WithError(result.Err).Info("no descriptor for a connection")
		return d.finalOutcome(Refused{Reason: NoDescriptors, RetryAfter: defaultRetryAfter}), false
	}
	if d.ctx.Err() != nil && elapsed < slowConnect {
		assignment.End(fleet.Abandoned, d.now())
		log.WithError(result.Err).Info("request ended before its connection was open")
		return d.contextOutcome(), false
	}
	d.excluded[assignment.Target().ID] = true
	assignment.End(fleet.Unreached, d.now())
	log.WithError(result.Err).Info("target not reached")
	if d.ctx.Err() != nil {
		return d.contextOutcome(), false
	}
	return connectFailed{}, true
}

// handleAnswered returns the response as the outcome, or retries the request if its status is a server error and another
// run is allowed.
func (d *Dispatch) handleAnswered(result reply.Answered, assignment *fleet.Assignment, log *logrus.Entry) (Outcome, bool) {
	assignment.Start(d.now())
	if d.request.Model != "" {
		d.agents.PushUsage(assignment.Target())
	}
	d.recordNotice(assignment, result.Notice)
	log = log.WithFields(logrus.Fields{"limit": result.Notice.Limit.String(), "connection": result.Response.Use.String()})
	if result.Response.Status >= 500 && d.canRetry() {
		assignment.End(fleet.Failed, d.now())
		result.Response.Body.Close()
		d.excluded[assignment.Target().ID] = true
		log.WithField("status", result.Response.Status).Info("target failed, sending again")
		return nil, true
	}
	if d.request.Customer != "" {
		log = log.WithField("customer", d.request.Customer)
	}
	log.WithField("status", result.Response.Status).Info("answer begins")
	return Answered{Response: result.Response, Assignment: assignment}, false
}

// handleNotRun records why the target did not run the request and retries it up to maxSends.
func (d *Dispatch) handleNotRun(result reply.NotRun, assignment *fleet.Assignment, log *logrus.Entry) (Outcome, bool) {
	target := assignment.Target()
	if result.OtherTargetID == "" {
		d.recordNotice(assignment, result.Notice)
	}
	log.WithFields(logrus.Fields{
		"misplaced": result.Misdirected, "other": result.OtherTargetID, "limit": result.Notice.Limit.String(), "rest-ms": result.Notice.Rest.Milliseconds(),
	}).Info("target refused")
	switch {
	case result.OtherTargetID != "":
		assignment.End(fleet.Misdirected, d.now())
		d.fleet.MarkReplaced(target.ID)
		d.quarantine.MarkReplaced(target)
	case result.Misdirected:
		assignment.End(fleet.Misdirected, d.now())
		d.fleet.MarkNotHeld(target.ID, d.request.Model, d.request.Adapter)
	default:
		assignment.End(fleet.Refused, d.now())
		if d.request.Model == "" {
			d.excluded[target.ID] = true // an engine is asked again once it has room
		}
	}
	if d.sendCount >= maxSends {
		return d.finalOutcome(Refused{Reason: AllRefused, RetryAfter: defaultRetryAfter}), false
	}
	return nil, true
}

// handleNoResponse retries a request that was sent but got no usable response, if another run is allowed.
func (d *Dispatch) handleNoResponse(result reply.NoUsableResponse, assignment *fleet.Assignment, log *logrus.Entry) (Outcome, bool) {
	if d.ctx.Err() != nil {
		assignment.End(fleet.Abandoned, d.now())
		log.WithField("timed-out", d.TimedOut()).Info("target had not answered")
		return d.contextOutcome(), false
	}
	assignment.End(fleet.Failed, d.now())
	d.excluded[assignment.Target().ID] = true
	d.MarkBroken(assignment.Target())
	log.WithError(result.Err).WithFields(logrus.Fields{
		"model": d.request.Model, "parts": d.request.SharedPartIDs(), "content": d.contents[len(d.contents)-1],
	}).Info("answer lost")
	if d.canRetry() {
		return nil, true
	}
	// It does not go on at the copy of its run: a run that ends its engine as it begins has none, and would begin once more there.
	return Failed{Reason: AnswerLost}, false
}

// canRetry reports whether a request that may have run may be sent again and has time for it.
func (d *Dispatch) canRetry() bool {
	return d.ctx.Err() == nil && d.route.Repeatable() && d.possibleRuns < d.route.MaxAttempts && d.deadline.Sub(d.now()) > minResponseTime+finalResponseMargin
}

// Exclude keeps later attempts from using a target.
func (d *Dispatch) Exclude(id string) { d.excluded[id] = true }

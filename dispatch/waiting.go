package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/fairshare"
	"gypsumbank/fleet"
	"gypsumbank/turns"
	"gypsumbank/waitlist"
)

const (
	// nextTurnInterval is the interval at which the first waiting request checks for room, and laterTurnInterval that of
	// the requests behind it.
	nextTurnInterval  = 8 * time.Millisecond
	laterTurnInterval = 30 * time.Millisecond
	// maxPredictedShare is the share of the time for which a caller waits up to which its request is admitted to the waiting ones. The rest
	// is for the answer, and for the error of the prediction.
	maxPredictedShare = 0.5
	// retryJitter is the share by which a Retry-After is varied, so that refused callers do not return together.
	retryJitter = 0.3
)

// waitForTurn reports whether the request may be sent to the chosen target now. If not, it has waited for a moment, or
// refuses the request as it would get no room in time. Requests for the same model are sent in the order of the waitlist.
func (d *Dispatch) waitForTurn(choice fleet.Choice, now time.Time) (mayBegin bool, refused *Refused) {
	key := waitlist.Key{Service: d.service, Model: d.request.Model}
	if d.place == nil && choice.HasRoom && d.waits.Len(key) == 0 {
		d.grantService(choice, now)
		return true, nil
	}
	joins := d.place == nil
	if joins {
		d.place = d.waits.Join(key, d.waitRank(choice))
	}
	ahead := d.place.Ahead(now)
	if choice.HasRoom && ahead == 0 {
		if d.place.IsFirstByShare(now) {
			metrics.GetOrCreateCounter(`gypsumbank_gateway_room_by_share_total`).Inc()
		}
		d.leaveWaitlist()
		d.grantService(choice, now)
		return true, nil
	}
	predicted := choice.Expected + time.Duration(ahead)*choice.SlotInterval
	remaining := d.beginDeadline(choice).Sub(now)
	if joins {
		d.beginWait("room", predicted, remaining)
		remaining = d.admissionTime(remaining, now)
	}
	if predicted+minResponseTime > remaining {
		d.log.WithFields(logrus.Fields{
			"model": d.request.Model, "ahead": ahead, "expected-ms": predicted.Milliseconds(), "left-ms": remaining.Milliseconds(),
			"candidates": choice.Candidates, "report-age-ms": choice.ReportAge.Milliseconds(),
		}).Info("no room in time")
		return false, &Refused{Reason: Overload, RetryAfter: jitter(predicted)}
	}
	interval := laterTurnInterval
	if ahead == 0 {
		interval = nextTurnInterval
	}
	return false, d.pauseWait(interval)
}

// admissionTime returns up to which predicted time a request may begin to wait whose answer has to begin within the remaining time. Where that
// leaves the answer its time, its share is that of the time for which the caller waits.
func (d *Dispatch) admissionTime(remaining time.Duration, now time.Time) time.Duration {
	if d.returned && d.fleet.UsesTurns() {
		return remaining
	}
	return min(remaining, time.Duration(maxPredictedShare*float64(d.firstByteDeadline().Sub(now))))
}

// waitRank returns the rank of the request among those that wait for room. With many gateways it is that of requests that wait for
// a prefill turn.
func (d *Dispatch) waitRank(choice fleet.Choice) waitlist.Rank {
	rank := waitlist.Rank{Begun: d.request.LastEventID != "", Priority: d.request.Priority, RoutePriority: d.route.Priority, Objective: d.request.Arrived.Add(d.route.LatencyObjective)}
	if d.fleet.UsesTurns() {
		rank.Cost = &turns.Rank{Priority: rank.Priority, Objective: rank.Objective, Prefill: choice.PrefillTime(), Returned: d.returned, Customer: customerOf(d.request), Weight: d.request.CustomerWeight}
	}
	return rank
}

// wait is a wait for room or for a model.
type wait struct {
	cause     string // room or model
	began     time.Time
	predicted time.Duration
	position  fairshare.Position // of the customer when a wait for room began, where customers have shares
}

// beginWait logs and counts that the request begins to wait, and for how long it is expected to and its caller allows it.
func (d *Dispatch) beginWait(cause string, predicted, remaining time.Duration) {
	d.endWait()
	d.wait = wait{cause: cause, began: d.now(), predicted: predicted}
	if cause == "room" && d.fleet.UsesTurns() {
		d.wait.position = d.waits.Position(customerOf(d.request), d.wait.began)
	}
	metrics.GetOrCreateCounter(`gypsumbank_gateway_waits_total{cause="` + cause + `"}`).Inc()
	log := d.log.WithFields(logrus.Fields{
		"model": d.request.Model, "expected-ms": predicted.Milliseconds(), "left-ms": remaining.Milliseconds(),
		"waiting": d.waits.Len(waitlist.Key{Service: d.service, Model: d.request.Model}),
	})
	if d.wait.position != fairshare.NoPosition {
		log = log.WithField("customer-service", d.wait.position)
	}
	log.Info("waits for " + cause)
}

// endWait records how far the prediction of a wait that has ended was off, if there was one.
func (d *Dispatch) endWait() {
	if d.wait.began.IsZero() {
		return
	}
	off := d.now().Sub(d.wait.began) - d.wait.predicted
	metrics.GetOrCreateHistogram(`gypsumbank_gateway_wait_error_seconds{cause="` + d.wait.cause + `"}`).Update(off.Abs().Seconds())
	if d.wait.position != fairshare.NoPosition {
		metrics.GetOrCreateHistogram(`gypsumbank_gateway_room_wait_seconds{service="` + string(d.wait.position) + `"}`).Update(d.now().Sub(d.wait.began).Seconds())
	}
	d.wait = wait{}
}

// pauseWait pauses a wait for a duration. It returns a refusal if StopWaits has been called; it also returns when the context
// ends.
func (d *Dispatch) pauseWait(duration time.Duration) *Refused {
	select {
	case <-d.ctx.Done():
	case <-d.stop.waitsOver:
		return &Refused{Reason: Stopping, RetryAfter: StoppingRetryAfter}
	case <-time.After(duration):
	}
	return nil
}

// leaveWaitlist ends the wait for room, if there is one.
func (d *Dispatch) leaveWaitlist() {
	if d.place != nil {
		d.place.Leave()
		d.place = nil
	}
}

// jitter varies a duration by up to retryJitter in both directions.
func jitter(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 + retryJitter*(2*rand.Float64()-1)))
}

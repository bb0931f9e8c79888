package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
	"gypsumbank/waitlist"
)

const (
	// nextTurnInterval is the interval at which the first waiting request checks for room, and laterTurnInterval that of
	// the requests behind it.
	nextTurnInterval  = 8 * time.Millisecond
	laterTurnInterval = 30 * time.Millisecond
	// maxPredictedShare is the share of a request's remaining time up to which it is admitted to the waiting ones. The rest
	// is for the answer, and for the error of the prediction.
	maxPredictedShare = 0.5
	// retryJitter is the share by which a Retry-After is varied, so that refused callers do not return together.
	retryJitter = 0.3
)

// waitForTurn reports whether the request may be sent to the chosen target now. If not, it has waited for a moment, or
// refuses the request as it would get no room in time. Requests for the same model are sent in the order of the waitlist.
func (d *Dispatch) waitForTurn(choice fleet.Choice, now time.Time) (mayBegin bool, refused *Refused) {
	key := waitlist.Key{Service: d.service, Model: d.request.Model}
	if d.request.Model == "" || (d.place == nil && choice.HasRoom && d.waits.Len(key) == 0) {
		return true, nil
	}
	joins := d.place == nil
	if joins {
		d.place = d.waits.Join(key, waitlist.Rank{Priority: d.route.Priority, Objective: d.request.Arrived.Add(d.route.LatencyObjective)})
	}
	ahead := d.place.Ahead(now)
	if choice.HasRoom && ahead == 0 {
		d.leaveWaitlist()
		return true, nil
	}
	predicted := choice.Expected + time.Duration(ahead)*choice.SlotInterval
	remaining := d.firstByteDeadline().Sub(now)
	if joins {
		d.logWait(choice, ahead, predicted, remaining)
		remaining = time.Duration(maxPredictedShare * float64(remaining))
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
	return false, d.wait(interval)
}

// logWait logs and counts that the request begins to wait for room.
func (d *Dispatch) logWait(choice fleet.Choice, ahead int, predicted, remaining time.Duration) {
	metrics.GetOrCreateCounter("gypsumbank_gateway_waits_total").Inc()
	d.log.WithFields(logrus.Fields{
		"model": d.request.Model, "target": choice.Target.ID, "ahead": ahead, "expected-ms": predicted.Milliseconds(), "left-ms": remaining.Milliseconds(),
		"candidates": choice.Candidates, "report-age-ms": choice.ReportAge.Milliseconds(),
	}).Info("waits for room")
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

package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
)

// errGraceOver is the cause of the end of requests that are in progress at the end of the grace.
var errGraceOver = errors.New("grace is over")

// stop is the planned stop of the process, as far as it has come.
type stop struct {
	answerBy  atomic.Pointer[time.Time] // by when requests must have ended; nil before the stop
	waitsOnce sync.Once
	waitsOver chan struct{} // closed once requests don't wait any more
	grace     context.Context
	endGrace  context.CancelCauseFunc
}

func newStop() *stop {
	s := &stop{waitsOver: make(chan struct{})}
	s.grace, s.endGrace = context.WithCancelCause(context.Background())
	return s
}

// Stop begins a planned stop: requests that might last beyond answerBy are not sent from now on.
func (d *Dispatcher) Stop(answerBy time.Time) { d.stop.answerBy.Store(&answerBy) }

// StopWaits refuses the requests that wait for room or for a model, and those that would have to. The process is about to end, and another
// gateway can serve them at once.
func (d *Dispatcher) StopWaits() { d.stop.waitsOnce.Do(func() { close(d.stop.waitsOver) }) }

// EndAll ends the requests in progress, which get their final answers.
func (d *Dispatcher) EndAll() { d.stop.endGrace(errGraceOver) }

// waitsAreOver reports whether StopWaits has been called.
func (s *stop) waitsAreOver() bool {
	select {
	case <-s.waitsOver:
		return true
	default:
		return false
	}
}

const (
	// generationMargin is the factor on the expected time of a generation within which it is taken to end.
	generationMargin = 2
	// slowestMarginNumerator / slowestMarginDenominator is the same for the slowest of the latest answers of a plain service.
	slowestMarginNumerator, slowestMarginDenominator = 11, 10
)

// refuseStopping returns a refusal if the process stops and the request is not to be sent to the chosen target, as it might not end in time.
func (d *Dispatch) refuseStopping(choice fleet.Choice) *Refused {
	answerBy := d.stop.answerBy.Load()
	if answerBy == nil {
		return nil
	}
	expected := d.answerTime(choice)
	if d.endsBy(*answerBy, expected) {
		return nil
	}
	d.logInStop(choice, *answerBy, expected).Info("not sent, the gateway stops")
	return &Refused{Reason: Stopping, RetryAfter: StoppingRetryAfter}
}

// logSentInStop logs why a request is sent though the process stops.
func (d *Dispatch) logSentInStop(choice fleet.Choice) {
	if answerBy := d.stop.answerBy.Load(); answerBy != nil {
		d.logInStop(choice, *answerBy, d.answerTime(choice)).Info("sent while the gateway stops")
	}
}

// logInStop returns the log with what decides whether a request is sent while the process stops.
func (d *Dispatch) logInStop(choice fleet.Choice, answerBy time.Time, expected time.Duration) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{
		"grace-left-ms": answerBy.Sub(d.now()).Milliseconds(), "left-ms": d.deadline.Sub(d.now()).Milliseconds(), "sent": d.sendCount,
		"first-byte-ms": choice.Expected.Milliseconds(), "expected-ms": expected.Milliseconds(), "late": d.stop.waitsAreOver(), "max-tokens": d.request.MaxOutputTokens,
	})
}

// answerTime returns within which time the answer of a target is taken to end, by the tokens that it is expected to generate or by the slowest of
// the latest answers of a plain service; 0 if that is not known, or the request must not be sent on an estimate as nobody may repeat it. Late in
// the stop, where nothing but a cut is left for an answer that takes longer, it goes by the limit of the tokens and by the time in which they come.
func (d *Dispatch) answerTime(choice fleet.Choice) time.Duration {
	if d.request.Model == "" {
		if !d.route.Repeatable() {
			return 0
		}
		return d.fleet.SlowestAnswer(d.service, d.now()) * slowestMarginNumerator / slowestMarginDenominator
	}
	generation := d.fleet.GenerationTime(choice.Target.ID, d.request, d.request.ExpectedOutputTokens(), d.now())
	if d.stop.waitsAreOver() {
		generation = d.fleet.LongestGeneration(choice.Target.ID, d.request, d.request.MaxOutputTokens, d.now())
	}
	if generation == 0 {
		return 0
	}
	return choice.Expected + generationMargin*generation
}

// endsBy reports whether the request ends by a time: by its deadline, or by the time that its answer is expected to take; 0 if that is not known.
func (d *Dispatch) endsBy(by time.Time, expected time.Duration) bool {
	if !d.deadline.After(by) {
		return true
	}
	return expected > 0 && !d.now().Add(expected).After(by)
}

// GraceOver reports whether the dispatch ended at the end of the grace.
func (d *Dispatch) GraceOver() bool { return errors.Is(context.Cause(d.ctx), errGraceOver) }

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
	waitsOver chan struct{} // closed once requests neither wait nor begin
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

// StopWaits refuses the requests that wait for room or for a model, and those that have not been sent. The process is about
// to end, and another gateway can serve them at once.
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

// generationMargin is the factor on the expected time of a generation within which it is taken to end.
const generationMargin = 2

// refuseStopping returns a refusal if the process stops and the request is not to be sent to the chosen target: it might not end in time, or
// it has not been sent and nothing begins any more.
func (d *Dispatch) refuseStopping(choice fleet.Choice) *Refused {
	answerBy := d.stop.answerBy.Load()
	if answerBy == nil {
		return nil
	}
	tooLate := d.stop.waitsAreOver() && d.sendCount == 0
	generation := d.fleet.GenerationTime(choice.Target.ID, d.request, d.now())
	if !tooLate && d.endsBy(*answerBy, choice.Expected, generation) {
		return nil
	}
	d.log.WithFields(logrus.Fields{
		"grace-left-ms": answerBy.Sub(d.now()).Milliseconds(), "left-ms": d.deadline.Sub(d.now()).Milliseconds(), "sent": d.sendCount,
		"expected-ms": choice.Expected.Milliseconds(), "generation-ms": generation.Milliseconds(),
	}).Info("not sent, the gateway stops")
	return &Refused{Reason: Stopping, RetryAfter: StoppingRetryAfter}
}

// endsBy reports whether the request ends by a time: by its deadline, or by the tokens that it is expected to generate.
func (d *Dispatch) endsBy(by time.Time, firstByte, generation time.Duration) bool {
	if !d.deadline.After(by) {
		return true
	}
	return generation > 0 && !d.now().Add(firstByte+generationMargin*generation).After(by)
}

// GraceOver reports whether the dispatch ended at the end of the grace.
func (d *Dispatch) GraceOver() bool { return errors.Is(context.Cause(d.ctx), errGraceOver) }

package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumbank/delivery"
)

// errAnswerEnded reports a write to an answer whose handler has ended.
var errAnswerEnded = errors.New("answer has ended")

// eventWriter writes the events of a stream to its caller when its schedule says so. Bytes that are held lie in the buffers of net/http, which are
// part of the memory of the caller's connection. A timer writes what is held while the target is silent: mu keeps it and the handler from using
// the writer at the same time, and close from using it after the handler.
type eventWriter struct {
	leave func() // ends the exchange, as its caller does not take the answer

	mu       sync.Mutex
	writer   http.ResponseWriter
	schedule *delivery.Schedule
	timer    *time.Timer // nil before anything is held
	err      error       // of the first write that failed, or errAnswerEnded
	writes   int
}

// newEventWriter returns the writer of a stream whose events may be held for the hold time. The function leave is called once if the timer's write fails.
func newEventWriter(w http.ResponseWriter, hold time.Duration, leave func()) *eventWriter {
	return &eventWriter{writer: w, schedule: delivery.New(hold), leave: leave}
}

// write writes a part of the stream, or holds it.
func (w *eventWriter) write(part []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	now := time.Now()
	holds := !w.schedule.Due().IsZero()
	due := w.schedule.Add(part, now)
	if _, err := w.writer.Write(part); err != nil {
		return w.failLocked(err)
	}
	if !due.After(now) {
		return w.flushLocked(now)
	}
	if !holds {
		w.setTimerLocked(time.Until(due))
	}
	return nil
}

// flush writes what is held.
func (w *eventWriter) flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil || w.schedule.Due().IsZero() {
		return w.err
	}
	return w.flushLocked(time.Now())
}

// flushDue writes what is held if it is due. It runs when the timer fires, which it may do late, after a write by the handler.
func (w *eventWriter) flushDue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if due := w.schedule.Due(); w.err != nil || due.IsZero() || due.After(now) {
		return
	}
	if w.flushLocked(now) != nil {
		w.leave()
	}
}

// close waits for a write by the timer and has it write no more. Nothing is written after it.
func (w *eventWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.err == nil {
		w.err = errAnswerEnded
	}
}

// countWrites returns how many times the stream has been written to the caller.
func (w *eventWriter) countWrites() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writes
}

func (w *eventWriter) setTimerLocked(wait time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, w.flushDue)
		return
	}
	w.timer.Reset(wait)
}

func (w *eventWriter) flushLocked(now time.Time) error {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.writes++
	metrics.GetOrCreateHistogram("gypsumbank_gateway_events_per_write").Update(float64(w.schedule.MarkWritten(now)))
	if err := http.NewResponseController(w.writer).Flush(); err != nil {
		return w.failLocked(err)
	}
	return nil
}

func (w *eventWriter) failLocked(err error) error {
	w.err = fmt.Errorf("%w: %w", errCallerWrite, err)
	return w.err
}

package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the lines of one process; a gateway of the largest deployments writes about 100.
	linesPerSecond = 500
	burstLines     = 2000
	queuedLines    = 2048
	flushTimeout   = 200 * time.Millisecond
)

var linesDropped = metrics.NewCounter("gypsumbank_log_lines_dropped_total")

// Writer passes lines on to another writer without ever blocking its callers; lines beyond a rate, or that the other
// writer is too slow for, are dropped and counted.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer to out; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, limiter: rate.NewLimiter(linesPerSecond, burstLines), lines: make(chan []byte, queuedLines), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// Close writes what is queued, for a short time at most.
func (w *Writer) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	linesDropped.Inc()
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"lines\":%d,\"msg\":\"log lines dropped\"}\n", n)
		}
		_, _ = w.out.Write(line) // there is nowhere to tell of a log that can't be written
	}
}

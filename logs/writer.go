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
	// maxLinesPerSecond limits the lines of a process. A gateway of the largest deployments writes about 100 a second.
	maxLinesPerSecond = 500
	maxBurstLines     = 2000
	maxQueuedLines    = 2048
	flushTimeout      = 200 * time.Millisecond
)

var droppedLinesTotal = metrics.NewCounter("gypsumbank_log_lines_dropped_total")

// Writer writes lines to another writer in the background, so that its callers never block. It drops and counts lines that
// exceed maxLinesPerSecond and the burst, and lines that find the queue full because the other writer is too slow.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{} // closed by Close
	done    chan struct{}
}

// NewWriter returns a writer that writes to out until Close is called.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines), lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line or drops it; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.countDropped()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

// Close waits until the queued lines are written, but no longer than flushTimeout. Lines written afterwards are dropped: goroutines
// that wait for an answer of the store may end later than the process's other parts.
func (w *Writer) Close() {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) countDropped() {
	w.dropped.Add(1)
	droppedLinesTotal.Inc()
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes the lines that are queued now.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, after one that tells how many were dropped before it.
func (w *Writer) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"lines\":%d,\"msg\":\"log lines dropped\"}\n", n)
	}
	_, _ = w.out.Write(line) // an error of the log output can't be reported anywhere
}

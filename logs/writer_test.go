package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	start := time.Now()
	for range 10 * maxQueuedLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("writing to a blocked output took %s", took)
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.String(), "line\n"); n == 0 || n > maxQueuedLines+maxBurstLines {
		t.Errorf("%d lines written, want at least 1 and at most the queue and the burst", n)
	}
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("the output does not report the dropped lines")
	}
}

func TestWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = w.Write([]byte(line))
	}
	w.Close()
	if out.String() != "a\nb\nc\n" {
		t.Errorf("wrote %q", out.String())
	}
}

// TestLineAfterCloseIsDropped guards against a process that ends with a panic since a goroutine logs after the writer was closed.
func TestLineAfterCloseIsDropped(t *testing.T) {
	w := NewWriter(io.Discard)
	w.Close()
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Errorf("Write after Close: %v", err)
	}
}

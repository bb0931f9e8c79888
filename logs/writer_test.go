package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &slowWriter{release: make(chan struct{})}
	w := NewWriter(out)
	begun := time.Now()
	for range 10 * queuedLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("writing to a blocked output took %s", took)
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.String(), "line\n"); n == 0 || n > queuedLines+burstLines {
		t.Errorf("%d lines written", n)
	}
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("dropped lines are not told")
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

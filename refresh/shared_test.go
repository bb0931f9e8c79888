package refresh_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumbank/refresh"
)

// start runs shared reads until the end of the test.
func start(t *testing.T, read func(context.Context) error, interval time.Duration) *refresh.Shared {
	shared := refresh.New(read, interval)
	ended := make(chan error)
	ctx, end := context.WithCancel(context.Background())
	go func() { ended <- shared.Run(ctx) }()
	t.Cleanup(func() {
		end()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("run ended with %v", err)
		}
	})
	return shared
}

// TestEachCallerGetsAReadThatBeganAfterItsCall has callers come at all moments of reads that take some time.
func TestEachCallerGetsAReadThatBeganAfterItsCall(t *testing.T) {
	const (
		callers  = 200
		readTime = 2 * time.Millisecond
	)
	var begun, running, ended atomic.Int64
	r := start(t, func(context.Context) error {
		begun.Add(1)
		if running.Add(1) > 1 {
			t.Error("two reads at a time")
		}
		time.Sleep(readTime)
		running.Add(-1)
		ended.Store(begun.Load())
		return nil
	}, 0)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			time.Sleep(time.Duration(i%20) * 500 * time.Microsecond)
			before := begun.Load()
			if err := r.Refresh(t.Context()); err != nil {
				t.Error(err)
			}
			if ended.Load() <= before {
				t.Errorf("read %d had ended, want one after %d", ended.Load(), before)
			}
		})
	}
	group.Wait()
	if n := begun.Load(); n > callers/4 {
		t.Errorf("%d reads for %d callers at the same time", n, callers)
	}
}

// TestReadsKeepTheirInterval has one caller wait again and again.
func TestReadsKeepTheirInterval(t *testing.T) {
	const interval = 20 * time.Millisecond
	r := start(t, func(context.Context) error { return nil }, interval)
	start := time.Now()
	for range 4 {
		if err := r.Refresh(t.Context()); err != nil {
			t.Error(err)
		}
	}
	if took := time.Since(start); took < 3*interval {
		t.Errorf("four reads took %s", took)
	}
}

// TestErrors returns the error of the read, or that of a caller that does not wait for it.
func TestErrors(t *testing.T) {
	errRead := errors.New("no answer")
	release := make(chan struct{})
	r := start(t, func(context.Context) error {
		<-release
		return errRead
	}, 0)
	ended, end := context.WithCancel(t.Context())
	end()
	if err := r.Refresh(ended); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v of a caller that does not wait", err)
	}
	close(release)
	if err := r.Refresh(t.Context()); !errors.Is(err, errRead) {
		t.Errorf("error %v, want that of the read", err)
	}
}

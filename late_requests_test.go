package main

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestLateRequestThatEndsInTimeIsServed guards against a stop that refuses requests which could still end within its grace.
func TestLateRequestThatEndsInTimeIsServed(t *testing.T) {
	const (
		grace    = 4 * time.Second
		before   = 30
		interval = 50 * time.Millisecond
		served   = 1400 * time.Millisecond // of the grace, a request sent until then ends before the last answers
		refused  = 1800 * time.Millisecond // and from then on it can't
		last     = 2500 * time.Millisecond
		atOnce   = 400 * time.Millisecond
	)
	for _, name := range []string{"safe, 1.8 s", "unsafe, 1.8 s"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			kind := stopKinds[name]
			p := newPlannedStop(t, grace)
			var callers sync.WaitGroup
			for range before {
				callers.Go(func() {
					if conn, _ := p.keptConnection(p.address, kind); conn != nil {
						conn.Close()
					}
				})
			}
			callers.Wait()
			p.gateway.signal(syscall.SIGTERM)
			stoppedAt := time.Now()
			for at := interval; at <= last; at += interval {
				callers.Go(func() {
					time.Sleep(time.Until(stoppedAt.Add(at)))
					result, sent := p.sendNew(kind)
					if !sent {
						return // the process has ended
					}
					at := result.sent.Sub(stoppedAt)
					switch {
					case at <= served && (result.status != http.StatusOK || !result.whole):
						t.Errorf("sent %s after the signal: status %d after %s, want it served", at, result.status, result.took)
					case at >= refused && (result.status != http.StatusServiceUnavailable || result.took > atOnce):
						t.Errorf("sent %s after the signal: status %d after %s, want it refused at once", at, result.status, result.took)
					}
				})
			}
			callers.Wait()
			<-p.gateway.exited
		})
	}
}

// sendNew sends one request on a new connection; it returns false if it gets none.
func (p *plannedStop) sendNew(kind stopKind) (stopResult, bool) {
	conn, reader, err := p.dial(p.address)
	if err != nil {
		return stopResult{}, false
	}
	defer conn.Close()
	result, _ := p.send(kind, conn, reader)
	return result, true
}

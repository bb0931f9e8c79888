package gateway

import (
	"testing"
	"time"
)

// TestStartupPollsSpreadOut guards against gateways that start together and each read all targets many times a second until agents do it for
// them, and against polls that never reach the usual interval or exceed it.
func TestStartupPollsSpreadOut(t *testing.T) {
	const (
		waitForAgents = 3 * time.Second
		maxReads      = 6
	)
	reads, elapsed, interval := 0, time.Duration(0), startupPollInterval
	for elapsed < waitForAgents {
		reads++
		elapsed += interval
		interval = nextPollInterval(interval)
	}
	if reads > maxReads {
		t.Errorf("%d reads within %s of the start, want at most %d", reads, waitForAgents, maxReads)
	}
	if interval != targetsPollInterval {
		t.Errorf("interval is %s after %s, want %s", interval, waitForAgents, targetsPollInterval)
	}
}

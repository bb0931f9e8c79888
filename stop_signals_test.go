package main

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestRepeatedStopSignalsDoNotKill sends stop signals to a process until it has exited. Its exit status must be that of a
// planned stop: a signal that arrives between the end of the drain and the exit must not terminate the process.
func TestRepeatedStopSignalsDoNotKill(t *testing.T) {
	const rounds = 100
	for range rounds {
		p := startProcess(t, "standin", "standin", "vms", "--listen", "127.0.0.1:0")
		for !strings.Contains(p.output.String(), "standin vms on") {
			time.Sleep(10 * time.Millisecond)
		}
		for running := true; running; {
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails once the process has exited
			select {
			case <-p.exited:
				running = false
			default:
			}
		}
		if p.exitErr != nil {
			t.Fatalf("the process ended with %v, want a planned stop", p.exitErr)
		}
	}
}

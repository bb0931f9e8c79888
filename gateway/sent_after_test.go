package gateway

import (
	"testing"
	"time"

	"gypsumbank/wire"
)

// TestSentAfterIsNoLaterThanTheSending guards against messages of agents that count as newer than they are, by which a gateway takes old reads of the store for
// recent ones.
func TestSentAfterIsNoLaterThanTheSending(t *testing.T) {
	began := time.Unix(1000, 0)
	tests := map[string]struct {
		reads *wire.StoreReads
		now   time.Duration // since began, as are the next
		want  time.Duration
	}{
		"echo of a heartbeat":                {reads: &wire.StoreReads{EchoedMs: 7000, EchoAgeMs: 400}, now: 9 * time.Second, want: 7400 * time.Millisecond},
		"before the agent got a heartbeat":   {reads: &wire.StoreReads{}, now: 3 * time.Second, want: 0},
		"agent of an earlier release":        {reads: &wire.StoreReads{AgeMs: 200}, now: 20 * time.Second, want: 0},
		"agent whose clock runs faster":      {reads: &wire.StoreReads{EchoedMs: 7000, EchoAgeMs: 900}, now: 7500 * time.Millisecond, want: 7500 * time.Millisecond},
		"heartbeat of this very moment":      {reads: &wire.StoreReads{EchoedMs: 5000}, now: 5 * time.Second, want: 5 * time.Second},
		"heartbeats that no longer arrive":   {reads: &wire.StoreReads{EchoedMs: 1000, EchoAgeMs: 8000}, now: 9100 * time.Millisecond, want: 9 * time.Second},
		"message that was long on its way":   {reads: &wire.StoreReads{EchoedMs: 1000, EchoAgeMs: 100}, now: 30 * time.Second, want: 1100 * time.Millisecond},
		"heartbeat that was long on its way": {reads: &wire.StoreReads{EchoedMs: 1000, EchoAgeMs: 10}, now: 4 * time.Second, want: 1010 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := sentAfter(test.reads, began, began.Add(test.now)).Sub(began); got != test.want {
				t.Errorf("sent after %s, want %s", got, test.want)
			}
		})
	}
}

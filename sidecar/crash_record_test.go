package sidecar

import (
	"testing"
	"time"
)

// TestCrashIsBlamedOnRunsThatBeganBeforeIt checks which runs count as running at a crash. A run that gets the slot of the
// crashing request is sent to an engine that is going down and must not be blamed.
func TestCrashIsBlamedOnRunsThatBeganBeforeIt(t *testing.T) {
	crashedAt := time.Unix(1000, 0)
	cases := map[string]struct {
		incarnation uint64
		begun       time.Time
		noticed     bool
	}{
		"ran when the engine crashed":            {incarnation: 7, begun: crashedAt.Add(-time.Second)},
		"got the slot of the crashing request":   {incarnation: 7, begun: crashedAt.Add(time.Millisecond), noticed: true},
		"ran on the incarnation after the crash": {incarnation: 8, begun: crashedAt.Add(time.Second)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var record crashRecord
			if record.noticedBefore(c.incarnation, c.begun) {
				t.Error("crash is noticed before there was one")
			}
			record.notice(7, crashedAt)
			record.notice(7, crashedAt.Add(time.Minute))
			if got := record.noticedBefore(c.incarnation, c.begun); got != c.noticed {
				t.Errorf("crash noticed before the run began: %v, want %v", got, c.noticed)
			}
		})
	}
}

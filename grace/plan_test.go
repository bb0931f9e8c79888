package grace_test

import (
	"testing"
	"time"

	"gypsumbank/grace"
)

// TestPlanFitsTheGrace guards against a stop that is still waiting when its process is killed, or that gives up what could end in time.
func TestPlanFitsTheGrace(t *testing.T) {
	cases := map[string]struct {
		length                     time.Duration
		leaveFrom, answerBy, close time.Duration
	}{
		"usual": {8 * time.Second, 2500 * time.Millisecond, 7200 * time.Millisecond, 7300 * time.Millisecond},
		"long":  {10 * time.Minute, 2500 * time.Millisecond, 10*time.Minute - 800*time.Millisecond, 10*time.Minute - 700*time.Millisecond},
		"short": {1200 * time.Millisecond, 400 * time.Millisecond, 1050 * time.Millisecond, 1080 * time.Millisecond},
		"none":  {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			plan := grace.New(began, c.length)
			got := []time.Duration{plan.LeaveFrom().Sub(began), plan.AnswerBy().Sub(began), plan.CloseAt().Sub(began)}
			for i, want := range []time.Duration{c.leaveFrom, c.answerBy, c.close} {
				if got[i] != want {
					t.Errorf("steps %v, want %v", got, []time.Duration{c.leaveFrom, c.answerBy, c.close})
					break
				}
			}
			if lastSixth := c.length * 5 / 6; got[1] < lastSixth {
				t.Errorf("requests are given up %s after the signal, before the last sixth of %s", got[1], c.length)
			}
		})
	}
}

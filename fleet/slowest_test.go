package fleet

import (
	"testing"
	"time"
)

func TestSlowestAnswerIsOfTheLatest(t *testing.T) {
	cases := map[string]struct {
		after []time.Duration // of each answer after the one before
		took  []time.Duration
		read  time.Duration // after the last
		want  time.Duration
		count int
	}{
		"none":              {},
		"in the window":     {[]time.Duration{0, time.Second}, []time.Duration{3 * time.Second, time.Second}, time.Second, 3 * time.Second, 2},
		"in the one before": {[]time.Duration{0, slowestWindow}, []time.Duration{3 * time.Second, time.Second}, 0, 3 * time.Second, 2},
		"older":             {[]time.Duration{0, slowestWindow, slowestWindow}, []time.Duration{3 * time.Second, time.Second, time.Second}, 0, time.Second, 2},
		"after a pause":     {[]time.Duration{0}, []time.Duration{3 * time.Second}, 2 * slowestWindow, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var s slowestAnswer
			for i, after := range c.after {
				now = now.Add(after)
				s.add(c.took[i], now)
			}
			s.advance(now.Add(c.read))
			if got := max(s.took[0], s.took[1]); got != c.want || s.answers[0]+s.answers[1] != c.count {
				t.Errorf("slowest %s of %v, want %s of %d", got, s.answers, c.want, c.count)
			}
		})
	}
}

package fleet

import "time"

const (
	// slowestWindow is the time over which the slowest answers of a target are remembered, at least; at most twice as long.
	slowestWindow = 20 * time.Second
	// minSlowestAnswers is the number of answers below which the slowest tells too little.
	minSlowestAnswers = 20
)

// slowestAnswer remembers the slowest answer of a target in the current window and in the one before.
type slowestAnswer struct {
	began   time.Time // of the current window
	took    [2]time.Duration
	answers [2]int
}

// add records how long an answer took from the send of its request to its end.
func (s *slowestAnswer) add(took time.Duration, now time.Time) {
	s.advance(now)
	s.took[0] = max(s.took[0], took)
	s.answers[0]++
}

// advance begins a new window if the current one is over.
func (s *slowestAnswer) advance(now time.Time) {
	over := now.Sub(s.began)
	if over < slowestWindow {
		return
	}
	s.took, s.answers = [2]time.Duration{0, s.took[0]}, [2]int{0, s.answers[0]}
	if over >= 2*slowestWindow {
		s.took, s.answers = [2]time.Duration{}, [2]int{}
	}
	s.began = now
}

// SlowestAnswer returns how long the slowest of the latest answers of a plain service took; 0 if there were too few to tell.
func (f *Fleet) SlowestAnswer(service string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	answers, slowest := 0, time.Duration(0)
	for _, s := range f.states {
		if s.Service != service {
			continue
		}
		s.slowest.advance(now)
		answers += s.slowest.answers[0] + s.slowest.answers[1]
		slowest = max(slowest, s.slowest.took[0], s.slowest.took[1])
	}
	if answers < minSlowestAnswers {
		return 0
	}
	return slowest
}

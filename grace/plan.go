package grace

import "time"

const (
	// maxLeaveAfter is how long a process waits after the signal to stop before it closes idle connections: the platform sends no more
	// callers to a VM after two failed checks, which it makes once a second.
	maxLeaveAfter = 2500 * time.Millisecond
	leaveShare    = 3 // of the grace, as a divisor: maxLeaveAfter is for long ones
	// maxExitTime is kept for the process to exit, and maxAnswerTime before that for the last answers to be written.
	maxExitTime   = 700 * time.Millisecond
	maxAnswerTime = 100 * time.Millisecond
	exitShare     = 10 // of the grace, as a divisor
	answerShare   = 40
)

// Plan is the plan of one stop.
type Plan struct {
	began  time.Time
	length time.Duration
}

// New returns the plan of a stop that began at a time and may take length.
func New(began time.Time, length time.Duration) Plan { return Plan{began: began, length: length} }

// LeaveFrom returns from when on connections are closed as they become idle, and requests that would have to wait are refused.
func (p Plan) LeaveFrom() time.Time {
	return p.began.Add(min(maxLeaveAfter, p.length/leaveShare))
}

// AnswerBy returns by when each request must have its final answer. Requests that come later are refused.
func (p Plan) AnswerBy() time.Time {
	return p.CloseAt().Add(-min(maxAnswerTime, p.length/answerShare))
}

// CloseAt returns when connections are closed whatever is in progress on them.
func (p Plan) CloseAt() time.Time {
	return p.began.Add(p.length - min(maxExitTime, p.length/exitShare))
}

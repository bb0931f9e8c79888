package propagation

import "time"

const (
	// DefaultApplyTime is that of a deployment that names none.
	DefaultApplyTime = 2 * time.Second
	// margin is left for messages on their way and for processes that wait for a processor.
	margin = 200 * time.Millisecond
	// maxReadTimeout bounds a read of the store; a store that is fit for use answers much sooner.
	maxReadTimeout = 600 * time.Millisecond
	// maxPollWait bounds a wait for changes at the store, so that a connection that is dead without notice is given up.
	maxPollWait = time.Second
	// maxRetryWait bounds the wait between two reads that fail.
	maxRetryWait = 2400 * time.Millisecond
	// minPollWait keeps waits for changes from becoming a read without a pause.
	minPollWait = 100 * time.Millisecond
	// FirstRetryWait is the longest wait, jitter included, after the first read that fails.
	FirstRetryWait = 300 * time.Millisecond
	// agentDelay is the longest time from an agent's read until a gateway knows of it: the interval between states that agents send, and the way.
	agentDelay = 750 * time.Millisecond
	// maxAgentReadAge bounds the age up to which a gateway relies on a read of an agent. Agents that read tell the next one in that time; all that is left of the time for
	// changes is for the gateway's own way, which may be slow and without a connection.
	maxAgentReadAge = 1300 * time.Millisecond
	// readsPerBudget is the number of reads that fit into the whole time, waits and margin included.
	readsPerBudget = 4
	// readLifetime is the time of reads that go on over the whole time.
	readLifetime = 2
)

// Budget is the time of a change from its confirmation by the store until it is in force.
type Budget struct {
	apply time.Duration
}

// New returns the budget of a time; DefaultApplyTime if that is 0.
func New(apply time.Duration) Budget {
	if apply <= 0 {
		apply = DefaultApplyTime
	}
	return Budget{apply: apply}
}

// ReadTimeout returns the time for a read that the store answers at once.
func (b Budget) ReadTimeout() time.Duration { return min(maxReadTimeout, b.apply/readsPerBudget) }

// ReadLifetime returns how long a read that is late goes on: its answer counts when it comes, but one that comes later than that helps no change to be in force in
// time.
func (b Budget) ReadLifetime() time.Duration { return readLifetime * b.apply }

// RetryWait returns the longest wait between two reads, jitter included: the change may be confirmed as the first has just been sent to a store that
// does not answer, and the second may take all of its time.
func (b Budget) RetryWait() time.Duration {
	return min(maxRetryWait, b.apply-margin-2*b.ReadTimeout())
}

// PollWait returns how long a read may wait at the store for changes: it may be lost, and the next one follows after FirstRetryWait.
func (b Budget) PollWait() time.Duration {
	return max(minPollWait, min(maxPollWait, b.apply-margin-b.pollGrace()-FirstRetryWait-b.ReadTimeout()))
}

// PollTimeout returns the time for a read that waits at the store for PollWait.
func (b Budget) PollTimeout() time.Duration { return b.PollWait() + b.pollGrace() }

// pollGrace returns how long after its wait the answer of a read may come.
func (b Budget) pollGrace() time.Duration { return b.ReadTimeout() / 2 }

// Covers reports whether a read that began at a time shows every change that must be in force for a request that arrived at another: only what such a read
// lacks is known not to exist.
func (b Budget) Covers(readAt, arrived time.Time) bool { return !readAt.Before(arrived.Add(-b.apply)) }

// AgentReadAge returns the age up to which a gateway relies on a read of the routes by an agent. After that it reads the store itself in time.
func (b Budget) AgentReadAge() time.Duration {
	return min(maxAgentReadAge, b.apply-margin-b.ReadTimeout())
}

// AgentPollWait returns how long a read of an agent may wait at the store for changes, so that gateways know of the next one before the last is too old.
func (b Budget) AgentPollWait() time.Duration {
	return max(minPollWait, min(maxPollWait, b.AgentReadAge()-agentDelay))
}

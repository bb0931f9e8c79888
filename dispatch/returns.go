package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"gypsumbank/turns"
)

// maxRetryShare is the share of the time that a caller has left up to which it follows a Retry-After.
const maxRetryShare = 3

// returnMemory remembers the requests that were refused for lack of room. Its methods may be called by several goroutines.
type returnMemory struct {
	mu      sync.Mutex
	refused *turns.Returns
}

func newReturnMemory() *returnMemory { return &returnMemory{refused: turns.NewReturns()} }

func (m *returnMemory) add(content uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused.Add(content, now)
}

func (m *returnMemory) has(content uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused.Has(content, now)
}

// refuse returns the outcome of a refused request. With many gateways, a request that is refused for lack of room is remembered, and
// its caller told to come back at a time at which it still follows and others do not come.
func (d *Dispatch) refuse(refused Refused) Outcome {
	if refused.Reason == Overload && d.request.Model != "" && d.fleet.UsesTurns() {
		now := d.now()
		d.returns.add(d.contents[len(d.contents)-1].Hash, now)
		refused.RetryAfter = spreadRetry(refused.RetryAfter, d.deadline.Sub(now), rand.Float64())
	}
	return d.finalOutcome(refused)
}

// spreadRetry returns the Retry-After of a caller that has some time left if there is room after roomIn. It is up to retryJitter later
// than that, as spread between 0 and 1 says, but not beyond the share of the time left for which the caller follows it.
func spreadRetry(roomIn, left time.Duration, spread float64) time.Duration {
	limit := max(0, left/maxRetryShare)
	if later := time.Duration(float64(roomIn) * (1 + retryJitter*spread)); later <= limit {
		return later
	}
	return time.Duration(float64(limit) * (1 - retryJitter*spread))
}

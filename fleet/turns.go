package fleet

import (
	"time"

	"gypsumbank/registry"
	"gypsumbank/turns"
)

// maxTurnReportAge is the age of an agent's last report above which it is not asked for a turn: two of its heartbeats.
const maxTurnReportAge = time.Second

// UsesTurns reports whether there are so many gateways that long prompts are prefilled in turns.
func (f *Fleet) UsesTurns() bool { return f.GatewayCount() >= manyGateways }

// NeedsTurn reports whether the request is to be sent in a turn: it takes long to prefill, and the target's agent has
// reported lately.
func (c Choice) NeedsTurn() bool {
	return c.PrefillTime() >= turns.MinPrefill && c.ReportAge >= 0 && c.ReportAge <= maxTurnReportAge
}

// PrefillTime returns the expected time to prefill the prompt at the target.
func (c Choice) PrefillTime() time.Duration { return durationFromMs(c.prefillMs) }

// AfterTurn returns the choice of a request that is sent in its turn: the prompts that waited at the target when it was chosen
// have been prefilled, and its wait is not a delay of the target.
func (c Choice) AfterTurn() Choice {
	c.baselineMs = max(baseLatencyMs+c.prefillMs, c.baselineMs-c.queueMs)
	c.Expected = max(durationFromMs(baseLatencyMs+c.prefillMs), c.Expected-durationFromMs(c.queueMs))
	c.queueMs, c.PrefillQueue = 0, 0
	return c
}

// BeginTurnWait records that a request waits for a turn at the chosen target, until the returned function is called.
func (f *Fleet) BeginTurnWait(choice Choice) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[choice.Target.ID]
	if s == nil {
		return func() {}
	}
	s.ownTurnWaitMs += choice.prefillMs
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.ownTurnWaitMs = max(0, s.ownTurnWaitMs-choice.prefillMs)
	}
}

// AcceptsRequests reports whether requests may be sent to a target that was chosen a while ago.
func (f *Fleet) AcceptsRequests(target registry.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[target.ID]
	return s != nil && s.Born == target.Born && !f.mustNotUse(s)
}

// turnQueueMs returns the expected time until a prompt gets its turn if those that wait for one go first; 0 for a prompt
// that needs none.
func (s *targetState) turnQueueMs(prefillMs float64, now time.Time) float64 {
	switch {
	case durationFromMs(prefillMs) < turns.MinPrefill:
		return 0
	case now.Sub(s.reportAt) < reportLifetime:
		return s.ownTurnWaitMs + s.othersTurnWaitMs
	}
	return s.ownTurnWaitMs
}

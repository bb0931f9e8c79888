package fleet

import (
	"math"
	"net/http"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
)

// Result is the outcome of an attempt to have a target serve a request.
type Result int

// The results.
const (
	Served      Result = iota // the answer is complete
	Failed                    // the answer is incomplete, corrupt or a server error
	Refused                   // the target did not run the request, as it was full
	Misdirected               // the target did not run the request, as it does not hold the model or is another one
	Unreached                 // no connection to the target
	Abandoned                 // ended by the caller or by a timeout
	ServerError               // the answer of an engine is complete, and a server error; among few gateways that is Served
)

const (
	// latencyHalfLife is the time without answers after which the average latency of a plain target begins to fade, and in which it halves then.
	latencyHalfLife = time.Second
	// sampleWeight is the weight of a new sample in the moving average of a plain target's latency.
	sampleWeight = 0.15
	// fasterSampleWeight and slowerSampleWeight are the weights of a new sample of a model's prefill time that is below
	// or above the moving average.
	fasterSampleWeight = 0.3
	slowerSampleWeight = 0.02
	// initialBackoff is how long a target is avoided after a failure to connect; it doubles with each further failure
	// in a row, up to maxBackoff.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// refusalBackoff is how long a target of a plain service is avoided after it refused a request because it was full.
	refusalBackoff = 30 * time.Millisecond
	// fullAfterRefusal is how long an engine counts as full after it refused a request for that reason.
	fullAfterRefusal = 100 * time.Millisecond
	// minSamplePrefillTokens is the least number of tokens to prefill from which a model's prefill time is measured.
	minSamplePrefillTokens = 500
)

// Assignment is one attempt to serve a request at a target. It counts towards the target's load until End is called.
type Assignment struct {
	fleet          *Fleet
	state          *targetState
	choice         Choice
	request        *request.Request
	sentAt         time.Time
	startedAt      time.Time // when the first byte arrived; zero before
	queueWasEmpty  bool      // no request was known to wait at the target when this one was sent
	pendingRemoved bool      // no longer among the target's pending requests
	ended          bool
	onEnd          func()
	backup         *Backup // copy of the run; nil without one
}

// OnEnd sets a function that End calls once; it must be set before End is called.
func (a *Assignment) OnEnd(callback func()) { a.onEnd = callback }

// Assign records that a request is sent to the chosen target, whose KV cache is then expected to hold the prompt.
func (f *Fleet) Assign(choice Choice, req *request.Request, now time.Time) *Assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[choice.Target.ID]
	if s == nil {
		s = newState(choice.Target) // the target was removed after it was chosen
	}
	a := &Assignment{fleet: f, state: s, choice: choice, request: req, sentAt: now, queueWasEmpty: s.pendingCount == 0 && s.report.Waiting == 0}
	s.inflight++
	s.pendingCount++
	s.pending[a] = struct{}{}
	s.pendingPrefillMs += choice.prefillMs
	if req.Model != "" {
		s.requestsByModel[req.Model]++
	} else {
		f.countPlainArrival(s.Service, now)
	}
	if req.Adapter != "" {
		s.requestsByAdapter[registry.Adapter{Model: req.Model, Name: req.Adapter}]++
	}
	for i, hash := range req.PrefixHashes() {
		part := PromptPart{Hash: hash, Tokens: req.Parts[i].Tokens}
		s.promptCache.add(part)
		if len(s.unsentParts) < maxUnsentParts {
			s.unsentParts = append(s.unsentParts, part)
		}
	}
	return a
}

// Target returns the target of the assignment.
func (a *Assignment) Target() registry.Target { return a.choice.Target }

// Start records the arrival of the first byte of the answer.
func (a *Assignment) Start(now time.Time) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.pendingRemoved || a.ended {
		return
	}
	a.removePending()
	a.startedAt = now
	a.recordFirstByteTime(float64(now.Sub(a.sentAt))/float64(time.Millisecond), now)
}

// End records the result and removes the request from the target's load; only the first call has an effect.
func (a *Assignment) End(result Result, now time.Time) {
	if a.finish(result, now) && a.onEnd != nil {
		a.onEnd()
	}
}

// EndComplete records that a complete answer with an HTTP status has arrived. Among many gateways a server error of an engine counts as a
// failure: most requests must not be sent again, so that an engine which fails them would never be avoided, and gets more of them as it has
// little load.
func (a *Assignment) EndComplete(status int, now time.Time) {
	result := Served
	if status >= http.StatusInternalServerError && a.request.Model != "" && a.fleet.GatewayCount() >= manyGateways {
		result = ServerError
	}
	a.End(result, now)
}

// finish does the work of End under the lock and reports whether this was the first call.
func (a *Assignment) finish(result Result, now time.Time) bool {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.ended {
		return false
	}
	a.removePending()
	a.ended = true
	if a.backup != nil {
		a.backup.end(result, now)
	}
	s := a.state
	s.inflight--
	if a.request.Model != "" {
		if s.requestsByModel[a.request.Model]--; s.requestsByModel[a.request.Model] <= 0 {
			delete(s.requestsByModel, a.request.Model)
		}
	}
	if a.request.Adapter != "" {
		adapter := registry.Adapter{Model: a.request.Model, Name: a.request.Adapter}
		if s.requestsByAdapter[adapter]--; s.requestsByAdapter[adapter] <= 0 {
			delete(s.requestsByAdapter, adapter)
		}
	}
	a.recordResult(result, now)
	if result == Served && a.request.Model == "" {
		s.slowest.add(now.Sub(a.sentAt), now)
	}
	if result == Served && !a.startedAt.IsZero() {
		a.fleet.recordDecoding(a.request, now.Sub(a.startedAt))
		s.residenceMs = movingAverage(s.residenceMs, float64(now.Sub(a.sentAt))/float64(time.Millisecond))
	}
	return true
}

// removePending removes the request from the target's requests without a first byte; the caller holds the lock.
func (a *Assignment) removePending() {
	if a.pendingRemoved {
		return
	}
	a.pendingRemoved = true
	delete(a.state.pending, a)
	a.state.pendingCount--
	a.state.pendingPrefillMs -= a.choice.prefillMs
	if a.state.pendingCount == 0 {
		a.state.pendingPrefillMs = 0
	}
}

// recordFirstByteTime updates the averages that depend on the time to the first byte: the latency of a plain target, or
// the slowness of an engine and the prefill time of the model. The prefill time is only measured on requests that found
// an empty queue, fetched no KV cache and had enough tokens to prefill.
func (a *Assignment) recordFirstByteTime(tookMs float64, now time.Time) {
	s := a.state
	if a.request.Model == "" {
		known := max(s.fadedLatencyMs(now), min(s.latencyMs, tookMs)) // no less than both, so that a target that is seldom used does not look fast
		s.latencyMs, s.latencyAt = movingAverage(known, tookMs), now
		return
	}
	s.performance.addFirstByte(tookMs, a.choice.baselineMs, now)
	if a.queueWasEmpty && a.choice.FetchTokens == 0 && a.choice.PrefillTokens >= minSamplePrefillTokens {
		a.fleet.updatePrefillMsPerToken(a.request.Model, max(0, tookMs-baseLatencyMs)/float64(a.choice.PrefillTokens))
	}
}

// fadedLatencyMs returns the average latency of a plain target, which halves every latencyHalfLife without an answer. A target that was slow is so asked
// again, though all requests would be too late by what its last answers took.
func (s *targetState) fadedLatencyMs(now time.Time) float64 {
	unseen := now.Sub(s.latencyAt)
	if s.latencyMs == 0 || unseen <= latencyHalfLife {
		return s.latencyMs
	}
	return s.latencyMs * math.Exp2(1-float64(unseen)/float64(latencyHalfLife))
}

// updatePrefillMsPerToken moves a model's average prefill time quickly towards faster samples and slowly towards slower
// ones, since most samples include time in the target's queue behind requests of other gateways.
func (f *Fleet) updatePrefillMsPerToken(model string, sampleMsPerToken float64) {
	msPerToken := f.prefillMsPerToken(model)
	weight := slowerSampleWeight
	if sampleMsPerToken < msPerToken {
		weight = fasterSampleWeight
	}
	f.measuredMsPerToken[model] = msPerToken + weight*(sampleMsPerToken-msPerToken)
}

// recordResult updates the error rate of the target and how long it is avoided.
func (a *Assignment) recordResult(result Result, now time.Time) {
	s := a.state
	s.performance.addResult(result, now)
	switch result {
	case Served, ServerError:
		s.connectFailures = 0
	case Failed:
	case Unreached:
		s.connectFailures++
		s.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(s.connectFailures-1, 4)))
	case Refused:
		if a.request.Model == "" {
			s.backoffUntil = now.Add(refusalBackoff)
			break
		}
		s.fullUntil = now.Add(fullAfterRefusal)
	case Abandoned, Misdirected:
	}
}

// movingAverage returns the average after a new sample; an old average of 0 means that there was no sample before.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + sampleWeight*(sample-old)
}

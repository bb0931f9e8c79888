package fleet

import (
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
)

// Result tells how a target dealt with a request.
type Result int

// The results.
const (
	Served    Result = iota // whole answer
	Failed                  // broken, spoiled or an error of the target's own
	Refused                 // not run
	Unreached               // no connection
	Abandoned               // ended by the caller or by a timeout
)

const (
	// learning is the weight of a new measurement in a moving average.
	learning = 0.15
	// fasterLearning and slowerLearning are those weights for the pace of a model.
	fasterLearning = 0.3
	slowerLearning = 0.02
	// firstAvoidance doubles with each failure to connect in a row up to maxAvoidance.
	firstAvoidance = 400 * time.Millisecond
	maxAvoidance   = 3 * time.Second
	// refusalAvoidance is how long a plain service's target that is full is left out.
	refusalAvoidance = 30 * time.Millisecond
	minSampleTokens  = 500
)

// Assignment is a request at a target; it is ended once.
type Assignment struct {
	fleet   *Fleet
	state   *state
	choice  Choice
	request *request.Request
	sent    time.Time
	alone   bool // no other request of this gateway waited there
	started bool
	ended   bool
	onEnd   func()
}

// OnEnd has a function called when the assignment ends.
func (a *Assignment) OnEnd(call func()) { a.onEnd = call }

// Assign records that a request is being sent to the chosen target.
func (f *Fleet) Assign(choice Choice, req *request.Request, now time.Time) *Assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[choice.Target.ID]
	if s == nil {
		s = newState(choice.Target)
	}
	a := &Assignment{fleet: f, state: s, choice: choice, request: req, sent: now, alone: s.unsent == 0 && s.report.Waiting == 0}
	s.inflight++
	s.unsent++
	s.pending[a] = struct{}{}
	s.unread += choice.expectedUnread
	if req.Model != "" {
		s.models[req.Model]++
	}
	if req.Adapter != "" {
		s.adapters[registry.Adapter{Model: req.Model, Name: req.Adapter}]++
	}
	for i, hash := range req.PrefixHashes() {
		part := PromptPart{Hash: hash, Tokens: req.Parts[i].Tokens}
		s.kept.add(part)
		if len(s.outbox) < maxOutbox {
			s.outbox = append(s.outbox, part)
		}
	}
	return a
}

// Target returns the target of the assignment.
func (a *Assignment) Target() registry.Target { return a.choice.Target }

// Start records the first byte of the answer.
func (a *Assignment) Start(now time.Time) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.started || a.ended {
		return
	}
	a.read()
	a.measure(float64(now.Sub(a.sent))/float64(time.Millisecond), now)
}

// End records the result.
func (a *Assignment) End(result Result, now time.Time) {
	if a.end(result, now) && a.onEnd != nil {
		a.onEnd()
	}
}

func (a *Assignment) end(result Result, now time.Time) bool {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.ended {
		return false
	}
	a.read()
	a.ended = true
	s := a.state
	s.inflight--
	if a.request.Model != "" {
		s.models[a.request.Model]--
	}
	if a.request.Adapter != "" {
		used := registry.Adapter{Model: a.request.Model, Name: a.request.Adapter}
		if s.adapters[used]--; s.adapters[used] <= 0 {
			delete(s.adapters, used)
		}
	}
	a.judge(result, now)
	return true
}

func (a *Assignment) read() {
	if a.started {
		return
	}
	a.started = true
	delete(a.state.pending, a)
	a.state.unsent--
	a.state.unread -= a.choice.expectedUnread
	if a.state.unsent == 0 {
		a.state.unread = 0
	}
}

// measure learns the pace of the model and the slowness of the target from the time to the first byte.
func (a *Assignment) measure(took float64, now time.Time) {
	s := a.state
	if a.request.Model == "" {
		s.latency = average(s.latency, took)
		return
	}
	s.performance.began(took, a.choice.usualMs, now)
	if a.alone && a.choice.FetchTokens == 0 && a.choice.PrefillTokens >= minSampleTokens {
		a.fleet.learnPace(a.request.Model, max(0, took-baseMs)/float64(a.choice.PrefillTokens))
	}
}

// learnPace moves the pace of a model quickly towards faster samples and slowly towards slower ones, since most samples
// include a wait behind requests of other gateways.
func (f *Fleet) learnPace(model string, sample float64) {
	pace := f.pace(model)
	weight := slowerLearning
	if sample < pace {
		weight = fasterLearning
	}
	f.paces[model] = pace + weight*(sample-pace)
}

func (a *Assignment) judge(result Result, now time.Time) {
	s := a.state
	s.performance.ended(result, now)
	switch result {
	case Served:
		s.failures = 0
	case Failed:
	case Unreached:
		s.failures++
		s.avoid = now.Add(min(maxAvoidance, firstAvoidance<<min(s.failures-1, 4)))
	case Refused:
		if a.request.Model == "" {
			s.avoid = now.Add(refusalAvoidance)
		}
	case Abandoned:
	}
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + learning*(sample-old)
}

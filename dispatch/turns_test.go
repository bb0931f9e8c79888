package dispatch

import (
	"testing"
	"time"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
)

// reportGateways reports that a number of gateways are connected to the agents of both engines.
func reportGateways(d *Dispatcher, gateways int) {
	for _, id := range []string{"e1", "e2"} {
		d.fleet.Observe(id, fleet.Observation{Report: registry.Report{Models: []registry.Model{{Name: "m1"}}, KVTotal: 100000}, Watchers: gateways}, time.Now())
	}
}

// longRequest returns a request with a prompt of 9,190 tokens.
func longRequest() *request.Request {
	return &request.Request{ID: "r", Model: "m1", Arrived: time.Now(), PromptTokens: 9190, MaxOutputTokens: 10}
}

// askedTurns records the turns that a dispatch asks for and gives back.
type askedTurns struct {
	asked, ended []string // ids of targets
	answers      map[int][]TurnAnswer
}

func (a *askedTurns) ask(target registry.Target, _ TurnRequest) (Turn, bool) {
	n := len(a.asked)
	a.asked = append(a.asked, target.ID)
	answers := make(chan TurnAnswer, 4)
	for _, answer := range a.answers[n] {
		answers <- answer
	}
	return Turn{Answers: answers, End: func() { a.ended = append(a.ended, target.ID) }}, true
}

// TestPrefillTurn dispatches a request with a long prompt under the answers that an agent may give. The request must be sent in its
// turn, by the estimates of the gateway where the agent does not answer, to another holder where there is no turn in time,
// and every turn must be given back.
func TestPrefillTurn(t *testing.T) {
	granted := TurnAnswer{Kind: TurnGranted}
	refused := TurnAnswer{Kind: TurnRefused, Wait: 3 * time.Second}
	tests := map[string]struct {
		gateways    int
		tokens      int // of the prompt; 9,190 unless set
		answers     map[int][]TurnAnswer
		wantAsked   int
		wantRefused bool
		least, most time.Duration
	}{
		"granted":                  {gateways: 29, answers: map[int][]TurnAnswer{0: {granted}}, wantAsked: 1, most: 40 * time.Millisecond},
		"few gateways":             {gateways: 6, most: 40 * time.Millisecond},
		"short prompt":             {gateways: 29, tokens: 800, most: 40 * time.Millisecond},
		"agent does not answer":    {gateways: 29, wantAsked: 1, least: turnAnswerTime, most: turnAnswerTime + 400*time.Millisecond},
		"foretold and not granted": {gateways: 29, answers: map[int][]TurnAnswer{0: {{Kind: TurnWaits, Wait: 50 * time.Millisecond}}}, wantAsked: 1, least: 100 * time.Millisecond, most: 600 * time.Millisecond},
		"agent lost":               {gateways: 29, answers: map[int][]TurnAnswer{0: {{Kind: TurnLost}}}, wantAsked: 1, most: 40 * time.Millisecond},
		"refused by one":           {gateways: 29, answers: map[int][]TurnAnswer{0: {refused}, 1: {granted}}, wantAsked: 2, most: 40 * time.Millisecond},
		"refused by both":          {gateways: 29, answers: map[int][]TurnAnswer{0: {refused}, 1: {refused}}, wantAsked: 2, wantRefused: true, most: 40 * time.Millisecond},
		"other is clearly better":  {gateways: 29, answers: map[int][]TurnAnswer{0: {{Kind: TurnWaits, Wait: 2 * time.Second}}, 1: {granted}}, wantAsked: 2, most: 40 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			turns := &askedTurns{answers: test.answers}
			s.askTurn = turns.ask
			d := newDispatcher(s, time.Now)
			reportGateways(d, test.gateways)
			r := streamRoute(true)
			r.Timeout, r.LatencyObjective = 6*time.Second, 800*time.Millisecond
			req := longRequest()
			if test.tokens > 0 {
				req.PromptTokens = test.tokens
			}
			dispatch := d.Begin(t.Context(), req, r, engineService)
			defer dispatch.Close()
			outcome := dispatch.Run()
			took := time.Since(req.Arrived)
			refusal, isRefused := outcome.(Refused)
			if isRefused != test.wantRefused || (isRefused && (refusal.Reason != Overload || refusal.RetryAfter > 2*time.Second)) {
				t.Errorf("outcome %#v, want a refusal: %v, to come back within a third of what is left", outcome, test.wantRefused)
			}
			if len(turns.asked) != test.wantAsked || len(turns.ended) != test.wantAsked {
				t.Errorf("turns asked for at %v and given back at %v, want %d", turns.asked, turns.ended, test.wantAsked)
			}
			// The upper bounds allow for a busy machine.
			if took < test.least || took > test.most+500*time.Millisecond {
				t.Errorf("outcome after %s, want it between %s and %s", took, test.least, test.most)
			}
			if !isRefused && test.wantAsked > 0 && s.sentTo[0].ID != turns.asked[len(turns.asked)-1] {
				t.Errorf("sent to %s, asked at %v", s.sentTo[0].ID, turns.asked)
			}
			if dispatch.returned = d.returns.has(dispatch.contents[len(dispatch.contents)-1].Hash, time.Now()); dispatch.returned != test.wantRefused {
				t.Errorf("remembered as refused: %v, want %v", dispatch.returned, test.wantRefused)
			}
		})
	}
}

// TestWaitForTurnEnds has a request wait for a turn that does not come while its caller leaves, its time runs out, or the gateway stops.
// The wait must end at once and be withdrawn.
func TestWaitForTurnEnds(t *testing.T) {
	tests := map[string]struct {
		patience time.Duration
		end      func(*Dispatcher, *Dispatch)
		want     func(Outcome) bool
	}{
		"gateway stops": {6 * time.Second, func(d *Dispatcher, _ *Dispatch) { d.StopWaits() }, func(o Outcome) bool {
			r, ok := o.(Refused)
			return ok && r.Reason == Stopping
		}},
		"grace is over": {6 * time.Second, func(d *Dispatcher, _ *Dispatch) { d.EndAll() }, func(o Outcome) bool {
			r, ok := o.(Refused)
			return ok && r.Reason == Stopping
		}},
		"caller leaves": {6 * time.Second, func(_ *Dispatcher, d *Dispatch) { d.Close() }, func(o Outcome) bool { return o == Abandoned{} }},
		"time runs out": {700 * time.Millisecond, func(*Dispatcher, *Dispatch) {}, func(o Outcome) bool {
			r, ok := o.(Refused)
			return ok && (r.Reason == TimeoutNotRun || r.Reason == Overload)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			wait := []TurnAnswer{{Kind: TurnWaits, Wait: 5 * time.Second}}
			turns := &askedTurns{answers: map[int][]TurnAnswer{0: wait, 1: wait, 2: wait, 3: wait}}
			s.askTurn = turns.ask
			d := newDispatcher(s, time.Now)
			reportGateways(d, 29)
			r := streamRoute(true)
			r.Timeout, r.LatencyObjective = test.patience, 500*time.Millisecond
			dispatch := d.Begin(t.Context(), longRequest(), r, engineService)
			defer dispatch.Close()
			timer := time.AfterFunc(100*time.Millisecond, func() { test.end(d, dispatch) })
			defer timer.Stop()
			began := time.Now()
			outcome := dispatch.Run()
			if !test.want(outcome) || time.Since(began) > 2*time.Second {
				t.Errorf("outcome %#v after %s", outcome, time.Since(began))
			}
			if len(s.sentTo) > 0 || len(turns.ended) < len(turns.asked) {
				t.Errorf("sent to %v, turns asked for at %v and given back at %v", s.sentTo, turns.asked, turns.ended)
			}
		})
	}
}

// TestSpreadRetry guards against callers that are told the same time, or one that they do not follow.
func TestSpreadRetry(t *testing.T) {
	if soon, late := spreadRetry(time.Second, 6*time.Second, 0), spreadRetry(time.Second, 6*time.Second, 1); soon != time.Second || late <= soon {
		t.Errorf("from %s to %s, want the time until there is room and later", soon, late)
	}
	if soon, late := spreadRetry(time.Minute, 6*time.Second, 1), spreadRetry(time.Minute, 6*time.Second, 0); late != 2*time.Second || soon >= late {
		t.Errorf("from %s to %s, want a third of the time left and earlier", soon, late)
	}
}

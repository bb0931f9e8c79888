package dispatch

import (
	"testing"
	"time"

	"gypsumbank/reply"
)

// TestAnswersThatWouldBeCutAreRefused guards against requests that take an engine's time although their caller's time ends before their output
// does, as after a restart of everything, when callers come back with little time left.
func TestAnswersThatWouldBeCutAreRefused(t *testing.T) {
	tests := map[string]struct {
		gateways     int
		left         time.Duration
		hint, limit  int // output tokens, 6.4 ms each
		lastEventID  string
		promptTokens int
		wantRefused  bool
	}{
		"enough time":                     {gateways: 29, left: 6 * time.Second, hint: 300, limit: 600, promptTokens: 800},
		"output ends too late":            {gateways: 29, left: 1500 * time.Millisecond, hint: 300, limit: 600, promptTokens: 800, wantRefused: true},
		"half of the limit, too late":     {gateways: 29, left: 1500 * time.Millisecond, limit: 600, promptTokens: 800, wantRefused: true},
		"half of the limit, in time":      {gateways: 29, left: 3 * time.Second, limit: 600, promptTokens: 800},
		"limit below the hint":            {gateways: 29, left: 1500 * time.Millisecond, hint: 300, limit: 20, promptTokens: 800},
		"long prompt, ends too late":      {gateways: 29, left: 1500 * time.Millisecond, hint: 300, limit: 600, promptTokens: 9190, wantRefused: true},
		"no number of tokens":             {gateways: 29, left: 1500 * time.Millisecond, promptTokens: 800},
		"few gateways":                    {gateways: 6, left: 1500 * time.Millisecond, hint: 300, limit: 600, promptTokens: 800},
		"rest of a stream that has begun": {gateways: 29, left: 1500 * time.Millisecond, hint: 300, limit: 600, promptTokens: 800, lastEventID: "40"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			turns := &askedTurns{answers: map[int][]TurnAnswer{0: {{Kind: TurnGranted}}}}
			s.askTurn = turns.ask
			d := newDispatcher(s, time.Now)
			reportGateways(d, test.gateways)
			r := streamRoute(false)
			r.Timeout, r.LatencyObjective = test.left, 500*time.Millisecond
			req := longRequest()
			req.PromptTokens, req.LengthHint, req.MaxOutputTokens, req.LastEventID = test.promptTokens, test.hint, test.limit, test.lastEventID
			dispatch := d.Begin(t.Context(), req, r, engineService)
			defer dispatch.Close()
			outcome := dispatch.Run()
			refusal, isRefused := outcome.(Refused)
			if isRefused != test.wantRefused || (isRefused && refusal.Reason != Overload) {
				t.Errorf("outcome %#v, want a refusal: %v", outcome, test.wantRefused)
			}
			if isRefused && len(s.sentTo)+len(turns.asked) > 0 {
				t.Errorf("refused after %d sends and %d turns asked for, want none", len(s.sentTo), len(turns.asked))
			}
		})
	}
}

package dispatch

import (
	"testing"
	"time"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
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

// TestAnswersEndAtAnotherHolder guards against a request that is refused since the engine with its prompt's prefix was slow to answer once, although
// its answer would end in time at another engine.
func TestAnswersEndAtAnotherHolder(t *testing.T) {
	s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
	d := newDispatcher(s, time.Now)
	reportGateways(d, 29)
	req := longRequest()
	req.PromptTokens, req.LengthHint, req.MaxOutputTokens = 6400, 300, 300
	req.Parts = []request.Part{{ID: "p", Tokens: 6300}}
	earlier := time.Now().Add(-2 * time.Second)
	choice, ok := d.fleet.Choose(fleet.Query{Service: engineService, Request: req, Exclude: map[string]bool{"e2": true}}, earlier)
	if !ok {
		t.Fatal("no engine")
	}
	assignment := d.fleet.Assign(choice, req, earlier)
	assignment.Start(earlier.Add(time.Second))
	assignment.End(fleet.Served, earlier.Add(1200*time.Millisecond))

	r := streamRoute(false)
	r.Timeout, r.LatencyObjective = 3*time.Second, 500*time.Millisecond
	query := fleet.Query{Service: engineService, Request: req}
	if first, _ := d.fleet.Choose(query, time.Now()); first.Target.ID != "e1" {
		t.Fatalf("%s is chosen, want e1, where the prefix is cached", first.Target.ID)
	}
	if p := d.Explain(req, r, engineService, nil); p.Refused != nil {
		t.Errorf("explained as refused: %+v", p.Refused)
	}
	dispatch := d.Begin(t.Context(), req, r, engineService)
	defer dispatch.Close()
	if outcome := dispatch.Run(); len(s.sentTo) != 1 || s.sentTo[0].ID != "e2" {
		t.Errorf("outcome %#v, sent to %v, want one send to e2", outcome, s.sentTo)
	}
}

// TestWaitForRoomLeavesTheAnswerItsTime has full engines that are expected to have room after 620 ms, and a caller with 3 s left for an answer that
// takes 1.9 s. It guards against a refusal that leaves the answer its time twice: before the wait, and as half of the rest.
func TestWaitForRoomLeavesTheAnswerItsTime(t *testing.T) {
	s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
	d := newDispatcher(s, time.Now)
	report := func(requests int) {
		for _, id := range []string{"e1", "e2"} {
			d.fleet.Observe(id, fleet.Observation{
				Report: registry.Report{Models: []registry.Model{{Name: "m1"}}, KVTotal: 100000}, Requests: requests, Watchers: 29,
			}, time.Now())
		}
	}
	const full, room = 110, 10
	report(full)
	req := longRequest()
	req.PromptTokens, req.LengthHint, req.MaxOutputTokens = 800, 300, 600
	r := streamRoute(false)
	r.Timeout, r.LatencyObjective = 3*time.Second, 500*time.Millisecond
	if p := d.Explain(req, r, engineService, nil); p.Refused != nil || p.Room == nil {
		t.Errorf("explained as refused: %+v, wait for room %+v", p.Refused, p.Room)
	}
	dispatch := d.Begin(t.Context(), req, r, engineService)
	defer dispatch.Close()
	time.AfterFunc(200*time.Millisecond, func() { report(room) })
	if outcome := dispatch.Run(); len(s.sentTo) != 1 {
		t.Errorf("outcome %#v, sent %d times, want once", outcome, len(s.sentTo))
	}
}

// TestEstimatesRefuseNobodyForGood guards against requests that are refused each time although their answers would end in time: a model whose requests
// are refused is not measured again.
func TestEstimatesRefuseNobodyForGood(t *testing.T) {
	wrongHint := request.Request{PromptTokens: 100, LengthHint: 1, MaxOutputTokens: 600}
	tests := map[string]struct {
		before    request.Request // answered ten times before
		firstByte time.Duration   // of these
		took      time.Duration   // from the first byte
		hint      int
		limit     int
		left      time.Duration
	}{
		"another caller gives wrong estimates":  {before: wrongHint, firstByte: 20 * time.Millisecond, took: 3800 * time.Millisecond, hint: 300, limit: 600, left: 10 * time.Second},
		"the same, little time and output":      {before: wrongHint, firstByte: 20 * time.Millisecond, took: 3800 * time.Millisecond, hint: 100, limit: 600, left: 3 * time.Second},
		"a high limit, no time set by callers":  {limit: 16384, left: 30 * time.Second},
		"a high limit, and little time":         {limit: 4096, left: 3 * time.Second},
		"all engines had first bytes that late": {before: request.Request{PromptTokens: 9190, LengthHint: 10, MaxOutputTokens: 10}, firstByte: 1400 * time.Millisecond, took: 64 * time.Millisecond, hint: 300, limit: 600, left: 6 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			d := newDispatcher(s, time.Now)
			reportGateways(d, 29)
			for i := 0; i < 10 && test.before.PromptTokens > 0; i++ {
				earlier := test.before
				earlier.ID, earlier.Model = "earlier", "m1"
				ended := time.Now().Add(-20 * time.Millisecond)
				began := ended.Add(-test.firstByte - test.took)
				exclude := map[string]bool{[]string{"e1", "e2"}[i%2]: true}
				choice, ok := d.fleet.Choose(fleet.Query{Service: engineService, Request: &earlier, Exclude: exclude}, began)
				if !ok {
					t.Fatal("no engine")
				}
				assignment := d.fleet.Assign(choice, &earlier, began)
				assignment.Start(began.Add(test.firstByte))
				assignment.End(fleet.Served, ended)
			}
			req := longRequest()
			req.PromptTokens, req.LengthHint, req.MaxOutputTokens = 800, test.hint, test.limit
			r := streamRoute(false)
			r.Timeout, r.LatencyObjective = test.left, 500*time.Millisecond
			dispatch := d.Begin(t.Context(), req, r, engineService)
			defer dispatch.Close()
			if outcome := dispatch.Run(); len(s.sentTo) != 1 {
				t.Errorf("outcome %#v, sent %d times, want once", outcome, len(s.sentTo))
			}
		})
	}
}

// TestShortAnswersMayWaitForTheirTurn guards against a request for a few tokens that gets less time to wait for its turn since its answer takes some ms:
// its agent foretells waits less exactly, and refused one that would have been served in time.
func TestShortAnswersMayWaitForTheirTurn(t *testing.T) {
	d := newDispatcher(&scriptedClient{}, time.Now)
	reportGateways(d, 29)
	r := streamRoute(false)
	r.Timeout = 2 * time.Second
	for limit, wantLess := range map[int]bool{10: false, 600: true} {
		req := longRequest()
		req.MaxOutputTokens = limit
		dispatch := d.Begin(t.Context(), req, r, engineService)
		choice, ok := d.fleet.Choose(dispatch.query(), time.Now())
		if isLess := dispatch.beginDeadline(choice).Before(dispatch.firstByteDeadline()); !ok || isLess != wantLess {
			t.Errorf("limit of %d tokens: less time to begin: %v, want %v", limit, isLess, wantLess)
		}
		dispatch.Close()
	}
}

package dispatch

import (
	"sync"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/route"
)

// scriptedQuarantine is a Quarantine that blocks all requests from a time on and records what it is told.
type scriptedQuarantine struct {
	mu        sync.Mutex
	blockFrom time.Time // zero to block none
	suspected []registry.Target
	replaced  []registry.Target
}

func (q *scriptedQuarantine) Blocked([]request.Content) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.blockFrom.IsZero() || time.Now().Before(q.blockFrom) {
		return 0
	}
	return time.Minute
}

func (q *scriptedQuarantine) Suspect(target registry.Target, _ []request.Content) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspected = append(q.suspected, target)
}

func (q *scriptedQuarantine) Clear([]request.Content) {}

func (q *scriptedQuarantine) MarkReplaced(target registry.Target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.replaced = append(q.replaced, target)
}

// TestAnotherRunAtTheAddressEndsTheOneBefore has a target say that it is not the one that a request was sent to. Its broken answers
// then count as its end.
func TestAnotherRunAtTheAddressEndsTheOneBefore(t *testing.T) {
	q := &scriptedQuarantine{}
	another := func() reply.Result { return reply.NotRun{Misdirected: true, OtherTargetID: "other"} }
	d := newDispatcher(&scriptedClient{replies: []func() reply.Result{another, respond(200)}}, time.Now)
	d.quarantine = q
	dispatch := d.Begin(t.Context(), &request.Request{ID: "r1", Arrived: time.Now()}, unsafeRoute(), plainService)
	defer dispatch.Close()
	dispatch.Run()
	if len(q.replaced) != 1 {
		t.Errorf("ended runs %v, want the one that the request was sent to", q.replaced)
	}
}

// TestQuarantinedRequestIsNotSent has targets crash under requests like one that arrives, waits for its model or is to be sent
// a second time. It must be refused with the time for which that holds, and not be sent.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	const soon = 60 * time.Millisecond
	slowLoss := func() reply.Result {
		time.Sleep(2 * soon)
		return noResponse()
	}
	cases := map[string]struct {
		route       *route.Route
		model       string
		replies     []func() reply.Result
		blockAfter  time.Duration
		want        Outcome
		wantSends   int
		wantSuspect int
	}{
		"on arrival":                  {route: streamRoute(false), model: "m1", want: Refused{Reason: CrashesTargets}},
		"while it waits for a model":  {route: streamRoute(false), model: "m2", blockAfter: soon, want: Refused{Reason: CrashesTargets}},
		"between two attempts":        {route: streamRoute(true), model: "m1", replies: []func() reply.Result{slowLoss}, blockAfter: soon, want: Failed{Reason: CrashesTargets}, wantSends: 1, wantSuspect: 1},
		"of a service without models": {route: unsafeRoute(), want: Refused{Reason: CrashesTargets}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: c.replies}
			d := newDispatcher(s, time.Now)
			q := &scriptedQuarantine{blockFrom: time.Now().Add(c.blockAfter)}
			d.quarantine = q
			service := engineService
			if c.model == "" {
				service = plainService
			}
			dispatch := d.Begin(t.Context(), &request.Request{ID: "r1", Arrived: time.Now(), Model: c.model}, c.route, service)
			defer dispatch.Close()
			if got := dispatch.Run(); !sameOutcome(got, c.want) {
				t.Errorf("outcome %#v, want %#v", got, c.want)
			}
			if len(s.sentTo) != c.wantSends || len(q.suspected) != c.wantSuspect {
				t.Errorf("sent %d times and %d targets suspected, want %d and %d", len(s.sentTo), len(q.suspected), c.wantSends, c.wantSuspect)
			}
		})
	}
}

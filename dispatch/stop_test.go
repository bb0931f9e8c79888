package dispatch

import (
	"context"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/route"
)

// TestRequestThatMayOutlastTheGraceIsNotSent guards against requests that a stopping gateway takes and can't be sure to answer: each must be
// refused at once as not run, and all others served.
func TestRequestThatMayOutlastTheGraceIsNotSent(t *testing.T) {
	const left = 2 * time.Second // of the grace
	cases := map[string]struct {
		timeout    time.Duration
		kind       route.Kind
		waitsOver  bool
		replies    []func() reply.Result
		wantSends  int
		wantServed bool
	}{
		"ends in time":                           {time.Second, route.Unsafe, false, []func() reply.Result{respond(200)}, 1, true},
		"may last longer":                        {3 * time.Second, route.Unsafe, false, []func() reply.Result{respond(200)}, 0, false},
		"may last longer and be repeated":        {3 * time.Second, route.Safe, false, []func() reply.Result{respond(200)}, 0, false},
		"late in the grace":                      {time.Second, route.Unsafe, true, []func() reply.Result{respond(200)}, 1, true},
		"late in the grace, may last longer":     {3 * time.Second, route.Unsafe, true, []func() reply.Result{respond(200)}, 0, false},
		"refused by a target, then ends in time": {time.Second, route.Unsafe, false, []func() reply.Result{notRun, respond(200)}, 2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: c.replies}
			d := newDispatcher(s, time.Now)
			d.Stop(time.Now().Add(left))
			if c.waitsOver {
				d.StopWaits()
			}
			began := time.Now()
			r := &route.Route{Name: "r", Kind: c.kind, Timeout: c.timeout, MaxAttempts: 2}
			dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Arrived: began}, r, plainService)
			defer dispatch.Close()
			outcome := dispatch.Run()
			if took := time.Since(began); took > 100*time.Millisecond {
				t.Errorf("the outcome came after %s, want at once", took)
			}
			if len(s.sentTo) != c.wantSends {
				t.Errorf("%d sends, want %d", len(s.sentTo), c.wantSends)
			}
			_, served := outcome.(Answered)
			refused, _ := outcome.(Refused)
			if served != c.wantServed || (!served && refused.Reason != Stopping) {
				t.Errorf("outcome %#v, want it served: %v, or refused as stopping", outcome, c.wantServed)
			}
		})
	}
}

// TestStreamThatEndsInTimeByItsTokensIsServed guards against a stop that sends the callers of short streams away as their route allows long ones.
func TestStreamThatEndsInTimeByItsTokensIsServed(t *testing.T) {
	const left = 2 * time.Second // of the grace
	cases := map[string]struct {
		maxTokens  int
		hint       int
		late       bool
		wantServed bool
	}{
		"few tokens":                        {50, 0, false, true},
		"many tokens":                       {400, 0, false, false},
		"no limit on its tokens":            {0, 0, false, false},
		"few expected":                      {400, 50, false, true},
		"few tokens, late":                  {50, 0, true, true},
		"few expected, late":                {400, 50, true, false},
		"expected without a limit, late":    {0, 50, true, false},
		"expected tokens would do, late":    {200, 0, true, false},
		"expected tokens would do, in time": {200, 0, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			d := newDispatcher(s, time.Now)
			d.Stop(time.Now().Add(left))
			if c.late {
				d.StopWaits()
			}
			r := streamRoute(false)
			r.Timeout = 20 * time.Second
			dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Model: "m1", Arrived: time.Now(), PromptTokens: 100, MaxOutputTokens: c.maxTokens, LengthHint: c.hint}, r, engineService)
			defer dispatch.Close()
			outcome := dispatch.Run()
			if _, served := outcome.(Answered); served != c.wantServed {
				t.Errorf("outcome %#v, want it served: %v", outcome, c.wantServed)
			}
		})
	}
}

// silentClient is a scriptedClient whose targets never answer.
type silentClient struct{ *scriptedClient }

func (s *silentClient) Send(ctx context.Context, _ *request.Request, _ registry.Delivery) reply.Result {
	<-ctx.Done()
	return reply.NoUsableResponse{Err: ctx.Err()}
}

// TestRequestInProgressGetsAnAnswerAtTheEndOfTheGrace guards against requests that are cut with no answer as their process stops.
func TestRequestInProgressGetsAnAnswerAtTheEndOfTheGrace(t *testing.T) {
	d := newDispatcher(&scriptedClient{}, time.Now)
	d.sender = &silentClient{}
	dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Arrived: time.Now()}, &route.Route{Name: "r", Kind: route.Unsafe, Timeout: time.Minute, MaxAttempts: 1}, plainService)
	defer dispatch.Close()
	time.AfterFunc(50*time.Millisecond, d.EndAll)
	outcome := dispatch.Run()
	if failed, ok := outcome.(Failed); !ok || failed.Reason != Stopping || failed.TimedOut {
		t.Errorf("outcome %#v, want a failure as stopping", outcome)
	}
	if !dispatch.GraceOver() || dispatch.TimedOut() {
		t.Errorf("grace over: %v, timed out: %v; want only the first", dispatch.GraceOver(), dispatch.TimedOut())
	}
}

package dispatch

import (
	"testing"
	"time"

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
		"late in the grace":                      {time.Second, route.Unsafe, true, []func() reply.Result{respond(200)}, 0, false},
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

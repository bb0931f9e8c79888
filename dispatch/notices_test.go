package dispatch

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/sender"
)

// respondWithLimit returns an answer in which the target names a limit.
func respondWithLimit(perSecond float64) func() reply.Result {
	return func() reply.Result {
		return reply.Answered{
			Response: &sender.Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok"))},
			Notice:   registry.Notice{Limit: registry.RequestLimit{Named: true, PerSecond: perSecond}},
		}
	}
}

// TestRequestsForLimitedTargets sends requests to a service both targets of which have named a limit, so that each has its turn
// at a later time. A request must wait for a turn that comes in time, and be refused at once if none does.
func TestRequestsForLimitedTargets(t *testing.T) {
	cases := map[string]struct {
		perSecond float64
		timeout   time.Duration
		served    bool
		maxWait   time.Duration
	}{
		"the next turn is near": {perSecond: 4, timeout: 5 * time.Second, served: true, maxWait: time.Second},
		"the next turn is far":  {perSecond: 0.2, timeout: 2 * time.Second, maxWait: 100 * time.Millisecond},
	}
	for kind, newRoute := range map[string]func() (*route.Route, string, string){
		"plain":  func() (*route.Route, string, string) { return unsafeRoute(), plainService, "" },
		"engine": func() (*route.Route, string, string) { return streamRoute(true), engineService, "m1" },
	} {
		for name, c := range cases {
			t.Run(kind+", "+name, func(t *testing.T) {
				s := &scriptedClient{replies: []func() reply.Result{respondWithLimit(c.perSecond)}}
				d := newDispatcher(s, time.Now)
				r, service, model := newRoute()
				r.Timeout = c.timeout
				send := func() (Outcome, time.Duration) {
					began := time.Now()
					dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Arrived: began, Model: model}, r, service)
					defer dispatch.Close()
					outcome := dispatch.Run()
					if answered, ok := outcome.(Answered); ok {
						answered.Assignment.End(0, time.Now())
					}
					return outcome, time.Since(began)
				}
				for range 2 {
					if outcome, _ := send(); !sameOutcome(outcome, Answered{}) {
						t.Fatalf("outcome %#v before both targets have named a limit", outcome)
					}
				}
				outcome, took := send()
				want := Outcome(Refused{Reason: Overload})
				if c.served {
					want = Answered{}
				}
				if !sameOutcome(outcome, want) || took > c.maxWait {
					t.Errorf("outcome %#v after %s, want %T within %s", outcome, took, want, c.maxWait)
				}
			})
		}
	}
}

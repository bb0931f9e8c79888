package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/retrybudget"
	"gypsumbank/route"
	"gypsumbank/sender"
)

// script answers sends in turn; the last reply is repeated.
type script struct {
	mu      sync.Mutex
	replies []func() reply.Reply
	sent    []registry.Target
	ensured int
	held    error // result of Ensure
}

func (s *script) Send(_ context.Context, _ *request.Request, by registry.Delivery) reply.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, by.Target)
	return s.replies[min(len(s.sent), len(s.replies))-1]()
}

func (s *script) Ensure(context.Context, registry.Target, string, string, string, string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensured++
	return s.held
}

func (s *script) TellDemand()              {}
func (s *script) TellLoad(registry.Target) {}

func answer(status int) func() reply.Reply {
	return func() reply.Reply {
		return reply.Answered{Answer: &sender.Answer{
			Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")),
		}}
	}
}

func notRun() reply.Reply { return reply.NotRun{} }

func misplaced() reply.Reply { return reply.NotRun{Misplaced: true} }

func notSent() reply.Reply { return reply.NotSent{Err: errors.New("refused")} }

func broken() reply.Reply { return reply.Broken{Err: errors.New("reset")} }

// countingClock counts how often the time is read.
type countingClock struct {
	mu    sync.Mutex
	reads int
}

func (c *countingClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	return time.Now()
}

const (
	plainService  = "ledger"
	engineService = "llm"
)

// newDispatcher returns a dispatcher before two targets of each service; the engines hold model m1 and no adapter.
func newDispatcher(s *script, clock func() time.Time) *Dispatcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fleet.New("a")
	f.SetServices(map[string]route.Service{
		plainService: {Name: plainService},
		engineService: {Name: engineService, Engine: &route.Engine{
			Models:         map[string]route.Model{"m1": {Name: "m1", StoreLoadTime: time.Second}, "m2": {Name: "m2", StoreLoadTime: 100 * time.Millisecond}},
			WeightMemoryMB: 100, AdapterSlots: 2,
		}},
	})
	var targets []registry.Target
	for _, id := range []string{"1", "2"} {
		targets = append(targets,
			registry.Target{ID: "p" + id, Service: plainService, Address: "10.0.0." + id + ":80", AvailabilityZone: "a", Slots: 4},
			registry.Target{ID: "e" + id, Service: engineService, Address: "10.0.1." + id + ":80", AvailabilityZone: "a", Slots: 64, Models: []registry.Model{{Name: "m1"}}})
	}
	f.UpdateTargets(targets, false, clock())
	budget := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second})
	return New(f, s, s, budget, log.WithField("test", "dispatch"), clock)
}

func safeRoute() *route.Route {
	return &route.Route{Kind: route.Safe, Timeout: time.Second, MaxAttempts: 2}
}

func unsafeRoute() *route.Route {
	return &route.Route{Kind: route.Unsafe, Timeout: time.Second, MaxAttempts: 1}
}

func streamRoute(resumable bool) *route.Route {
	return &route.Route{Kind: route.Streaming, Timeout: time.Second, MaxAttempts: 2, Resumable: resumable}
}

func TestRun(t *testing.T) {
	replies := func(list ...func() reply.Reply) []func() reply.Reply { return list }
	tests := map[string]struct {
		route   *route.Route
		service string
		model   string
		adapter string
		held    error
		replies []func() reply.Reply
		want    Outcome
		sends   int
	}{
		"answered":                              {route: unsafeRoute(), replies: replies(answer(200)), want: Answered{}, sends: 1},
		"unsafe is not sent again after a loss": {route: unsafeRoute(), replies: replies(broken, answer(200)), want: Failed{Reason: AnswerLost}, sends: 1},
		"unsafe goes on after a refusal":        {route: unsafeRoute(), replies: replies(notRun, answer(200)), want: Answered{}, sends: 2},
		"unsafe goes on if nothing was sent":    {route: unsafeRoute(), replies: replies(notSent, answer(200)), want: Answered{}, sends: 2},
		"unsafe failure is passed on":           {route: unsafeRoute(), replies: replies(answer(500)), want: Answered{}, sends: 1},
		"no time is given":                      {route: &route.Route{Kind: route.Unsafe, MaxAttempts: 1}, replies: replies(answer(200)), want: Answered{}, sends: 1},
		"refused by all":                        {route: unsafeRoute(), replies: replies(notRun), want: Refused{Reason: NoTarget}, sends: 2},
		"unreachable":                           {route: unsafeRoute(), replies: replies(notSent), want: Refused{Reason: NoTarget}, sends: 2},
		"safe is sent again after a loss":       {route: safeRoute(), replies: replies(broken, answer(200)), want: Answered{}, sends: 2},
		"safe is sent again after a failure":    {route: safeRoute(), replies: replies(answer(503), answer(200)), want: Answered{}, sends: 2},
		"safe keeps to its attempts":            {route: safeRoute(), replies: replies(broken), want: Failed{Reason: AnswerLost}, sends: 2},
		"loss then refusal may have run":        {route: safeRoute(), replies: replies(broken, notRun), want: Failed{Reason: NoTarget}, sends: 2},
		"stream is not sent again":              {route: streamRoute(false), service: engineService, model: "m1", replies: replies(broken, answer(200)), want: Failed{Reason: AnswerLost}, sends: 1},
		"resumable stream is sent again":        {route: streamRoute(true), service: engineService, model: "m1", replies: replies(broken, answer(200)), want: Answered{}, sends: 2},
		"adapter is loaded first":               {route: streamRoute(false), service: engineService, model: "m1", adapter: "a1", replies: replies(answer(200)), want: Answered{}, sends: 1},
		"adapter that can not be loaded":        {route: streamRoute(false), service: engineService, model: "m1", adapter: "a1", held: ErrNotHeld, want: Refused{Reason: NoTarget}, sends: 0},
		"misplaced everywhere":                  {route: streamRoute(false), service: engineService, model: "m1", replies: replies(misplaced), want: Refused{Reason: NoModel}, sends: 2},
		"unlisted model":                        {route: streamRoute(false), service: engineService, model: "m9", want: Refused{Reason: NoModel}, sends: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &script{replies: test.replies, held: test.held}
			service := test.service
			if service == "" {
				service = plainService
			}
			req := &request.Request{ID: "r1", Arrived: time.Now(), Model: test.model, Adapter: test.adapter, Header: http.Header{}}
			d := newDispatcher(s, time.Now).Begin(context.Background(), req, test.route, service)
			defer d.Close()
			got := d.Run()
			if !sameOutcome(got, test.want) {
				t.Errorf("outcome %#v, want %#v", got, test.want)
			}
			if len(s.sent) != test.sends {
				t.Errorf("%d sends, want %d", len(s.sent), test.sends)
			}
		})
	}
}

// sameOutcome compares kind and reason.
func sameOutcome(got, want Outcome) bool {
	switch want := want.(type) {
	case Answered:
		_, ok := got.(Answered)
		return ok
	case Refused:
		refused, ok := got.(Refused)
		return ok && refused.Reason == want.Reason && refused.RetryAfter > 0
	case Failed:
		failed, ok := got.(Failed)
		return ok && failed.Reason == want.Reason
	case Abandoned:
		_, ok := got.(Abandoned)
		return ok
	}
	return false
}

// TestCallerLeavesWhileModelLoads has a caller leave while its request waits for a model: the request must end at once,
// without looking for a target again and again.
func TestCallerLeavesWhileModelLoads(t *testing.T) {
	clock := &countingClock{}
	d := newDispatcher(&script{}, clock.now)
	ctx, leave := context.WithCancel(context.Background())
	req := &request.Request{ID: "r1", Arrived: time.Now(), Model: "m2", Header: http.Header{}}
	r := &route.Route{Kind: route.Streaming, Timeout: 10 * time.Second, MaxAttempts: 1}
	dispatch := d.Begin(ctx, req, r, engineService)
	defer dispatch.Close()
	done := make(chan Outcome, 1)
	go func() { done <- dispatch.Run() }()
	time.Sleep(50 * time.Millisecond)
	leave()
	select {
	case got := <-done:
		if _, ok := got.(Abandoned); !ok {
			t.Errorf("outcome %#v, want Abandoned", got)
		}
	case <-time.After(time.Second):
		t.Fatalf("the request still waits a second after its caller has left; the clock was read %d times", clock.reads)
	}
}

func TestDeadlineWhileModelLoads(t *testing.T) {
	d := newDispatcher(&script{}, time.Now)
	req := &request.Request{ID: "r1", Arrived: time.Now(), Timeout: 2 * time.Second, Model: "m2", Header: http.Header{}}
	dispatch := d.Begin(context.Background(), req, streamRoute(false), engineService)
	defer dispatch.Close()
	got := dispatch.Run()
	refused, ok := got.(Refused)
	if !ok || refused.RetryAfter <= 0 {
		t.Errorf("outcome %#v, want Refused with a time to come back", got)
	}
	if late := time.Since(req.Arrived) - time.Second; late > 500*time.Millisecond {
		t.Errorf("refused %s after the timeout of the route", late)
	}
}

package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/connpool"
	"gypsumbank/fleet"
	"gypsumbank/origin"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/retrybudget"
	"gypsumbank/route"
	"gypsumbank/sender"
)

// scriptedClient is a Sender, AgentClient and Registry that returns the given replies in turn and then repeats the last one.
type scriptedClient struct {
	mu          sync.Mutex
	replies     []func() reply.Result
	sentTo      []registry.Target
	ensureCalls int
	ensureErr   error                    // returned by EnsureLoaded
	ensureTime  time.Duration            // after which EnsureLoaded returns
	origin      registry.SoftwareVersion // of all streams, as agents know it; empty if none does
	refresh     func() error             // called by Refresh unless it is nil
	askTurn     func(registry.Target, TurnRequest) (Turn, bool)
}

func (s *scriptedClient) Send(_ context.Context, _ *request.Request, delivery registry.Delivery) reply.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentTo = append(s.sentTo, delivery.Target)
	return s.replies[min(len(s.sentTo), len(s.replies))-1]()
}

func (s *scriptedClient) EnsureLoaded(context.Context, registry.Target, string, string, string, string) error {
	time.Sleep(s.ensureTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureCalls++
	return s.ensureErr
}

func (s *scriptedClient) FindOrigin(context.Context, uint64) (registry.SoftwareVersion, time.Duration, bool) {
	return s.origin, 0, s.origin != ""
}

func (s *scriptedClient) Refresh(context.Context) error {
	if s.refresh == nil {
		return nil
	}
	return s.refresh()
}

func (s *scriptedClient) PushDemand()               {}
func (s *scriptedClient) PushUsage(registry.Target) {}
func (s *scriptedClient) PushOrigin(uint64)         {}

func (s *scriptedClient) AskTurn(target registry.Target, request TurnRequest) (Turn, bool) {
	if s.askTurn == nil {
		return Turn{}, false
	}
	return s.askTurn(target, request)
}

func respond(status int) func() reply.Result {
	return func() reply.Result {
		return reply.Answered{Response: &sender.Response{
			Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")),
		}}
	}
}

func notRun() reply.Result { return reply.NotRun{} }

func misdirected() reply.Result { return reply.NotRun{Misdirected: true} }

func notSent() reply.Result { return reply.NotSent{Err: errors.New("refused")} }

func exhausted() reply.Result {
	return reply.NotSent{Err: fmt.Errorf("%w: %w", sender.ErrNotSent, connpool.ErrExhausted)}
}

func noResponse() reply.Result { return reply.NoUsableResponse{Err: errors.New("reset")} }

// countingClock returns the current time and counts how often it is read.
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

// engineServices returns a plain service and one with engines that may hold the models m1 and m2.
func engineServices() map[string]route.Service {
	return map[string]route.Service{
		plainService: {Name: plainService},
		engineService: {Name: engineService, Engine: &route.Engine{
			Models:         map[string]route.Model{"m1": {Name: "m1", StoreLoadTime: time.Second}, "m2": {Name: "m2", StoreLoadTime: 100 * time.Millisecond}},
			WeightMemoryMB: 100, AdapterSlots: 2,
		}},
	}
}

// newDispatcher returns a dispatcher with two targets for each service. The engines hold model m1 and no adapter.
func newDispatcher(s *scriptedClient, now func() time.Time) *Dispatcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fleet.New("a")
	f.SetServices(engineServices())
	var targets []registry.Target
	for _, id := range []string{"1", "2"} {
		targets = append(targets,
			registry.Target{ID: "p" + id, Service: plainService, Address: "10.0.0." + id + ":80", AvailabilityZone: "a", Slots: 4},
			registry.Target{ID: "e" + id, Service: engineService, Address: "10.0.1." + id + ":80", AvailabilityZone: "a", Slots: 64, Models: []registry.Model{{Name: "m1"}}})
	}
	f.UpdateTargets(targets, false, now())
	budget := retrybudget.New(retrybudget.Limits{PerRequest: 0.2, ExtraPerWindow: 100, Window: 10 * time.Second})
	return New(f, s, s, s, budget, &scriptedQuarantine{}, origin.New(now), log.WithField("test", "dispatch"), now)
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
	replies := func(list ...func() reply.Result) []func() reply.Result { return list }
	tests := map[string]struct {
		route     *route.Route
		service   string
		model     string
		adapter   string
		ensureErr error
		replies   []func() reply.Result
		want      Outcome
		wantSends int
	}{
		"answered": {route: unsafeRoute(), replies: replies(respond(200)), want: Answered{}, wantSends: 1},
		"unsafe is not retried after a lost response": {route: unsafeRoute(), replies: replies(noResponse, respond(200)), want: Failed{Reason: AnswerLost}, wantSends: 1},
		"unsafe is retried after a refusal":           {route: unsafeRoute(), replies: replies(notRun, respond(200)), want: Answered{}, wantSends: 2},
		"unsafe is retried if nothing was sent":       {route: unsafeRoute(), replies: replies(notSent, respond(200)), want: Answered{}, wantSends: 2},
		"unsafe server error is forwarded":            {route: unsafeRoute(), replies: replies(respond(500)), want: Answered{}, wantSends: 1},
		"no timeout is set":                           {route: &route.Route{Kind: route.Unsafe, MaxAttempts: 1}, replies: replies(respond(200)), want: Answered{}, wantSends: 1},
		"refused by all targets":                      {route: unsafeRoute(), replies: replies(notRun), want: Refused{Reason: NoTarget}, wantSends: 2},
		"no descriptor left":                          {route: unsafeRoute(), replies: replies(exhausted), want: Refused{Reason: NoDescriptors}, wantSends: 1},
		"no target reachable":                         {route: unsafeRoute(), replies: replies(notSent), want: Refused{Reason: NoTarget}, wantSends: 2},
		"safe is retried after a lost response":       {route: safeRoute(), replies: replies(noResponse, respond(200)), want: Answered{}, wantSends: 2},
		"safe is retried after a server error":        {route: safeRoute(), replies: replies(respond(503), respond(200)), want: Answered{}, wantSends: 2},
		"safe is retried up to the maximum attempts":  {route: safeRoute(), replies: replies(noResponse), want: Failed{Reason: AnswerLost}, wantSends: 2},
		"lost response, then refusal, may have run":   {route: safeRoute(), replies: replies(noResponse, notRun), want: Failed{Reason: NoTarget}, wantSends: 2},
		"stream is not retried":                       {route: streamRoute(false), service: engineService, model: "m1", replies: replies(noResponse, respond(200)), want: Failed{Reason: AnswerLost}, wantSends: 1},
		"resumable stream is retried":                 {route: streamRoute(true), service: engineService, model: "m1", replies: replies(noResponse, respond(200)), want: Answered{}, wantSends: 2},
		"adapter is loaded before the request":        {route: streamRoute(false), service: engineService, model: "m1", adapter: "a1", replies: replies(respond(200)), want: Answered{}, wantSends: 1},
		"adapter load fails":                          {route: streamRoute(false), service: engineService, model: "m1", adapter: "a1", ensureErr: ErrNotLoaded, want: Refused{Reason: NoTarget}, wantSends: 0},
		"no target has the model":                     {route: streamRoute(false), service: engineService, model: "m1", replies: replies(misdirected), want: Refused{Reason: NoModel}, wantSends: 2},
		"unlisted model":                              {route: streamRoute(false), service: engineService, model: "m9", want: Refused{Reason: NoModel}, wantSends: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: test.replies, ensureErr: test.ensureErr}
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
			if len(s.sentTo) != test.wantSends {
				t.Errorf("request sent %d times, want %d", len(s.sentTo), test.wantSends)
			}
		})
	}
}

// sameOutcome compares the types and the reasons of two outcomes; a refusal must have a Retry-After.
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

// TestCallerDisconnectsWhileModelLoads cancels a request that waits for a model to load. It must end at once; a busy loop
// that kept looking for a target would show in the number of clock reads.
func TestCallerDisconnectsWhileModelLoads(t *testing.T) {
	clock := &countingClock{}
	d := newDispatcher(&scriptedClient{}, clock.now)
	ctx, cancel := context.WithCancel(context.Background())
	req := &request.Request{ID: "r1", Arrived: time.Now(), Model: "m2", Header: http.Header{}}
	r := &route.Route{Kind: route.Streaming, Timeout: 10 * time.Second, MaxAttempts: 1}
	dispatch := d.Begin(ctx, req, r, engineService)
	defer dispatch.Close()
	done := make(chan Outcome, 1)
	go func() { done <- dispatch.Run() }()
	time.Sleep(50 * time.Millisecond)
	cancel()
	select {
	case got := <-done:
		if _, ok := got.(Abandoned); !ok {
			t.Errorf("outcome %#v, want Abandoned", got)
		}
	case <-time.After(time.Second):
		t.Fatalf("the request still waits 1 s after its caller disconnected; the clock was read %d times", clock.reads)
	}
}

func TestDeadlineWhileModelLoads(t *testing.T) {
	d := newDispatcher(&scriptedClient{}, time.Now)
	req := &request.Request{ID: "r1", Arrived: time.Now(), Timeout: 2 * time.Second, Model: "m2", Header: http.Header{}}
	dispatch := d.Begin(context.Background(), req, streamRoute(false), engineService)
	defer dispatch.Close()
	got := dispatch.Run()
	refused, ok := got.(Refused)
	if !ok || refused.RetryAfter <= 0 {
		t.Errorf("outcome %#v, want Refused with RetryAfter above 0", got)
	}
	if delay := time.Since(req.Arrived) - time.Second; delay > 500*time.Millisecond {
		t.Errorf("refused %s after the route timeout, want at most 500ms", delay)
	}
}

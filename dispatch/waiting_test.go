package dispatch

import (
	"testing"
	"time"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/waitlist"
)

// fillEngines reports that other gateways' requests take the given number of the 64 slots of both engines.
func fillEngines(d *Dispatcher, requests int) {
	for _, id := range []string{"e1", "e2"} {
		d.fleet.Observe(id, fleet.Observation{
			Report: registry.Report{Models: []registry.Model{{Name: "m1"}}, KVTotal: 100000}, Requests: requests, Watchers: 2,
		}, time.Now())
	}
}

// TestFullHolders sends a request for a model whose holders are full. It must wait for room if there will be some within
// the time for which the caller waits for a first byte, and be refused at once if not.
func TestFullHolders(t *testing.T) {
	const room, full, crowded = 10, 75, 5000
	cases := map[string]struct {
		requests int
		freeAt   time.Duration // when a slot becomes free; 0 for never
		served   bool
		maxWait  time.Duration
	}{
		"room at once":           {requests: room, served: true, maxWait: 100 * time.Millisecond},
		"room after a short":     {requests: full, freeAt: 200 * time.Millisecond, served: true, maxWait: 500 * time.Millisecond},
		"no room within seconds": {requests: crowded, maxWait: 100 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			d := newDispatcher(s, time.Now)
			fillEngines(d, c.requests)
			if c.freeAt > 0 {
				timer := time.AfterFunc(c.freeAt, func() { fillEngines(d, room) })
				defer timer.Stop()
			}
			r := streamRoute(true)
			r.Timeout, r.LatencyObjective = 10*time.Second, 300*time.Millisecond
			began := time.Now()
			dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Model: "m1", Arrived: began, PromptTokens: 100, MaxOutputTokens: 100}, r, engineService)
			defer dispatch.Close()
			outcome := dispatch.Run()
			took := time.Since(began)
			switch o := outcome.(type) {
			case Answered:
				if !c.served {
					t.Error("request was sent to a full engine")
				}
			case Refused:
				if c.served {
					t.Errorf("request was refused: %+v", o)
				}
				if o.RetryAfter < time.Second {
					t.Errorf("Retry-After is %s, want the time until there is room", o.RetryAfter)
				}
			default:
				t.Errorf("outcome %#v", outcome)
			}
			if took < c.freeAt || took > c.maxWait {
				t.Errorf("outcome after %s, want it between %s and %s", took, c.freeAt, c.maxWait)
			}
			if d.waits.Len(waitlist.Key{Service: engineService, Model: "m1"}) > 0 {
				t.Error("the request has kept its place among the waiting ones")
			}
		})
	}
}

// TestModelThatLoadsTooSlowlyIsRefusedAtOnce requests a model that is loaded only after the caller has given up waiting
// for the first event, though before its deadline.
func TestModelThatLoadsTooSlowlyIsRefusedAtOnce(t *testing.T) {
	s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
	d := newDispatcher(s, time.Now)
	services := engineServices()
	engine := *services[engineService].Engine
	slow := engine.Models["m2"]
	slow.StoreLoadTime = 5 * time.Second
	engine.Models["m2"] = slow
	r := streamRoute(false)
	r.Timeout, r.LatencyObjective = 10*time.Second, 300*time.Millisecond
	d.fleet.SetServices(services)
	began := time.Now()
	dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Model: "m2", Arrived: began, PromptTokens: 100, MaxOutputTokens: 100}, r, engineService)
	defer dispatch.Close()
	outcome, ok := dispatch.Run().(Refused)
	if !ok || outcome.Reason != NoModel || time.Since(began) > 100*time.Millisecond {
		t.Errorf("outcome %+v, %v after %s, want a refusal at once", outcome, ok, time.Since(began))
	}
}

// TestStopEndsWaits lets one request wait for room and one for a model that is being loaded, and then stops the waits, as a
// gateway does that has been told to stop. Both must be refused at once as not run, so that their callers go to another.
func TestStopEndsWaits(t *testing.T) {
	cases := map[string]string{"for room": "m1", "for a model": "m2"}
	for name, model := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			d := newDispatcher(s, time.Now)
			fillEngines(d, 75)
			services := engineServices()
			engine := *services[engineService].Engine
			loading := engine.Models["m2"]
			loading.StoreLoadTime = 5 * time.Second
			engine.Models["m2"] = loading
			d.fleet.SetServices(services)
			r := streamRoute(true)
			r.Timeout, r.LatencyObjective = 20*time.Second, 8*time.Second
			dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Model: model, Arrived: time.Now(), PromptTokens: 100, MaxOutputTokens: 100}, r, engineService)
			defer dispatch.Close()
			outcome := make(chan Outcome, 1)
			go func() { outcome <- dispatch.Run() }()
			time.Sleep(100 * time.Millisecond)
			d.StopWaits()
			select {
			case o := <-outcome:
				if refused, ok := o.(Refused); !ok || refused.Reason != Stopping {
					t.Errorf("outcome %#v, want a refusal as stopping", o)
				}
			case <-time.After(time.Second):
				t.Error("the request still waits")
			}
		})
	}
}

package dispatch

import (
	"sync"
	"testing"
	"time"

	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/waitlist"
)

// TestCustomersPriorityOrdersWaits has requests of two routes and of customers with priorities wait for the same full engines. It guards
// against a waitlist that goes by the routes: urgent customers then wait behind others.
func TestCustomersPriorityOrdersWaits(t *testing.T) {
	const full, room = 75, 10
	d := newDispatcher(&scriptedClient{replies: []func() reply.Result{respond(200)}}, time.Now)
	fillEngines(d, full)
	var running sync.WaitGroup
	key := waitlist.Key{Service: engineService, Model: "m1"}
	// Those that wait, in the order in which they are to be served.
	waiting := []struct{ priority, routePriority int }{{0, 1}, {0, 2}, {1, 1}, {2, 1}, {2, 2}}
	for _, c := range waiting {
		r := streamRoute(true)
		r.Timeout, r.LatencyObjective, r.Priority = 20*time.Second, 5*time.Second, c.routePriority
		dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Model: "m1", Arrived: time.Now(), PromptTokens: 100, MaxOutputTokens: 100, Priority: c.priority}, r, engineService)
		running.Go(func() {
			defer dispatch.Close()
			if outcome, ok := dispatch.Run().(Answered); !ok {
				t.Errorf("outcome %#v", outcome)
			}
		})
	}
	for began := time.Now(); d.waits.Len(key) < len(waiting) && time.Since(began) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	for i, c := range waiting {
		probe := d.waits.Join(key, waitlist.Rank{Priority: c.priority, RoutePriority: c.routePriority, Objective: time.Now().Add(time.Minute)})
		if ahead := probe.Ahead(time.Now()); ahead != i+1 {
			t.Errorf("%d requests are ahead of one of priority %d on a route of priority %d, want %d", ahead, c.priority, c.routePriority, i+1)
		}
		probe.Leave()
	}
	fillEngines(d, room)
	running.Wait()
}

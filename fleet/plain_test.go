package fleet

import (
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
)

// TestPlainTargetThatRefusesGetsLess lets the target of the own zone refuse a part of the requests, as it does when the
// gateways of a zone send it more than it has slots, while a target of another zone has room. A gateway with few requests of
// its own must move most of them there, and come back once the refusals have ended.
func TestPlainTargetThatRefusesGetsLess(t *testing.T) {
	f := New("a")
	f.SetServices(map[string]route.Service{"plain": {Name: "plain"}})
	f.UpdateTargets([]registry.Target{
		{ID: "near", Service: "plain", AvailabilityZone: "a", Address: "10.0.0.1:80", Slots: 6},
		{ID: "far", Service: "plain", AvailabilityZone: "b", Address: "10.0.0.2:80", Slots: 6},
	}, false, start)
	now := start
	send := func(requests int, refusedAtNear func(i int) bool) (near int) {
		for i := range requests {
			now = now.Add(300 * time.Millisecond)
			req := &request.Request{ID: "r"}
			choice, ok := f.Choose(Query{Service: "plain", Request: req}, now)
			if !ok {
				t.Fatal("no target")
			}
			a := f.Assign(choice, req, now)
			if choice.Target.ID == "near" {
				near++
				if refusedAtNear(i) {
					a.End(Refused, now)
					continue
				}
			}
			a.Start(now.Add(60 * time.Millisecond))
			a.End(Served, now.Add(60*time.Millisecond))
		}
		return near
	}
	never := func(int) bool { return false }
	send(10, never)
	if near := send(20, never); near < 18 {
		t.Errorf("%d of 20 requests went to the near target, want nearly all", near)
	}
	if near := send(40, func(i int) bool { return i%2 == 0 }); near > 16 {
		t.Errorf("%d of 40 requests went to the near target while it refused half of them, want few", near)
	}
	if near := send(40, never); near < 20 {
		t.Errorf("%d of 40 requests went to the near target after its refusals, want most", near)
	}
}

// TestSlowPlainTargetIsAskedAgain guards against a service that is refused for good: the answers of its only target took longer than any caller waits, so that no
// request is sent that would show that it is fast again.
func TestSlowPlainTargetIsAskedAgain(t *testing.T) {
	const slow, fast, patience = 10 * time.Second, 20 * time.Millisecond, 500 * time.Millisecond
	f := New("a")
	f.SetServices(map[string]route.Service{"plain": {Name: "plain"}})
	f.UpdateTargets([]registry.Target{{ID: "only", Service: "plain", AvailabilityZone: "a", Address: "10.0.0.1:80", Slots: 6}}, false, start)
	req := &request.Request{ID: "r"}
	answer := func(now time.Time, took time.Duration) {
		choice, ok := f.Choose(Query{Service: "plain", Request: req}, now)
		if !ok {
			t.Fatal("no target")
		}
		a := f.Assign(choice, req, now)
		a.Start(now.Add(took))
		a.End(Served, now.Add(took))
	}
	expected := func(now time.Time) time.Duration {
		choice, _ := f.Choose(Query{Service: "plain", Request: req}, now)
		return choice.Expected
	}
	for range 20 {
		answer(start, slow)
	}
	now := start.Add(slow)
	if got := expected(now); got < patience {
		t.Fatalf("%s expected of a target that is slow", got)
	}
	now = now.Add(10 * time.Second)
	if got := expected(now); got > patience {
		t.Errorf("%s expected of a target that has not been asked for 10 s, want less than %s", got, patience)
	}
	answer(now, fast)
	if got := expected(now.Add(fast)); got > patience {
		t.Errorf("%s expected after a fast answer, want less than %s", got, patience)
	}
}

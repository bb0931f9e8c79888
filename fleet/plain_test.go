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

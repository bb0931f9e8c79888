package fleet

import (
	"testing"
	"time"

	"gypsumbank/notice"
	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
)

// newPlainFleet returns a fleet with plain targets, the first in the gateway's own zone, and an agent that tells of the gateways.
func newPlainFleet(gateways int, ids ...string) *Fleet {
	f := New("a")
	f.SetServices(map[string]route.Service{"plain": {Name: "plain"}, service: {Name: service, Engine: &route.Engine{}}})
	targets := []registry.Target{{ID: "engine", Born: 1, Service: service, AvailabilityZone: "a", Address: "10.0.9.1:80", Slots: 4}}
	for i, id := range ids {
		targets = append(targets, registry.Target{ID: id, Born: 1, Service: "plain", AvailabilityZone: string(rune('a' + i)), Address: "10.0.0.1:80", Slots: 8})
	}
	f.UpdateTargets(targets, false, start)
	f.Observe("engine", Observation{Report: registry.Report{Born: 1}, Watchers: gateways}, start)
	return f
}

var plainQuery = Query{Service: "plain", Request: &request.Request{ID: "r"}}

// sendOne chooses a target and sends a request there if there is a turn; it returns the target's id, or an empty string.
func sendOne(t *testing.T, f *Fleet, limits map[string]registry.RequestLimit, now time.Time) string {
	t.Helper()
	choice, ok := f.Choose(plainQuery, now)
	if !ok {
		t.Fatal("no target")
	}
	if !choice.HasRoom || !f.TakeTurn(choice, now) {
		return ""
	}
	a := f.Assign(choice, plainQuery.Request, now)
	a.Start(now.Add(10 * time.Millisecond))
	a.RecordNotice(registry.Notice{Limit: limits[choice.Target.ID]}, now.Add(10*time.Millisecond))
	a.End(Served, now.Add(20*time.Millisecond))
	return choice.Target.ID
}

// TestLimitedTargetGetsItsPartAndOthersTheRest sends many requests a second while one target of a service, or each, names a
// limit, and counts where they go.
func TestLimitedTargetGetsItsPartAndOthersTheRest(t *testing.T) {
	one := registry.RequestLimit{Named: true, PerSecond: 1}
	cases := map[string]struct {
		gateways   int
		limits     map[string]registry.RequestLimit
		minA, maxA int // requests at target a in 20 s
		minB       int
	}{
		"one of two":                 {gateways: 4, limits: map[string]registry.RequestLimit{"a": one}, minA: 3, maxA: 6, minB: 380},
		"one of two, single gateway": {gateways: 1, limits: map[string]registry.RequestLimit{"a": one}, minA: 12, maxA: 20, minB: 360},
		"both":                       {gateways: 4, limits: map[string]registry.RequestLimit{"a": one, "b": one}, minA: 3, maxA: 6, minB: 3},
		"many gateways":              {gateways: 103, limits: map[string]registry.RequestLimit{"a": one}, minA: 1, maxA: 2, minB: 390},
		"takes nothing":              {gateways: 4, limits: map[string]registry.RequestLimit{"a": {Named: true}}, minA: 1, maxA: 2, minB: 390},
		"none":                       {gateways: 4, maxA: 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newPlainFleet(c.gateways, "a", "b")
			sent := map[string]int{}
			for i := range 400 {
				sent[sendOne(t, f, c.limits, start.Add(time.Duration(i)*50*time.Millisecond))]++
			}
			if sent["a"] < c.minA || sent["a"] > c.maxA || sent["b"] < c.minB {
				t.Errorf("sent %v, want %d to %d to a and %d or more to b", sent, c.minA, c.maxA, c.minB)
			}
		})
	}
}

// TestOneTurnIsTakenOnce has two requests choose the same target in the same moment although its limit allows one.
func TestOneTurnIsTakenOnce(t *testing.T) {
	f := newPlainFleet(4, "a")
	limits := map[string]registry.RequestLimit{"a": {Named: true, PerSecond: 1}}
	sendOne(t, f, limits, start)
	now := start.Add(10 * time.Second)
	first, _ := f.Choose(plainQuery, now)
	second, _ := f.Choose(plainQuery, now)
	if !first.HasRoom || !second.HasRoom {
		t.Fatal("no turn 10 s after the last request")
	}
	if !f.TakeTurn(first, now) || f.TakeTurn(second, now) {
		t.Error("want the turn to be taken by one of the two")
	}
	choice, _ := f.Choose(plainQuery, now)
	if choice.HasRoom || choice.Expected < 4*time.Second || choice.SlotInterval < 4*time.Second {
		t.Errorf("choice %+v, want a wait for the next turn", choice)
	}
}

// TestLimitEndsWithAnAnswerToALaterRequest has answers overtake each other around the time at which a target names a limit.
func TestLimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	f := newPlainFleet(4, "a")
	limited, none := registry.RequestLimit{Named: true, PerSecond: 1}, registry.RequestLimit{}
	assign := func(at time.Time) *Assignment {
		choice, _ := f.Choose(plainQuery, at)
		return f.Assign(choice, plainQuery.Request, at)
	}
	early, naming := assign(start), assign(start.Add(10*time.Millisecond))
	steps := []struct {
		assignment *Assignment
		limit      registry.RequestLimit
		want       notice.LimitChange
	}{
		{naming, limited, notice.LimitSet},
		{early, none, notice.LimitSame},
		{assign(start.Add(2 * time.Second)), limited, notice.LimitSame},
		{assign(start.Add(3 * time.Second)), registry.RequestLimit{Named: true, PerSecond: 2}, notice.LimitSet},
		{assign(start.Add(9 * time.Second)), none, notice.LimitLifted},
		{assign(start.Add(9 * time.Second)), none, notice.LimitSame},
	}
	for i, step := range steps {
		if got := step.assignment.RecordNotice(registry.Notice{Limit: step.limit}, start.Add(time.Duration(i+1)*time.Second)).Limit; got != step.want {
			t.Errorf("step %d: change %d, want %d", i, got, step.want)
		}
	}
	if choice, _ := f.Choose(plainQuery, start.Add(10*time.Second)); !choice.HasRoom {
		t.Error("the target is still limited")
	}
}

// TestEngineThatSaysThatItLeavesGetsNeitherRequestsNorModels has an engine say in an answer that it leaves. Reads of the registry and
// reports of its agent that do not know it change nothing; its next run is used again.
func TestEngineThatSaysThatItLeavesGetsNeitherRequestsNorModels(t *testing.T) {
	f := newTestFleet([]string{"m", "x1", "x2"}, nil)
	now := start
	demand := func() {
		for range 40 {
			now = now.Add(15 * time.Millisecond)
			f.RecordDemand(service, longRequest("m", "s"), now)
			f.RecordDemand(service, longRequest("cold", "s"), now)
		}
	}
	query := Query{Service: service, Request: shortRequest("m")}
	choice, _ := f.Choose(query, now)
	a := f.Assign(choice, query.Request, now)
	if change := a.RecordNotice(registry.Notice{Leaving: true}, now); choice.Target.ID != "e0" || !change.Leaving {
		t.Fatalf("target %s, change %+v", choice.Target.ID, change)
	}
	f.UpdateTargets(f.Targets(), false, now)
	demand()
	f.Observe("e0", newObservation(registry.Report{Born: 1, Models: []registry.Model{{Name: "m"}}}), now)
	if choice, ok := f.Choose(query, now); ok && choice.Target.ID == "e0" {
		t.Error("the leaving engine was chosen")
	}
	if placement, ok := f.Plan(service, now); ok && placement.Target.ID == "e0" {
		t.Errorf("%s is to be loaded on the leaving engine", placement.Model)
	}
	f.Observe("e0", newObservation(registry.Report{Born: 2, Models: []registry.Model{{Name: "m"}}}), now)
	if choice, ok := f.Choose(query, now); !ok || choice.Target.ID != "e0" {
		t.Errorf("choice %+v, want the next run of the engine", choice)
	}
}

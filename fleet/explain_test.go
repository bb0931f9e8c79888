package fleet

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/spread"
)

// newTwinFleet returns a view of the targets a and b of an engine service and of a plain one, which differ in nothing but their ids. Both
// engines hold the model m1.
func newTwinFleet(gateways int) *Fleet {
	f := New("a")
	f.SetServices(map[string]route.Service{"plain": {Name: "plain"}, "llm": {Name: "llm", Engine: &route.Engine{Models: map[string]route.Model{"m1": {Name: "m1"}}}}})
	var targets []registry.Target
	for i, id := range []string{"a", "b", "plain-a", "plain-b"} {
		target := registry.Target{ID: id, Born: 1, Service: "plain", AvailabilityZone: "a", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: 8, SoftwareVersion: "v1"}
		if i < 2 {
			target.Service, target.Models = "llm", []registry.Model{{Name: "m1", Adapters: []string{"x"}}}
		}
		targets = append(targets, target)
	}
	f.UpdateTargets(targets, false, start)
	for _, target := range targets[:2] {
		f.Observe(target.ID, Observation{Report: registry.Report{Born: 1, Models: target.Models}, Watchers: gateways}, start)
	}
	return f
}

// TestEachOmissionIsNamed guards against a target that is left out of a choice and for which the explanation names no reason or a wrong one.
func TestEachOmissionIsNamed(t *testing.T) {
	version := registry.SoftwareVersion("v1")
	cases := map[Omission]struct {
		gateways int
		change   func(f *Fleet, b *targetState, query *Query)
	}{
		OmittedLeaving:      {4, func(_ *Fleet, b *targetState, _ *Query) { b.Draining = true }},
		OmittedReplaced:     {4, func(f *Fleet, b *targetState, _ *Query) { f.mu.Unlock(); f.MarkReplaced(b.ID); f.mu.Lock() }},
		OmittedOtherVersion: {4, func(_ *Fleet, b *targetState, q *Query) { b.SoftwareVersion, q.SoftwareVersion = "v2", &version }},
		OmittedVersionNotStored: {4, func(f *Fleet, b *targetState, q *Query) {
			b.SoftwareVersion, q.BeginsResumable = "v2", true
			f.storedVersions.allows = func(_ string, v registry.SoftwareVersion) bool { return v == "v1" }
		}},
		OmittedBackingOff: {4, func(_ *Fleet, b *targetState, _ *Query) { b.backoffUntil = start.Add(time.Second) }},
		OmittedLacksModel: {4, func(_ *Fleet, b *targetState, _ *Query) { b.report.Models = nil }},
		OmittedExcluded:   {4, func(_ *Fleet, b *targetState, q *Query) { q.Exclude = map[string]bool{b.ID: true} }},
		OmittedNoTurn: {4, func(f *Fleet, b *targetState, _ *Query) {
			f.notices.Record(b.Target, registry.Notice{Rest: time.Second}, start, 4, start)
		}},
		OmittedFull: {30, func(_ *Fleet, b *targetState, _ *Query) { b.fullUntil = start.Add(time.Second) }},
	}
	for why, c := range cases {
		t.Run(string(why), func(t *testing.T) {
			f := newTwinFleet(c.gateways)
			query := Query{Service: "llm", Request: &request.Request{ID: "r", Model: "m1", Adapter: "x", PromptTokens: 100}}
			f.mu.Lock()
			c.change(f, f.states["b"], &query)
			f.mu.Unlock()
			e := f.Explain(query, start)
			if len(e.Candidates) != 1 || e.Candidates[0].Choice.Target.ID != "a" || e.Candidates[0].Share != 1 {
				t.Errorf("candidates %+v, want a alone", e.Candidates)
			}
			if len(e.Omitted) != 1 || e.Omitted[0].Target.ID != "b" || e.Omitted[0].Why != why {
				t.Errorf("left out %+v, want b as %s", e.Omitted, why)
			}
			if wait := e.Omitted[0].Wait; (wait > 0) != (why == OmittedNoTurn) {
				t.Errorf("wait of %s", wait)
			}
		})
	}
}

// drawnTarget is what a random target of an explained choice is like.
type drawnTarget struct {
	zone, version                     string
	inflight, others, running, kvUsed int
	draining, replaced, backingOff    bool
	connected                         bool
	holds, adapter, cold, full, rests bool
	tookMs, pendingMs, turnMs         float64
	failed                            int
	reportAge                         time.Duration
	parts                             int
}

// drawTargets draws some targets and the number of gateways.
func drawTargets(t *rapid.T) (targets []drawnTarget, gateways int) {
	target := rapid.Custom(func(t *rapid.T) drawnTarget {
		oneIn := func(n int, label string) bool { return rapid.IntRange(1, n).Draw(t, label) == 1 }
		return drawnTarget{
			zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
			inflight: rapid.IntRange(0, 9).Draw(t, "inflight"), others: rapid.IntRange(0, 9).Draw(t, "others"), running: rapid.IntRange(0, 9).Draw(t, "running"), kvUsed: rapid.IntRange(0, 10000).Draw(t, "kv"),
			draining: oneIn(8, "draining"), replaced: oneIn(8, "replaced"), backingOff: oneIn(5, "backing off"), connected: oneIn(2, "connected"),
			holds: !oneIn(4, "lacks"), adapter: !oneIn(4, "lacks adapter"), cold: oneIn(5, "cold"), full: oneIn(5, "full"), rests: oneIn(5, "rests"),
			tookMs: rapid.Float64Range(0, 1000).Draw(t, "took"), pendingMs: rapid.Float64Range(0, 500).Draw(t, "pending"), turnMs: rapid.Float64Range(0, 500).Draw(t, "turn"),
			failed: rapid.IntRange(0, 3).Draw(t, "failed"), reportAge: time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond, parts: rapid.IntRange(0, 2).Draw(t, "parts"),
		}
	})
	return rapid.SliceOfN(target, 1, 8).Draw(t, "targets"), rapid.SampledFrom([]int{1, 4, 7, 30}).Draw(t, "gateways")
}

// newDrawnFleet returns a view of targets of an engine or a plain service. Equal arguments give equal views.
func newDrawnFleet(drawn []drawnTarget, gateways int, service string, query Query) *Fleet {
	f := New("a")
	f.SetServices(map[string]route.Service{"plain": {Name: "plain"}, "llm": {Name: "llm", Engine: &route.Engine{Models: map[string]route.Model{"m1": {Name: "m1"}}}}})
	var targets []registry.Target
	for i, d := range drawn {
		target := registry.Target{
			ID: fmt.Sprint("t", i), Born: 1, Service: service, AvailabilityZone: d.zone, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: 8,
			SoftwareVersion: registry.SoftwareVersion(d.version), Draining: d.draining,
		}
		if d.cold {
			target.ColdRemaining = time.Second
		}
		targets = append(targets, target)
	}
	connected := map[string]bool{}
	for i, d := range drawn {
		connected[targets[i].Address] = d.connected
	}
	f.SetConnections(func(address string, _ bool) bool { return connected[address] })
	f.UpdateTargets(targets, false, start)
	hashes := query.Request.PrefixHashes()
	for i, d := range drawn {
		var models []registry.Model
		if d.holds {
			models = []registry.Model{{Name: "m1"}}
		}
		if d.holds && d.adapter {
			models[0].Adapters = []string{"x"}
		}
		s := f.states[targets[i].ID]
		at := start.Add(-d.reportAge)
		if service == "llm" {
			f.Observe(s.ID, Observation{Report: registry.Report{Born: 1, Models: models, Running: d.running, KVUsed: d.kvUsed, KVTotal: 10000}, Watchers: gateways, Requests: d.inflight + d.others, TurnWaitMs: d.turnMs, QueuedPrefillMs: d.turnMs + d.pendingMs}, at)
		}
		s.watchers, s.inflight, s.replaced, s.latencyMs = gateways, d.inflight, d.replaced, d.tookMs
		s.performance.addFirstByte(d.tookMs, 100, at)
		for range d.failed {
			s.performance.addResult(Failed, at)
			s.performance.addResult(Refused, at)
		}
		if d.backingOff {
			s.backoffUntil = start.Add(time.Second)
		}
		if d.full {
			s.fullUntil = start.Add(time.Second)
		}
		if d.rests {
			f.notices.Record(s.Target, registry.Notice{Rest: time.Second}, at, gateways, start)
		}
		for _, hash := range hashes[:min(d.parts, len(hashes))] {
			s.promptCache.add(PromptPart{Hash: hash, Tokens: 1000})
		}
	}
	return f
}

// drawQuery draws a request for the model, or for a plain service.
func drawQuery(t *rapid.T) Query {
	query := Query{Service: "plain", Request: &request.Request{ID: "r"}}
	if rapid.Bool().Draw(t, "engine") {
		query.Service = "llm"
		query.Request.Model, query.Request.Adapter = "m1", rapid.SampledFrom([]string{"", "x"}).Draw(t, "adapter")
		query.Request.PromptTokens = rapid.SampledFrom([]int{100, 2600, 9000}).Draw(t, "tokens")
		query.Request.Parts = []request.Part{{ID: "p", Tokens: 1000}, {ID: "q", Tokens: 1000}, {ID: "r", Tokens: 600}}
	}
	if rapid.Bool().Draw(t, "bound") {
		version := registry.SoftwareVersion("v1")
		query.SoftwareVersion, query.LoadsModel = &version, true
	}
	query.Exclude = map[string]bool{fmt.Sprint("t", rapid.IntRange(0, 20).Draw(t, "excluded")): true}
	return query
}

// TestExplainedChoiceIsTheOneOfChoose guards against an explanation that differs from the decision: in the target, in its estimates, in the
// costs that are compared or in the shares of a draw.
func TestExplainedChoiceIsTheOneOfChoose(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		drawn, gateways := drawTargets(t)
		query := drawQuery(t)
		f := newDrawnFleet(drawn, gateways, query.Service, query)
		var compared []spread.Candidate
		f.chooseAmong = func(candidates []spread.Candidate, draw float64) int {
			compared = candidates
			return spread.Choose(candidates, draw)
		}
		e := f.Explain(query, start)
		if compared != nil {
			t.Fatal("the explanation has drawn a choice")
		}
		choice, ok := f.Choose(query, start)
		if ok != (e.LacksModel || len(e.Candidates) > 0) || choice.LacksModel != e.LacksModel {
			t.Fatalf("chosen %v %+v, explained %+v", ok, choice, e)
		}
		if len(e.Candidates)+len(e.Omitted) != len(drawn) {
			t.Fatalf("%d candidates and %d left out of %d", len(e.Candidates), len(e.Omitted), len(drawn))
		}
		for _, o := range e.Omitted {
			if o.Why == OmittedOther {
				t.Fatalf("no reason for %+v", o)
			}
		}
		if e.Draws != (compared != nil) || len(e.Candidates) == 0 {
			if e.Draws != (compared != nil) {
				t.Fatalf("explained as drawn: %v, drawn: %v", e.Draws, compared != nil)
			}
			return
		}
		sum := 0.0
		found := false
		for _, c := range e.Candidates {
			sum += c.Share
			if c.Choice.Target.ID != choice.Target.ID {
				continue
			}
			found = c.Share > 0
			choice.Rank = 0
			if !reflect.DeepEqual(c.Choice, choice) {
				t.Fatalf("chosen %+v, explained %+v", choice, c.Choice)
			}
		}
		if !found || math.Abs(sum-1) > 1e-9 {
			t.Fatalf("chosen %s, explained %+v", choice.Target.ID, e.Candidates)
		}
		if e.Draws {
			checkComparedCosts(t, e.Candidates, compared)
			return
		}
		for _, c := range e.Candidates[1:] {
			if c.Costs.Total() < e.Candidates[0].Costs.Total() {
				t.Fatalf("%s costs less than the choice: %+v", c.Choice.Target.ID, e.Candidates)
			}
		}
	})
}

// checkComparedCosts checks that the explained costs are those that the draw was made by.
func checkComparedCosts(t *rapid.T, explained []Candidate, compared []spread.Candidate) {
	chances := spread.Chances(compared)
	for _, c := range explained {
		matches := false
		for i := range compared {
			matches = matches || (math.Abs(compared[i].CostMs-c.Costs.Total()) < 1e-6 && chances[i] == c.Share)
		}
		if !matches {
			t.Fatalf("explained %+v, compared %+v", c, compared)
		}
	}
	if len(explained) != len(compared) {
		t.Fatalf("%d explained of %d", len(explained), len(compared))
	}
}

// TestSharesOfAnExplanationAreThoseOfChoices guards against shares that differ from how often Choose takes a target.
func TestSharesOfAnExplanationAreThoseOfChoices(t *testing.T) {
	const choices = 20000
	f := newTwinFleet(30)
	f.states["b"].inflight = 1
	f.states["a"].othersInflight, f.states["b"].othersInflight = 20, 20
	now := start.Add(300 * time.Millisecond)
	query := Query{Service: "llm", Request: &request.Request{ID: "r", Model: "m1", PromptTokens: 100}}
	e := f.Explain(query, now)
	counts := map[string]float64{}
	for range choices {
		choice, _ := f.Choose(query, now)
		counts[choice.Target.ID]++
	}
	if len(e.Candidates) != 2 || e.Candidates[1].Share < 0.05 {
		t.Fatalf("explained %+v, want shares of both", e.Candidates)
	}
	for _, c := range e.Candidates {
		if share := counts[c.Choice.Target.ID] / choices; math.Abs(share-c.Share) > 0.02 {
			t.Errorf("%s has %.3f of the choices, explained %.3f", c.Choice.Target.ID, share, c.Share)
		}
	}
}

// TestExplainChangesNothing guards against an explanation that changes what later choices or plans are made by.
func TestExplainChangesNothing(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		drawn, gateways := drawTargets(t)
		query := drawQuery(t)
		explained, untouched := newDrawnFleet(drawn, gateways, query.Service, query), newDrawnFleet(drawn, gateways, query.Service, query)
		for i := range 3 {
			explained.Explain(query, start.Add(time.Duration(i)*time.Second))
		}
		explained.chooseAmong, untouched.chooseAmong = nil, nil // functions are never equal
		explained.isConnected, untouched.isConnected = nil, nil
		if !reflect.DeepEqual(explained, untouched) {
			t.Fatalf("the view differs after an explanation: %+v, before %+v", explained, untouched)
		}
	})
}

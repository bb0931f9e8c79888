package fleet

import (
	"fmt"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
)

// newBenchFleet returns a view of the given numbers of engines and models. Each engine holds three models, and each
// model is in demand.
func newBenchFleet(engines, models int) (*Fleet, time.Time) {
	f := New("a")
	engine := &route.Engine{Models: map[string]route.Model{}, WeightMemoryMB: 230000, AdapterSlots: 8, Slots: 64}
	for i := range models {
		name := fmt.Sprint("m", i)
		engine.Models[name] = route.Model{Name: name, WeightMB: 72700, AdapterMB: 66, Adapters: 40}
	}
	f.SetServices(map[string]route.Service{"llm": {Name: "llm", Engine: engine}})
	now := time.Unix(1000, 0)
	var targets []registry.Target
	for i := range engines {
		t := registry.Target{ID: fmt.Sprint("t", i), Service: "llm", Address: "10.0.0.1:80", AvailabilityZone: "a", Slots: 64}
		for j := range 3 {
			t.Models = append(t.Models, registry.Model{Name: fmt.Sprint("m", (i*3+j)%models), Adapters: []string{"a1", "a2"}})
		}
		targets = append(targets, t)
	}
	f.UpdateTargets(targets, false, now)
	for _, t := range targets {
		f.Observe(t.ID, Observation{Report: registry.Report{Models: t.Models, KVTotal: 270000}, Watchers: 4, PlannedHere: true}, now)
	}
	for i := range models {
		f.RecordDemand("llm", benchRequest(i), now)
	}
	return f, now
}

func benchRequest(i int) *request.Request {
	return &request.Request{
		ID: "r", Model: fmt.Sprint("m", i), Adapter: "a1", PromptTokens: 9000, MaxOutputTokens: 100,
		Parts: []request.Part{{ID: "aa", Tokens: 2500}, {ID: "bb", Tokens: 3700}, {ID: fmt.Sprint(i), Tokens: 2800}},
	}
}

func BenchmarkChoose(b *testing.B) {
	f, now := newBenchFleet(18, 34)
	query := Query{Service: "llm", Request: benchRequest(1)}
	for b.Loop() {
		f.Choose(query, now)
	}
}

// BenchmarkChooseAmongManyHolders has a model with 26 holders, at few gateways and at as many as spread their choices.
func BenchmarkChooseAmongManyHolders(b *testing.B) {
	for name, gateways := range map[string]int{"4 gateways": 4, "30 gateways": 30} {
		b.Run(name, func(b *testing.B) {
			f, now := newBenchFleet(52, 6)
			for _, s := range f.states {
				s.watchers = gateways
			}
			query := Query{Service: "llm", Request: benchRequest(1)}
			for b.Loop() {
				f.Choose(query, now)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	f, now := newBenchFleet(18, 34)
	for b.Loop() {
		f.Plan("llm", now)
	}
}

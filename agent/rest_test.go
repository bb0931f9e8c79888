package agent

import (
	"context"
	"testing"
	"time"

	"gypsumbank/settings"
	"gypsumbank/standin/site"
)

// TestEngineThatWantsARestIsNotCalled guards against reports, health checks and orders to an engine that has refused one with the time
// for which it wants no calls. It is asked again after that.
func TestEngineThatWantsARestIsNotCalled(t *testing.T) {
	const (
		rest     = 1200 * time.Millisecond
		reaction = 500 * time.Millisecond // after a refusal, from which on allowed calls may still come
		allowed  = 2
	)
	store := site.NewStore()
	defer store.Close()
	engine := site.NewTarget("e1", site.EventStream(3, 0, 0))
	defer engine.Close()
	engine.Load("m1")
	store.Put("op", "config", map[string]any{"version": 1, "services": []any{map[string]any{
		"name": "llm", "healthPath": "/healthz", "engine": map[string]any{"slots": 8, "weightsMb": 100.0, "models": []any{map[string]any{"name": "m1", "weightsMb": 50.0}}},
	}}})
	store.Put("servers", "e1", engine.RegistryEntry("llm", "ready"))
	a := New(&settings.Config{
		Node:  settings.Node{Name: "agent-1"},
		Agent: settings.Agent{Listen: freeAddress(t), Target: engine.Address(), Service: "llm"},
		Store: settings.Store{Address: store.Address()},
	}, testLogger(t))
	ctx, stop := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- a.Run(ctx) }()
	defer func() {
		stop()
		if err := <-result; err != nil {
			t.Error(err)
		}
	}()
	time.Sleep(time.Second)
	began := time.Now()
	engine.SetRest(rest)
	time.Sleep(3 * rest)
	engine.SetRest(0)
	ended := time.Now()
	time.Sleep(rest + time.Second)
	calls := engine.ControlCalls()
	refusals, after := 0, 0
	for i, refused := range calls {
		switch {
		case refused.After(ended):
			after++
		case refused.After(began):
			refusals++
			late := 0
			for _, at := range calls[i+1:] {
				if since := at.Sub(refused); since > reaction && since < rest {
					late++
				}
			}
			if late > allowed {
				t.Errorf("%d calls within the rest of %s", late, rest)
			}
		}
	}
	if refusals == 0 || after < 5 {
		t.Errorf("%d refusals, %d calls after the rests, want some and at least 5", refusals, after)
	}
}

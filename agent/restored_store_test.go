package agent

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/request"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
)

// TestRowsAreWrittenAgainAfterARestore guards against rows that nobody writes again once the store has come back from a copy without
// them: the holder of an engine's orders, the models that it holds and the blocked contents. The agent learns of it from a gateway.
func TestRowsAreWrittenAgainAfterARestore(t *testing.T) {
	a, store, engine, copied := startTestAgent(t)
	content := request.Content{Hash: 77}
	for run := range uint64(3) {
		a.watchers.quarantine.Blame(run, []request.Content{content})
		time.Sleep(300 * time.Millisecond)
	}
	a.watchers.requestBlocklist()
	rows := map[string][3]string{
		"fence":    {"order-holders", engine.Address(), "holder"},
		`"m1"`:     {"inventories", engine.Address(), "models"},
		`"blocked`: {"quarantine", "", "blocked"},
	}
	waitForRows(t, store, rows, "its start")
	store.Restore(copied, "op", "servers")
	a.observeEpoch(2, "gateway-1")
	waitForRows(t, store, rows, "the restore")
}

// TestRoutesOfARestoredStoreAreNotOlder guards against an agent that takes up the routes of an older copy, from which the store has come
// back, until the operator has written the newer ones again: sizes and lists of models go back.
func TestRoutesOfARestoredStoreAreNotOlder(t *testing.T) {
	store := site.NewStore()
	t.Cleanup(store.Close)
	routes := func(version int) map[string]any {
		return map[string]any{"version": version, "services": []any{map[string]any{"name": "llm", "healthPath": "/healthz"}}}
	}
	a := New(&settings.Config{
		Node: settings.Node{Name: "agent-1"}, Agent: settings.Agent{Target: "127.0.0.1:1", Service: "llm"}, Store: settings.Store{Address: store.Address()},
	}, testLogger(t))
	a.watchers.requestRelay()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.followRoutes(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	store.Put("op", "config", routes(4))
	if got := (<-a.routingTables).Version(); got != 4 {
		t.Fatalf("version %d is in force, want 4", got)
	}
	copied := store.Snapshot()
	store.Put("op", "config", routes(7))
	if got := (<-a.routingTables).Version(); got != 7 {
		t.Fatalf("version %d is in force, want 7", got)
	}
	store.Restore(copied)
	time.Sleep(1500 * time.Millisecond) // until it has read the copy
	store.Put("op", "config", routes(9))
	if got := (<-a.routingTables).Version(); got != 9 {
		t.Errorf("version %d came after 7, want 9", got)
	}
}

// startTestAgent runs an agent until the end of the test, before an engine that holds a model, and returns it with its store and engine and
// what the store held before.
func startTestAgent(t *testing.T) (*Agent, *site.Store, *site.Target, site.Snapshot) {
	t.Helper()
	store := site.NewStore()
	t.Cleanup(store.Close)
	engine := site.NewTarget("e1", site.EventStream(3, 0, 0))
	t.Cleanup(engine.Close)
	engine.Load("m1")
	store.Put("op", "config", map[string]any{"version": 1, "services": []any{map[string]any{
		"name": "llm", "healthPath": "/healthz", "engine": map[string]any{"slots": 8, "weightsMb": 100.0, "models": []any{map[string]any{"name": "m1", "weightsMb": 50.0}}},
	}}})
	store.Put("servers", "e1", engine.RegistryEntry("llm", "ready"))
	before := store.Snapshot()
	a := New(&settings.Config{
		Node:  settings.Node{Name: "agent-1"},
		Agent: settings.Agent{Listen: freeAddress(t), Target: engine.Address(), Service: "llm"},
		Store: settings.Store{Address: store.Address()},
	}, testLogger(t))
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- a.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
	return a, store, engine, before
}

// testLogger returns a logger whose lines are shown if the test fails.
func testLogger(t *testing.T) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(t.Output())
	return log.WithField("test", t.Name())
}

// rowsTimeout allows for one write that fails and is tried again after the next delay.
const rowsTimeout = 16 * time.Second

// waitForRows waits until the store has rows, each with a text in its value.
func waitForRows(t *testing.T, store *site.Store, rows map[string][3]string, since string) {
	t.Helper()
	deadline := time.Now().Add(rowsTimeout)
	for text, key := range rows {
		for {
			row, ok := store.Row(key[0], key[1], key[2])
			if ok && strings.Contains(string(row.Value), text) {
				break
			}
			if time.Now().After(deadline) {
				t.Errorf("row of %s %s after %s: %q, want one with %s", key[0], rowsTimeout, since, row.Value, text)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

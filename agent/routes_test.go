package agent

import (
	"context"
	"testing"
	"time"

	"gypsumbank/platform"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
	"gypsumbank/wire"
)

// TestRoutesHandedOutOnlyMoveOn guards against an agent that hands out routes of an older copy from which the store has come back, routes
// that the gateway has, or another document than the operator wrote.
func TestRoutesHandedOutOnlyMoveOn(t *testing.T) {
	store := site.NewStore()
	t.Cleanup(store.Close)
	routes := func(version int, key string) map[string]any {
		return map[string]any{"version": version, "tenants": []any{map[string]any{"name": "acme", "apiKeys": []any{key}}}}
	}
	a := New(&settings.Config{
		Node: settings.Node{Name: "agent-1"}, Agent: settings.Agent{Target: "127.0.0.1:1", Service: "llm"}, Store: settings.Store{Address: store.Address()},
	}, testLogger(t))
	server := &agentServer{agent: a}
	ask := func(known int64) *wire.RoutesReply {
		t.Helper()
		reply, err := server.Routes(t.Context(), &wire.RoutesRequest{KnownVersion: known})
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if reply := ask(0); reply.GetVersion() != 0 || len(reply.GetDocument()) > 0 {
		t.Errorf("an agent that has read nothing hands out version %d", reply.GetVersion())
	}
	a.watchers.requestRelay()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.followRoutes(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	store.Put("op", "config", routes(4, "key-4"))
	<-a.routingTables
	copied := store.Snapshot()
	store.Put("op", "config", routes(7, "key-7"))
	<-a.routingTables
	check := func(when string, known, want int64) {
		t.Helper()
		reply := ask(known)
		if reply.GetVersion() != want {
			t.Errorf("%s: version %d is handed out to a gateway with version %d, want %d", when, reply.GetVersion(), known, want)
		}
		if want == 0 {
			return
		}
		table, err := platform.DecodeRoutes(reply.GetDocument())
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := table.Authenticate("key-7"); table.Version() != want || !ok {
			t.Errorf("%s: the document is not that of version %d", when, want)
		}
	}
	check("after the change", 4, 7)
	check("after the change", 7, 0)
	check("after the change", 9, 0)
	store.Restore(copied)
	time.Sleep(1500 * time.Millisecond) // until it has read the copy
	check("after the restore", 3, 7)
	check("after the restore", 7, 0)
}

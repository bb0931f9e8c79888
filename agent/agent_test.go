package agent

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/deployment"
	"gypsumbank/dialer"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
	"gypsumbank/wire"
)

// discardLogger returns a logger without output.
func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("test", "agent")
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := deployment.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestRunReturnsWhileGatewaysWatch guards against open Watch streams that keep Run from returning when its context ends.
func TestRunReturnsWhileGatewaysWatch(t *testing.T) {
	address := freeAddress(t)
	config := &settings.Config{
		Node:  settings.Node{Name: "agent-1"},
		Agent: settings.Agent{Listen: address, Target: freeAddress(t), Service: "llm"},
		Store: settings.Store{Address: freeAddress(t)},
	}
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- New(config, discardLogger()).Run(ctx) }()

	d := dialer.New(nil)
	defer d.Close()
	watchCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	openWatch := func() wire.DRPCAgent_WatchClient {
		for range 100 {
			conn, err := d.Dial(watchCtx, address)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			stream, err := wire.NewDRPCAgentClient(conn).Watch(watchCtx)
			if err != nil {
				t.Fatal(err)
			}
			return stream
		}
		t.Fatal("agent did not accept a connection within 100 attempts")
		return nil
	}
	for range 4 {
		stream := openWatch()
		if err := stream.Send(&wire.WatcherUpdate{Node: "gateway-1"}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	stop()
	select {
	case err := <-result:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("Run has not returned 3 s after its context ended")
	}
}

// TestRoutesPublishedAfterTheStart starts an agent before any routes are published. It must have them soon after they are:
// without them it can neither identify its engine nor report on it.
func TestRoutesPublishedAfterTheStart(t *testing.T) {
	store := site.NewStore()
	defer store.Close()
	config := &settings.Config{
		Node:  settings.Node{Name: "agent-1"},
		Agent: settings.Agent{Listen: freeAddress(t), Target: freeAddress(t), Service: "llm"},
		Store: settings.Store{Address: store.Address()},
	}
	agent := New(config, discardLogger())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = agent.followRoutes(ctx) }()
	time.Sleep(300 * time.Millisecond)
	store.Put("op", "config", map[string]any{"version": 3, "routes": []any{}, "services": []any{}, "limits": map[string]any{}})
	select {
	case table := <-agent.routingTables:
		if table.Version() != 3 {
			t.Errorf("routes of version %d, want 3", table.Version())
		}
	case <-time.After(3 * time.Second):
		t.Error("the agent has no routes 3 s after they were published")
	}
}

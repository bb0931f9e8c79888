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
	"gypsumbank/wire"
)

func quiet() *logrus.Entry {
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

func TestStopsWhileGatewaysWatch(t *testing.T) {
	address := freeAddress(t)
	config := &settings.Config{
		Node:  settings.Node{Name: "agent-1"},
		Agent: settings.Agent{Listen: address, Target: freeAddress(t), Service: "llm"},
		Store: settings.Store{Address: freeAddress(t)},
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- New(config, quiet()).Run(ctx) }()

	d := dialer.New(nil)
	defer d.Close()
	watchCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := func() wire.DRPCAgent_WatchClient {
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
		t.Fatal("agent does not listen")
		return nil
	}
	for range 4 {
		stream := watch()
		if err := stream.Send(&wire.WatcherUpdate{Node: "gateway-1"}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("agent still runs 3 s after it was told to stop")
	}
}

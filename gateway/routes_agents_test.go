package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"gypsumbank/route"
	"gypsumbank/rpcserver"
	"gypsumbank/settings"
	"gypsumbank/wire"
)

// routesAgent is an agent that hands out routes as answer says; nil if it knows no such call.
type routesAgent struct {
	wire.DRPCAgentUnimplementedServer
	answer func(ctx context.Context, known int64) (*wire.RoutesReply, error)
}

// Routes returns the answer.
func (a *routesAgent) Routes(ctx context.Context, in *wire.RoutesRequest) (*wire.RoutesReply, error) {
	if a.answer == nil {
		return a.DRPCAgentUnimplementedServer.Routes(ctx, in)
	}
	return a.answer(ctx, in.GetKnownVersion())
}

// startRoutesAgent runs an agent until the end of the test and returns its address.
func startRoutesAgent(t *testing.T, agent *routesAgent) string {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	server := rpcserver.New(nil, log.WithField("test", t.Name()))
	if err := wire.DRPCRegisterAgent(server.Mux(), agent); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return listener.Addr().String()
}

// TestRoutesAreTakenFromTheAgentThatHasThem guards against a gateway that stops at, or is set back by, an agent that does not answer, that
// is of an earlier release, that hands out an older version or a document that can't be read, while another agent has newer routes.
func TestRoutesAreTakenFromTheAgentThatHasThem(t *testing.T) {
	t.Parallel()
	const (
		lastVersion = 12
		inForceIn   = 3 * time.Second
	)
	document := func(version int64) []byte { return fmt.Appendf(nil, `{"version":%d,"tenants":[]}`, version) }
	others := map[string]func(ctx context.Context, known int64) (*wire.RoutesReply, error){
		"does not answer": func(ctx context.Context, _ int64) (*wire.RoutesReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"earlier release": nil,
		"older document": func(_ context.Context, known int64) (*wire.RoutesReply, error) {
			return &wire.RoutesReply{Version: known + 5, Document: document(known - 1)}, nil
		},
		"no document": func(_ context.Context, known int64) (*wire.RoutesReply, error) {
			return &wire.RoutesReply{Version: known + 5, Document: []byte("{")}, nil
		},
		"has restarted": func(context.Context, int64) (*wire.RoutesReply, error) { return &wire.RoutesReply{}, nil },
	}
	for name, answer := range others {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log, _ := logtest.NewNullLogger()
			g := New(&settings.Config{Bounds: settings.Bounds{RetryWindow: time.Second}, Limits: settings.Limits{MemoryMiB: 64}}, log.WithField("test", t.Name()))
			g.installRoutes(route.New(1, route.Limits{}, nil, nil), "store")
			good := startRoutesAgent(t, &routesAgent{answer: func(_ context.Context, known int64) (*wire.RoutesReply, error) {
				if version := g.relay.routesVersion(); version > known {
					return &wire.RoutesReply{Version: version, Document: document(version)}, nil
				}
				return &wire.RoutesReply{}, nil
			}})
			other := startRoutesAgent(t, &routesAgent{answer: answer})
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- g.followRelayedRoutes(ctx) }()
			defer func() {
				stop()
				<-ended
				g.agents.close()
				g.dialer.Close()
			}()
			for version := int64(2); version <= lastVersion; version++ {
				began := time.Now()
				for _, agent := range []string{good, other} {
					g.relay.record(agent, &wire.StoreReads{RoutesVersion: version, Revision: 1, HasTargets: true, FirstVersion: 1, LastVersion: 1}, began)
				}
				for g.routeTable.Load().Version() < version {
					if time.Since(began) > inForceIn {
						t.Fatalf("version %d is in force %s after version %d was announced", g.routeTable.Load().Version(), inForceIn, version)
					}
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
}

package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// configApplyTime is the time within which confirmed routes must be in force.
const configApplyTime = 2 * time.Second

// addRoute publishes a version of the routes with one more route, which has the version in its prefix.
func addRoute(store *site.Store, version int) {
	document := routesDocument(version, 2000)
	added := map[string]any{}
	for key, value := range document["routes"].([]any)[0].(map[string]any) {
		added[key] = value
	}
	added["name"], added["prefix"] = fmt.Sprint("added-", version), fmt.Sprintf("/added-%d/", version)
	document["routes"] = append(document["routes"].([]any), added)
	store.Put("op", "config", document)
}

// restoreWhileDown takes the store away for a moment and has it come back as it was at copied, with all that the operator and the
// targets wrote since. Then changes is called, and the version of the store passes all that were given out before.
func restoreWhileDown(store *site.Store, copied site.Snapshot, changes func()) {
	store.SetFault(site.Down)
	time.Sleep(700 * time.Millisecond)
	store.Restore(copied, "op", "servers")
	changes()
	store.Touch(200)
	store.SetFault(site.NoFault)
}

// TestRoutesAreFollowedAfterAStoreIsRestored guards against gateways that go on in the change feed of a restored store where they
// stopped in the one before it: routes that were confirmed in between are never in force.
func TestRoutesAreFollowedAfterAStoreIsRestored(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		agents, gateways int
		silently         bool // no read fails meanwhile
		replaced         bool // the gateways are started again after it
	}{
		"no agent":                   {gateways: 2},
		"agents read for gateways":   {gateways: 2, agents: 2},
		"no agent, unnoticed":        {gateways: 1, silently: true},
		"agents read, unnoticed":     {gateways: 2, agents: 2, silently: true},
		"all gateways started again": {gateways: 2, agents: 2, replaced: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayGroup(t)
			plain := site.NewTarget("p1", site.TextResponse(200, "ok"))
			t.Cleanup(plain.Close)
			g.store.Put("servers", "p1", plain.RegistryEntry("plain", "ready"))
			for i := range c.agents {
				host, id := fmt.Sprintf("127.0.0.%d", 120+i), fmt.Sprint("e", i)
				engine := site.NewTargetAt(host+":0", id, site.EventStream(3, 0, 0))
				engine.Load("m1")
				t.Cleanup(engine.Close)
				g.store.Put("servers", id, engine.RegistryEntry("engine", "ready"))
				g.startAgent(id, engine)
			}
			for i := range c.gateways {
				g.startGateway(i)
			}
			time.Sleep(1500 * time.Millisecond)
			copied := g.store.Snapshot()
			addRoute(g.store, 5)
			g.store.Touch(50)
			time.Sleep(time.Second)
			if c.silently {
				g.store.Restore(copied, "op", "servers")
				addRoute(g.store, 9)
				g.store.Touch(200)
			} else {
				restoreWhileDown(g.store, copied, func() { addRoute(g.store, 9) })
			}
			if c.replaced {
				g.replaceGateways(c.gateways)
			}
			time.Sleep(configApplyTime)
			for i := range c.gateways {
				request := "GET /added-9/x HTTP/1.1\r\nHost: " + callerHost + "\r\nConnection: close\r\nX-Gypsumbank-Request-Id: r1\r\n\r\n"
				if answer := g.sendTo(i, request); !strings.HasPrefix(answer, "HTTP/1.1 200") {
					t.Errorf("gateway %d answers %q on a route that was confirmed %s ago", i, answer, configApplyTime)
				}
			}
		})
	}
}

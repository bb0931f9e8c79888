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

// addPlainTarget starts and registers a plain target.
func (g *gatewayGroup) addPlainTarget(id string) *site.Target {
	target := site.NewTarget(id, site.TextResponse(200, id))
	g.t.Cleanup(target.Close)
	g.store.Put("servers", id, target.RegistryEntry("plain", "ready"))
	return target
}

// startEngines starts and registers n engines with their agents, at loopback addresses from 127.0.0.first on.
func (g *gatewayGroup) startEngines(n, first int) {
	for i := range n {
		host, id := fmt.Sprintf("127.0.0.%d", first+i), fmt.Sprint("e", i)
		engine := site.NewTargetAt(host+":0", id, site.EventStream(3, 0, 0))
		engine.Load("m1")
		g.t.Cleanup(engine.Close)
		g.store.Put("servers", id, engine.RegistryEntry("engine", "ready"))
		g.startAgent(id, engine)
	}
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
			g.addPlainTarget("p1")
			g.startEngines(c.agents, 120)
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

// answeredBy sends requests to a gateway and returns how many of them a plain target has answered.
func (g *gatewayGroup) answeredBy(gateway int, target string, requests int) int {
	answered := 0
	for i := range requests {
		request := fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Gypsumbank-Request-Id: r%d\r\n\r\n", callerHost, i)
		if strings.HasSuffix(g.sendTo(gateway, request), "\r\n\r\n"+target) {
			answered++
		}
	}
	return answered
}

// TestTargetThatLeavesAfterAnOutageIsNotKept guards against targets that stay in use after their entry has been removed, since the
// store was away some time before: only entries that are missing at its return may be on their way back.
func TestTargetThatLeavesAfterAnOutageIsNotKept(t *testing.T) {
	t.Parallel()
	for name, agents := range map[string]int{"gateway reads": 0, "an agent reads": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayGroup(t)
			g.addPlainTarget("p1")
			g.addPlainTarget("p2")
			g.startEngines(agents, 124)
			const gateways = 4
			for i := range gateways {
				g.startGateway(i)
			}
			time.Sleep(1500 * time.Millisecond)
			g.store.SetFault(site.Down)
			time.Sleep(5 * time.Second)
			g.store.SetFault(site.NoFault)
			time.Sleep(3500 * time.Millisecond)
			before := 0
			for i := range gateways {
				before += g.answeredBy(i, "p1", 20)
			}
			if before == 0 {
				t.Error("no request went to the target while it was registered")
			}
			g.store.Remove("servers", "p1")
			time.Sleep(1200 * time.Millisecond)
			for i := range gateways {
				if n := g.answeredBy(i, "p1", 20); n > 0 {
					t.Errorf("gateway %d: %d of 20 requests went to a target whose entry was removed 1.2 s ago", i, n)
				}
			}
		})
	}
}

// TestTargetsThatLeftStayOutAfterAStoreIsRestored guards against targets that are used again as a restored store has their entries
// from before they said that they leave.
func TestTargetsThatLeftStayOutAfterAStoreIsRestored(t *testing.T) {
	t.Parallel()
	leaves := map[string]func(store *site.Store, target *site.Target){
		"draining": func(store *site.Store, target *site.Target) {
			store.Put("servers", "p1", target.RegistryEntry("plain", "draining"))
		},
		"removed": func(store *site.Store, _ *site.Target) { store.Remove("servers", "p1") },
	}
	for leaving, leave := range leaves {
		for reader, agents := range map[string]int{"gateways read": 0, "agents read": 2} {
			t.Run(leaving+", "+reader, func(t *testing.T) {
				t.Parallel()
				g := newGatewayGroup(t)
				p1 := g.addPlainTarget("p1")
				g.addPlainTarget("p2")
				g.startEngines(agents, 128)
				for i := range 2 {
					g.startGateway(i)
				}
				time.Sleep(1500 * time.Millisecond)
				copied := g.store.Snapshot()
				leave(g.store, p1)
				time.Sleep(1500 * time.Millisecond)
				g.store.SetFault(site.Down)
				time.Sleep(700 * time.Millisecond)
				g.store.Restore(copied, "op")
				g.store.SetFault(site.NoFault)
				for range 4 {
					time.Sleep(time.Second)
					for i := range 2 {
						if n := g.answeredBy(i, "p1", 10); n > 0 {
							t.Errorf("gateway %d: %d of 10 requests went to a target that had left", i, n)
						}
					}
				}
			})
		}
	}
}

// TestGatewayOnOlderRoutesDeniesNothing guards against a gateway that starts on a restored store, before the operator has written the
// latest routes again, and answers 404 on a route that the others serve.
func TestGatewayOnOlderRoutesDeniesNothing(t *testing.T) {
	t.Parallel()
	g := newGatewayGroup(t)
	g.addPlainTarget("p1")
	g.startEngines(1, 132)
	g.startGateway(0)
	time.Sleep(1500 * time.Millisecond)
	copied := g.store.Snapshot()
	addRoute(g.store, 5)
	time.Sleep(time.Second)
	g.store.Restore(copied, "servers")
	g.startGateway(1)
	time.Sleep(time.Second)
	request := "GET /added-5/x HTTP/1.1\r\nHost: " + callerHost + "\r\nConnection: close\r\nX-Gypsumbank-Request-Id: r1\r\n\r\n"
	if answer := g.sendTo(0, request); !strings.HasPrefix(answer, "HTTP/1.1 200") {
		t.Errorf("gateway on the latest routes answers %q, want 200", answer)
	}
	g.waitForStatus(1, request, "200", changeBound, "503") // it gets them from the agent, as the store has them no more
	unknown := strings.Replace(request, "added-5", "never-added", 1)
	if answer := g.sendTo(0, unknown); !strings.HasPrefix(answer, "HTTP/1.1 404") {
		t.Errorf("gateway on the latest routes answers %q to a request without a route, want 404", answer)
	}
	addRoute(g.store, 5)
	time.Sleep(configApplyTime)
	if answer := g.sendTo(1, request); !strings.HasPrefix(answer, "HTTP/1.1 200") {
		t.Errorf("answer %q %s after the routes were written again", answer, configApplyTime)
	}
}

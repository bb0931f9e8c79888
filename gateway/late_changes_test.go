package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// addedRequest returns a request on the route that addRoute has added with a version.
func addedRequest(version int) string {
	return getRequest(fmt.Sprintf("/added-%d/x", version), "Connection: close")
}

// waitForRoute waits until all gateways serve the route that was added with a version, for changeBound from now at most.
func (g *gatewayGroup) waitForRoute(gateways, version int) {
	g.t.Helper()
	var waiting sync.WaitGroup
	for i := range gateways {
		waiting.Go(func() {
			began := time.Now()
			status := ""
			for time.Since(began) < changeBound {
				if status = statusOf(g.sendTo(i, addedRequest(version))); status == "200 OK" {
					g.t.Logf("gateway %d serves version %d after %s", i, version, time.Since(began).Round(time.Millisecond))
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			g.t.Errorf("gateway %d answers %q on a route that was confirmed %s ago", i, status, changeBound)
		})
	}
	waiting.Wait()
}

// maxCallsPerGateway is what a store with the lowest rate of the deployments known, 2,000 reading calls a second, bears of each of 410 gateways.
const maxCallsPerGateway = 2000.0 / 410

// TestChangeAfterAnOutageThatAgentsDoNotSeeEnd guards against gateways that ask the store rarely after an outage since connected agents would tell
// them of its end, while the store turns these agents away; and against gateways that ask so often that the store can't bear hundreds of them.
func TestChangeAfterAnOutageThatAgentsDoNotSeeEnd(t *testing.T) {
	t.Parallel()
	const (
		gateways = 10               // many, so that agents relieve the store of their reads
		outage   = 20 * time.Second // until the waits between reads have grown to their longest
	)
	g := newGatewayGroup(t)
	agentFront := newStoreFront(t, g.store, false)
	g.agentStore = agentFront.address
	g.addPlainTarget("p1")
	g.startEngines(2, 176)
	for i := range gateways {
		g.startGateway(i)
	}
	time.Sleep(3 * time.Second) // until the agents read the store for all
	agentFront.cut.Store(true)
	before := g.store.Requests()
	g.store.SetFault(site.Down)
	time.Sleep(outage)
	calls := float64(g.store.Requests()-before) / gateways / outage.Seconds()
	t.Logf("%.2f calls of the store a second by each gateway", calls)
	if calls > maxCallsPerGateway {
		t.Errorf("%.2f calls of the store a second by each gateway while it is down, %.2f allowed", calls, maxCallsPerGateway)
	}
	g.store.SetFault(site.NoFault)
	addRoute(g.store, 5)
	g.waitForRoute(gateways, 5)
}

// delayedLink passes bytes on between a gateway and an agent, those from the agent after a delay.
type delayedLink struct {
	agent string
	delay atomic.Int64 // nanoseconds
}

// delayedBytes are bytes that arrived at a time.
type delayedBytes struct {
	data    []byte
	arrived time.Time
}

// newDelayedLink starts a link that listens at an address.
func newDelayedLink(t *testing.T, listen, agent string) *delayedLink {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	link := &delayedLink{agent: agent}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go link.serve(conn)
		}
	}()
	return link
}

func (l *delayedLink) serve(gateway net.Conn) {
	defer gateway.Close()
	agent, err := net.Dial("tcp", l.agent)
	if err != nil {
		return
	}
	defer agent.Close()
	go func() {
		defer agent.Close()
		_, _ = io.Copy(agent, gateway) // ends with one of the connections
	}()
	queue := make(chan delayedBytes, 1<<12)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, 32<<10)
			n, err := agent.Read(buffer)
			if err != nil {
				return
			}
			queue <- delayedBytes{data: buffer[:n], arrived: time.Now()}
		}
	}()
	for next := range queue {
		time.Sleep(time.Until(next.arrived.Add(time.Duration(l.delay.Load()))))
		if _, err := gateway.Write(next.data); err != nil {
			return
		}
	}
}

// TestChangeWhileMessagesOfAgentsAreDelayed guards against a gateway that takes what agents have read for as new as its message, which was on its way
// for seconds: it does not read the store, and gets a change as late as they come.
func TestChangeWhileMessagesOfAgentsAreDelayed(t *testing.T) {
	t.Parallel()
	const (
		agents      = 2
		firstEngine = 180
		// delayStep is below the time without a message after which a gateway gives up a connection.
		delayStep  = time.Second
		delaySteps = 4
	)
	g := newGatewayGroup(t)
	g.addPlainTarget("p1")
	links := make([]*delayedLink, agents)
	for i := range agents {
		host, id := fmt.Sprintf("127.0.0.%d", firstEngine+i), fmt.Sprint("e", i)
		engine := site.NewTargetAt(host+":0", id, site.EventStream(3, 0, 0))
		engine.Load("m1")
		t.Cleanup(engine.Close)
		g.store.Put("servers", id, engine.RegistryEntry("engine", "ready"))
		agent := freeAddress(t)
		links[i] = newDelayedLink(t, net.JoinHostPort(host, strconv.Itoa(g.agentPort)), agent)
		g.startAgentAt(id, engine, agent)
	}
	g.startGateway(0)
	time.Sleep(2 * time.Second) // until the agents read the store for it
	for step := range delaySteps {
		for _, link := range links {
			link.delay.Store(int64(step+1) * int64(delayStep))
		}
		time.Sleep(2 * delayStep)
	}
	addRoute(g.store, 5)
	g.waitForRoute(1, 5)
}

package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/agent"
	"gypsumbank/gateway"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
)

// gatewayGroup is a store with several gateways before the targets that a test registers.
type gatewayGroup struct {
	t         *testing.T
	store     *site.Store
	agentPort int
	log       *logrus.Entry

	gatewayStore string                 // address of the store for gateways
	agentStore   string                 // address of the store for agents
	configure    func(*settings.Config) // changes the settings of gateways; nil for no change

	mu        sync.Mutex
	gateways  []string // addresses; empty for one that is being replaced
	stops     []func() // by gateway
	running   []func() // each ends a process, also if it has ended
	requestNo int
}

// newGatewayGroup returns a group with routes in its store and no gateway yet.
func newGatewayGroup(t *testing.T) *gatewayGroup {
	log := logrus.New()
	log.SetOutput(io.Discard)
	_, port, _ := net.SplitHostPort(freeAddress(t))
	agentPort, _ := strconv.Atoi(port)
	g := &gatewayGroup{t: t, store: site.NewStore(), agentPort: agentPort, log: log.WithField("test", t.Name())}
	g.gatewayStore, g.agentStore = g.store.Address(), g.store.Address()
	t.Cleanup(g.store.Close)
	t.Cleanup(g.stopAll)
	g.store.Put("op", "config", routesDocument(1, 2000))
	return g
}

// run runs a process until the returned function is called, at the latest at the end of the test.
func (g *gatewayGroup) run(process func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := process(ctx); err != nil {
			g.t.Error(err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = append(g.running, stop)
	return stop
}

// stopAll stops all processes at the same time.
func (g *gatewayGroup) stopAll() {
	g.mu.Lock()
	running := g.running
	g.mu.Unlock()
	var stopping sync.WaitGroup
	for _, stop := range running {
		stopping.Go(stop)
	}
	stopping.Wait()
}

// startAgent starts the agent of an engine that listens at a loopback address of its own.
func (g *gatewayGroup) startAgent(id string, engine *site.Target) (stop func()) {
	host, _, _ := net.SplitHostPort(engine.Address())
	return g.startAgentAt(id, engine, net.JoinHostPort(host, strconv.Itoa(g.agentPort)))
}

// startAgentAt is startAgent with the address that the agent listens at.
func (g *gatewayGroup) startAgentAt(id string, engine *site.Target, listen string) (stop func()) {
	config := &settings.Config{
		Node:   settings.Node{Name: "agent-" + id, AvailabilityZone: "zone-a"},
		Agent:  settings.Agent{Listen: listen, Target: engine.Address(), Service: "engine"},
		Store:  settings.Store{Address: g.agentStore},
		Bounds: settings.Bounds{LoadWindow: 5 * time.Second, LoadBurst: 1.1, QuotaWindow: quotaWindow, QuotaOverage: quotaOverage},
	}
	return g.run(agent.New(config, g.log).Run)
}

// startGateway starts gateway i, or restarts it with an empty memory, and waits until it is ready.
func (g *gatewayGroup) startGateway(i int) { g.startGatewayAt(i, g.gatewayStore) }

// startGatewayAt is startGateway with an address at which the gateway reaches the store.
func (g *gatewayGroup) startGatewayAt(i int, storeAddress string) {
	ready := freeAddress(g.t)
	config := &settings.Config{
		Node:    settings.Node{Name: fmt.Sprintf("gateway-%d", i), AvailabilityZone: "zone-a"},
		Gateway: settings.Gateway{Listen: freeAddress(g.t), Ready: ready, AgentPort: g.agentPort, Grace: time.Second},
		Store:   settings.Store{Address: storeAddress},
		Bounds:  settings.Bounds{RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second, QuotaWindow: quotaWindow, QuotaOverage: quotaOverage},
	}
	if g.configure != nil {
		g.configure(config)
	}
	stop := g.run(gateway.New(config, g.log).Run)
	for range 300 {
		if response, err := http.Get("http://" + ready + "/-/readyz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i < len(g.gateways) {
		g.gateways[i], g.stops[i] = config.Gateway.Listen, stop
		return
	}
	g.gateways, g.stops = append(g.gateways, config.Gateway.Listen), append(g.stops, stop)
}

// replaceGateways stops the first n gateways and starts others in their place.
func (g *gatewayGroup) replaceGateways(n int) {
	for i := range n {
		g.mu.Lock()
		stop := g.stops[i]
		g.gateways[i] = "" // callers use another one while it stops
		g.mu.Unlock()
		stop()
		g.startGateway(i)
	}
}

// send sends a request through the next gateway and returns what came back. The request gets a number of its own.
func (g *gatewayGroup) send(request func(n int) string) string {
	g.mu.Lock()
	g.requestNo++
	n := g.requestNo
	if len(g.gateways) == 0 {
		g.mu.Unlock()
		return ""
	}
	address := g.gateways[n%len(g.gateways)]
	if address == "" {
		address = g.gateways[(n+1)%len(g.gateways)]
	}
	g.mu.Unlock()
	answer, err := sendRaw(address, request(n))
	if err != nil {
		return ""
	}
	return answer
}

// sendTo sends a request through gateway i, or the next one while that is being replaced, and returns what came back, also if that
// is not a whole response.
func (g *gatewayGroup) sendTo(i int, request string) string {
	g.mu.Lock()
	address := g.gateways[i]
	if address == "" {
		address = g.gateways[(i+1)%len(g.gateways)]
	}
	g.mu.Unlock()
	answer, _ := sendRaw(address, request)
	return answer
}

// sendRaw sends a request on a new connection and returns all bytes until its end.
func sendRaw(address, request string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// sendEvery sends requests at an interval until ctx ends, each in a goroutine of its own, and waits for them.
func sendEvery(ctx context.Context, interval time.Duration, send func(n int)) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		group.Go(func() { send(n) })
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"

	"gypsumbank/deployment"
	"gypsumbank/dialer"
	"gypsumbank/standin/site"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

// crowdSite is a store and targets of the users' platform, which live in the process of the test.
type crowdSite struct {
	t      *testing.T
	store  *site.Store
	plain  *site.Target
	engine *site.Target
}

// largeAnswer is an answer that does not fit into the buffers of a connection.
var largeAnswer = bytes.Repeat([]byte("x"), 4<<20)

func newCrowdSite(t *testing.T, bodyBytes int) *crowdSite {
	s := &crowdSite{t: t, store: site.NewStore(), plain: site.NewTarget("p1", answerCrowd), engine: site.NewTarget("e1", site.EventStream(3, 0, 0))}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.plain.Close)
	t.Cleanup(s.engine.Close)
	s.engine.Load("m1")
	routes := stopRoutes()
	routes["limits"] = map[string]any{"maxHeaderBytes": crowdHeaderBytes, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 1000, "idleTimeoutMs": 15000}
	s.store.Put("op", "config", routes)
	s.store.Put("servers", "p1", s.plain.RegistryEntry("plain", "ready"))
	s.store.Put("servers", "e1", s.engine.RegistryEntry("engine", "ready"))
	return s
}

// answerCrowd answers at once, with a large body where the path asks for one.
func answerCrowd(conn net.Conn, request *site.ReceivedRequest) bool {
	body := []byte("ok")
	if strings.Contains(request.RequestLine, "/large") {
		body = largeAnswer
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", site.IdentityHeaders(request), len(body))
	if err == nil {
		_, err = conn.Write(body)
	}
	return err == nil
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		address, err := deployment.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = address
	}
	return addresses
}

// startGateway starts a gateway with some memory and descriptors and returns it with its addresses for callers, readiness checks and metrics.
func (s *crowdSite) startGateway(memoryMiB, descriptors int) (gateway *process, callers, ready, metrics string) {
	s.t.Helper()
	addresses := freeAddresses(s.t, 4)
	_, agentPort, _ := net.SplitHostPort(addresses[3])
	settings := fmt.Sprintf("[node]\nname = g1\navailability-zone = zone-a\n[log]\nlevel = warning\n[gateway]\nlisten = %s\nready = %s\nmetrics = %s\nagent-port = %s\n[store]\naddress = %s\n[limits]\nmemory-mib = %d\ndescriptors = %d\nwrite-timeout = 2s\n",
		addresses[0], addresses[1], addresses[2], agentPort, s.store.Address(), memoryMiB, descriptors)
	c := &cluster{t: s.t, dir: s.t.TempDir()}
	gateway = startMeasuredProcess(s.t, "g1", "gateway", "--config="+c.writeFile("gateway.ini", settings))
	return gateway, addresses[0], addresses[1], addresses[2]
}

// startAgent starts an agent and returns it with its addresses for gateways and metrics.
func (s *crowdSite) startAgent() (agent *process, gateways, metrics string) {
	s.t.Helper()
	addresses := freeAddresses(s.t, 2)
	settings := fmt.Sprintf("[node]\nname = a1\navailability-zone = zone-a\n[log]\nlevel = warning\n[agent]\nlisten = %s\nmetrics = %s\ntarget = %s\nservice = engine\n[store]\naddress = %s\n[limits]\nmemory-mib = %d\ndescriptors = %d\n",
		addresses[0], addresses[1], s.engine.Address(), s.store.Address(), crowdMemoryMiB, crowdDescriptors)
	c := &cluster{t: s.t, dir: s.t.TempDir()}
	return startMeasuredProcess(s.t, "a1", "agent", "--config="+c.writeFile("agent.ini", settings)), addresses[0], addresses[1]
}

const crowdHead = "POST /unsafe/ HTTP/1.1\r\nHost: callers.example\r\nX-Gypsumbank-Request-Id: crowd\r\n"

// ordinaryPost returns a function that sends a request with a short body to a gateway.
func ordinaryPost(address string) func() error {
	return func() error { return postBytes(address, 600) }
}

func postBytes(address string, bodyBytes int) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/unsafe/", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return err
	}
	request.Host = "callers.example"
	request.Header.Set("X-Gypsumbank-Request-Id", "ordinary")
	return requestOnce(request, http.StatusOK)
}

// getCheck returns a function that asks for a path and wants it to be there.
func getCheck(address, path string) func() error {
	return func() error {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return err
		}
		return requestOnce(request, http.StatusOK)
	}
}

// slowReaders returns a crowd that asks for large answers and reads none of them.
func slowReaders(request string, conns int) crowd {
	return crowd{conns: conns, send: func(conn net.Conn, _ int) error { return writeParts(conn, request) }}
}

// TestGatewayOutlastsCrowds guards against a gateway that runs out of memory or descriptors, or serves nobody, because of callers that send much, send it
// slowly, stop, or read nothing.
func TestGatewayOutlastsCrowds(t *testing.T) {
	crowds := bodyCrowds(crowdHead, crowdConns, crowdBodyBytes)
	maps.Copy(crowds, connCrowds(crowdHead, crowdConns))
	crowds["slow readers"] = slowReaders("GET /safe/large HTTP/1.1\r\nHost: callers.example\r\nX-Gypsumbank-Request-Id: crowd\r\n\r\n", crowdConns)
	for _, name := range slices.Sorted(maps.Keys(crowds)) {
		t.Run(name, func(t *testing.T) {
			gateway, callers, _, _ := newCrowdSite(t, crowdBodyBytes).startGateway(crowdMemoryMiB, crowdDescriptors)
			c := &crowdTest{process: gateway, address: callers, ordinary: ordinaryPost(callers)}
			c.run(t, crowds[name])
		})
	}
}

// TestLargestBodyIsServedOnASmallVM guards against limits that refuse a body of the largest legal size when nothing else is held.
func TestLargestBodyIsServedOnASmallVM(t *testing.T) {
	const memoryMiB, descriptors, bodyBytes = 184, 4100, 4 << 20 // those of the smallest gateway
	_, callers, _, _ := newCrowdSite(t, bodyBytes).startGateway(memoryMiB, descriptors)
	c := &crowdTest{process: &process{exited: make(chan struct{})}, ordinary: ordinaryPost(callers)}
	if err := c.tryOrdinary(t); err != nil {
		t.Fatal(err)
	}
	if err := postBytes(callers, bodyBytes); err != nil {
		t.Errorf("body of %d bytes: %v", bodyBytes, err)
	}
}

// TestChecksOutlastCrowds is TestGatewayOutlastsCrowds for the addresses of readiness checks and metrics: they must answer the platform.
func TestChecksOutlastCrowds(t *testing.T) {
	const head, conns = "POST /-/readyz HTTP/1.1\r\nHost: checks.example\r\n", crowdDescriptors * 5 / 4 // descriptors are all that they hold otherwise
	for _, server := range []string{"readiness", "metrics"} {
		crowds := map[string]crowd{
			"bodies at once":        bodyCrowds(head, crowdConns, crowdBodyBytes)["bodies at once"],
			"silent connections":    connCrowds(head, conns)["silent connections"],
			"heads that stop short": connCrowds(head, conns)["heads that stop short"],
		}
		for _, name := range slices.Sorted(maps.Keys(crowds)) {
			t.Run(server+"/"+name, func(t *testing.T) {
				gateway, _, ready, metrics := newCrowdSite(t, crowdBodyBytes).startGateway(crowdMemoryMiB, crowdDescriptors)
				c := &crowdTest{process: gateway, address: ready, ordinary: getCheck(ready, "/-/readyz")}
				if server == "metrics" {
					c.address, c.ordinary = metrics, getCheck(metrics, "/metrics")
				}
				c.run(t, crowds[name])
			})
		}
	}
}

// TestAgentOutlastsCrowds guards against an agent that runs out of memory or descriptors, or answers no gateway, because of connections that send nothing
// or messages that don't end.
func TestAgentOutlastsCrowds(t *testing.T) {
	const conns, messageBytes = crowdDescriptors * 5 / 4, 1 << 20
	part := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: make([]byte, messageBytes)})
	crowds := map[string]crowd{
		"silent connections":      {conns: conns, send: func(net.Conn, int) error { return nil }},
		"messages that stop":      {conns: crowdConns, send: func(conn net.Conn, _ int) error { return writeParts(conn, part) }},
		"messages without an end": {conns: crowdConns / 8, send: func(conn net.Conn, _ int) error { return writeOn(conn, part) }},
	}
	for _, name := range slices.Sorted(maps.Keys(crowds)) {
		t.Run(name, func(t *testing.T) {
			agent, gateways, _ := newCrowdSite(t, crowdBodyBytes).startAgent()
			c := &crowdTest{process: agent, address: gateways, ordinary: func() error {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				d := dialer.New(nil)
				defer d.Close()
				_, err := wire.NewDRPCAgentClient(d.Conn(ctx, gateways)).Origin(ctx, &wire.OriginRequest{Stream: 1})
				return err
			}}
			c.run(t, crowds[name])
		})
	}
}

// ownCrowdCluster is a deployment of the product's own interface whose entry or sidecar meets a crowd: a table, a list of VMs, and one replica of the ledger.
func ownCrowdCluster(t *testing.T) *cluster {
	size := deployment.Small()
	c := &cluster{t: t, dir: t.TempDir(), size: size, sidecars: map[string]*process{}, addresses: map[string]string{}}
	c.table = c.startStandin("table", "--reads=2000", "--writes=500")
	c.vmList = c.startStandin("vms", "--lag=200ms")
	c.startNamedStandin("target-ledger-00", "ledger")
	c.startMeasuredSidecar("ledger-00")
	c.operatorSettings = c.writeSettings("operator", size.Zone(0), "127.0.0.1:0", "")
	return c
}

// ownLimits are the settings of what an entry or a sidecar may use.
func ownLimits() string {
	return fmt.Sprintf("[limits]\nmemory-mib = %d\ndescriptors = %d\n", crowdMemoryMiB, crowdDescriptors)
}

// startMeasuredSidecar starts the sidecar of the ledger as a process whose memory is measured.
func (c *cluster) startMeasuredSidecar(name string) {
	section := fmt.Sprintf("[sidecar]\nkind = service\nservice = ledger\ntarget = %s\n", c.address("target-ledger-00"))
	path := c.writeSettings(name, c.size.Zone(0), c.address(name), section+ownLimits())
	c.sidecars[name] = startMeasuredProcess(c.t, name, "sidecar", "--config="+path)
	c.registerVM(vmlist.VM{Name: name, Address: c.address(name), AvailabilityZone: c.size.Zone(0), Role: vmlist.RoleService, Service: "ledger"})
}

// startMeasuredEntry starts an entry, with at most as many connections of callers as half of the descriptors, as a process whose memory is measured.
func (c *cluster) startMeasuredEntry(name string) *process {
	section := fmt.Sprintf("[entry]\nlisten = %s\ngrace = 5s\nread-timeout = 1s\nwrite-timeout = 2s\nmax-connections = %d\nmax-body-bytes = %d\nmax-header-bytes = %d\n",
		c.address(name), crowdDescriptors/2, crowdBodyBytes, crowdHeaderBytes)
	path := c.writeSettings(name, c.size.Zone(0), c.address("peers-of-"+name), section+ownLimits())
	entry := startMeasuredProcess(c.t, name, "entry", "--config="+path)
	c.registerVM(vmlist.VM{Name: name, Address: c.address("peers-of-" + name), AvailabilityZone: c.size.Zone(0), Role: vmlist.RoleEntry})
	return entry
}

// applyLists applies the lists once a process has been started that takes them.
func (c *cluster) applyLists(allowances string) {
	time.Sleep(400 * time.Millisecond)
	c.applyList("allowances", allowances)
	c.applyList("plans", c.size.Plans())
}

// ordinaryEvent returns a function that sends an event to the ledger by an entry.
func (c *cluster) ordinaryEvent(entry string) func() error {
	return func() error {
		request, err := http.NewRequest(http.MethodPost, "http://"+c.address(entry)+"/services/ledger/events", strings.NewReader(`{"id":"ordinary"}`))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+c.size.Key(c.size.Members[0]))
		request.Header.Set("Idempotency-Key", "ordinary")
		return requestOnce(request, http.StatusCreated)
	}
}

// TestEntryOutlastsCrowds is TestGatewayOutlastsCrowds for an entry.
func TestEntryOutlastsCrowds(t *testing.T) {
	c := ownCrowdCluster(t)
	// A list of models that is long makes an answer long.
	const models = 400
	c.size.Models = models
	key := c.size.Key(c.size.Members[0])
	head := "POST /services/ledger/events HTTP/1.1\r\nHost: callers.example\r\nAuthorization: Bearer " + key + "\r\n"
	crowds := bodyCrowds(head, crowdConns, crowdBodyBytes)
	maps.Copy(crowds, connCrowds(head, crowdConns))
	list := "GET /v1/models HTTP/1.1\r\nHost: callers.example\r\nAuthorization: Bearer " + key + "\r\n\r\n"
	const answersUnread = 40 // more than the buffers of a connection hold
	crowds["slow readers"] = slowReaders(strings.Repeat(list, answersUnread), crowdConns)
	applied := false
	for _, name := range slices.Sorted(maps.Keys(crowds)) {
		t.Run(name, func(t *testing.T) {
			c.t = t
			entry := "entry-" + strings.ReplaceAll(name, " ", "-")
			e := &crowdTest{process: c.startMeasuredEntry(entry), address: c.address(entry), ordinary: c.ordinaryEvent(entry)}
			if !applied {
				c.applyLists(c.size.Allowances())
				applied = true
			}
			e.run(t, crowds[name])
		})
	}
}

// TestSidecarOutlastsCrowds guards against a sidecar or the port of an entry for other processes that runs out of memory or descriptors because of
// connections that don't authenticate themselves.
func TestSidecarOutlastsCrowds(t *testing.T) {
	const conns = crowdDescriptors * 5 / 4
	crowds := map[string]crowd{
		"silent connections": {conns: conns, send: func(net.Conn, int) error { return nil }},
		"bytes without end":  {conns: conns, send: func(conn net.Conn, _ int) error { return writeOn(conn, make([]byte, 64<<10)) }},
	}
	for _, name := range slices.Sorted(maps.Keys(crowds)) {
		t.Run(name, func(t *testing.T) {
			c := ownCrowdCluster(t)
			c.startMeasuredEntry("entry-00")
			c.applyLists(c.size.Allowances())
			s := &crowdTest{process: c.sidecars["ledger-00"], address: c.address("ledger-00"), ordinary: c.ordinaryEvent("entry-00")}
			s.run(t, crowds[name])
		})
	}
}

package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	ports "gypsumbank/deployment"
	"gypsumbank/gateway"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
)

// testDeployment is a gateway with stand-ins for the store and the targets of the platform.
type testDeployment struct {
	t              *testing.T
	store          *site.Store
	plainTarget    *site.Target
	engineTarget   *site.Target
	gatewayAddress string
	readyAddress   string
	metricsAddress string

	agentPort     int
	memoryMiB     int           // of the gateway; 0 for that of the machine
	eventDelivery time.Duration // bound of the gateway; 0 for none
	stop          context.CancelFunc
	runErr        chan error
	logHook       *logtest.Hook // records what the gateway logs
}

const callerHost = "callers.example"

// routesDocument returns the document with the routes and services, as operators write it to the store, with the given
// version and route timeout.
func routesDocument(version int, timeoutMs int) map[string]any {
	route := func(prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "r" + strings.Trim(prefix, "/"), "host": callerHost, "prefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs,
			"targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": attempts, "resumable": resumable, "gapAimMs": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("/safe/", "safe", "plain", 2, false), route("/unsafe/", "unsafe", "plain", 1, false),
			route("/stream/", "streaming", "engine", 1, false), route("/resume/", "streaming", "engine", 2, true),
		},
		"services": []any{
			map[string]any{"name": "plain", "healthPath": "/healthz", "maxConns": 100},
			map[string]any{"name": "engine", "healthPath": "/healthz", "maxConns": 100, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 100000, "weightsMb": 200.0, "adapterSlots": 2, "loadsPerS": 5.0,
				"models": []any{
					map[string]any{"name": "m1", "weightsMb": 50.0, "adapters": 2, "adapterMb": 1.0, "loadS": 0.1},
					map[string]any{"name": "m2", "weightsMb": 50.0, "adapters": 0, "adapterMb": 1.0, "loadS": 0.1},
					map[string]any{"name": "m3", "weightsMb": 50.0, "adapters": 9, "adapterMb": 1.0, "loadS": 0.1},
				},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newDeployment starts stand-ins and a gateway, and waits until it is ready. The registry has one entry that is invalid.
func newDeployment(t *testing.T) *testDeployment {
	t.Helper()
	return newStreamDeployment(t, 0)
}

// newStreamDeployment is newDeployment with a bound for the delivery of events; 0 for none.
func newStreamDeployment(t *testing.T, eventDelivery time.Duration) *testDeployment {
	t.Helper()
	t.Parallel()
	d := &testDeployment{t: t, eventDelivery: eventDelivery, store: site.NewStore(), plainTarget: site.NewTarget("p1", site.TextResponse(200, "ok")), engineTarget: site.NewTarget("e1", site.EventStream(3, 0, 0))}
	d.engineTarget.Load("m1")
	d.store.Put("op", "config", routesDocument(1, 2000))
	d.store.Put("servers", "p1", d.plainTarget.RegistryEntry("plain", "ready"))
	d.store.Put("servers", "e1", d.engineTarget.RegistryEntry("engine", "ready"))
	d.store.Put("servers", "bad", "not an entry")
	d.start()
	t.Cleanup(func() {
		d.stop()
		<-d.runErr
		d.store.Close()
		d.plainTarget.Close()
		d.engineTarget.Close()
	})
	return d
}

// start runs a gateway on new ports and waits until it is ready.
func (d *testDeployment) start() {
	d.gatewayAddress, d.readyAddress, d.metricsAddress = freeAddress(d.t), freeAddress(d.t), freeAddress(d.t)
	if d.agentPort == 0 {
		_, port, _ := net.SplitHostPort(freeAddress(d.t))
		d.agentPort, _ = strconv.Atoi(port)
	}
	config := &settings.Config{
		Node:    settings.Node{Name: "gateway-1", AvailabilityZone: "zone-a"},
		Gateway: settings.Gateway{Listen: d.gatewayAddress, Ready: d.readyAddress, Metrics: d.metricsAddress, AgentPort: d.agentPort, Grace: 4 * time.Second},
		Store:   settings.Store{Address: d.store.Address()},
		Bounds:  settings.Bounds{RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second, EventDelivery: d.eventDelivery},
		Limits:  settings.Limits{MemoryMiB: d.memoryMiB},
	}
	log, hook := logtest.NewNullLogger()
	d.logHook = hook
	ctx, stop := context.WithCancel(context.Background())
	d.stop, d.runErr = stop, make(chan error, 1)
	go func() { d.runErr <- gateway.New(config, log.WithField("test", d.t.Name())).Run(ctx) }()
	d.waitForReadiness(http.StatusOK)
}

// waitForReadiness waits for up to 3 s until the readiness check has the given status.
func (d *testDeployment) waitForReadiness(wantStatus int) {
	d.t.Helper()
	for range 300 {
		response, err := http.Get("http://" + d.readyAddress + "/-/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == wantStatus {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case err := <-d.runErr:
		d.runErr <- err
		d.t.Fatalf("the gateway has stopped: %v", err)
	default:
		d.t.Fatalf("the readiness check did not return status %d", wantStatus)
	}
}

// waitForEngines waits for up to 3 s until the gateway knows two engines.
func (d *testDeployment) waitForEngines() {
	const engines = 2
	d.t.Helper()
	for range 300 {
		known := map[any]bool{}
		for _, entry := range d.logHook.AllEntries() {
			if entry.Message == "target added" && entry.Data["service"] == "engine" {
				known[entry.Data["target"]] = true
			}
		}
		if len(known) >= engines {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatalf("the gateway does not know %d engines", engines)
}

// dial opens a connection of a caller and returns it with a reader.
func (d *testDeployment) dial() (net.Conn, *bufio.Reader) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.gatewayAddress)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// roundTrip sends the bytes of a request on a new connection. It returns the response and what could be read of its body.
func (d *testDeployment) roundTrip(rawRequest string) (*http.Response, string, error) {
	d.t.Helper()
	conn, reader := d.dial()
	if _, err := io.WriteString(conn, rawRequest); err != nil {
		d.t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// getRequest returns the bytes of a GET request.
func getRequest(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Gypsumbank-Request-Id: r1\r\n" + headerLines(headers) + "\r\n"
}

// postRequest returns the bytes of a POST request on a route whose requests may run only once.
func postRequest(body string) string {
	return fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: r1\r\nContent-Length: %d\r\n\r\n%s", callerHost, len(body), body)
}

// headerLines joins header fields for a request.
func headerLines(headers []string) string {
	if len(headers) == 0 {
		return ""
	}
	return strings.Join(headers, "\r\n") + "\r\n"
}

const m1Header = "X-Gypsumbank-Model: m1"

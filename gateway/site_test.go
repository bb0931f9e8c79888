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

// deployment is a gateway before stand-ins of the platform.
type deployment struct {
	t       *testing.T
	store   *site.Store
	plain   *site.Target
	engine  *site.Target
	gateway string
	ready   string

	agentPort int
	stop      context.CancelFunc
	ended     chan error
	lines     *logtest.Hook // what the gateway has logged
}

const host = "callers.example"

// manifest is the operators' document with the given version and timeout of the plain routes.
func manifest(version int, timeoutMs int) map[string]any {
	route := func(prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "r" + strings.Trim(prefix, "/"), "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs,
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

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// deploy starts a gateway and waits until it is ready.
func deploy(t *testing.T) *deployment {
	t.Helper()
	t.Parallel()
	d := &deployment{t: t, store: site.NewStore(), plain: site.NewTarget("p1", site.Text(200, "ok")), engine: site.NewTarget("e1", site.Stream(3, 0, 0))}
	d.engine.Load("m1")
	d.store.Put("op", "config", manifest(1, 2000))
	d.store.Put("servers", "p1", d.plain.Entry("plain", "ready"))
	d.store.Put("servers", "e1", d.engine.Entry("engine", "ready"))
	d.store.Put("servers", "bad", "not an entry")
	d.start()
	t.Cleanup(func() {
		d.stop()
		<-d.ended
		d.store.Close()
		d.plain.Close()
		d.engine.Close()
	})
	return d
}

func (d *deployment) start() {
	d.gateway, d.ready = freeAddress(d.t), freeAddress(d.t)
	if d.agentPort == 0 {
		_, port, _ := net.SplitHostPort(freeAddress(d.t))
		d.agentPort, _ = strconv.Atoi(port)
	}
	config := &settings.Config{
		Node:    settings.Node{Name: "gateway-1", AvailabilityZone: "zone-a"},
		Gateway: settings.Gateway{Listen: d.gateway, Ready: d.ready, AgentPort: d.agentPort, Grace: 4 * time.Second},
		Store:   settings.Store{Address: d.store.Address()},
		Bounds:  settings.Bounds{RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second},
	}
	log, lines := logtest.NewNullLogger()
	d.lines = lines
	ctx, stop := context.WithCancel(context.Background())
	d.stop, d.ended = stop, make(chan error, 1)
	go func() { d.ended <- gateway.New(config, log.WithField("test", d.t.Name())).Run(ctx) }()
	d.awaitReady(http.StatusOK)
}

func (d *deployment) awaitReady(want int) {
	d.t.Helper()
	for range 300 {
		response, err := http.Get("http://" + d.ready + "/-/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == want {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case err := <-d.ended:
		d.ended <- err
		d.t.Fatalf("the gateway has ended: %v", err)
	default:
		d.t.Fatalf("readiness did not become %d", want)
	}
}

// dial returns a connection of a caller with its reader.
func (d *deployment) dial() (net.Conn, *bufio.Reader) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.gateway)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// ask sends text as it is and returns the answer with what could be read of its body.
func (d *deployment) ask(text string) (*http.Response, string, error) {
	d.t.Helper()
	conn, reader := d.dial()
	if _, err := io.WriteString(conn, text); err != nil {
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

// get returns the text of a request without a body.
func get(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Gypsumbank-Request-Id: r1\r\n" + lines(headers) + "\r\n"
}

// post returns the text of a request that may run only once.
func post(body string) string {
	return fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: r1\r\nContent-Length: %d\r\n\r\n%s", host, len(body), body)
}

func lines(headers []string) string {
	if len(headers) == 0 {
		return ""
	}
	return strings.Join(headers, "\r\n") + "\r\n"
}

const modelHeader = "X-Gypsumbank-Model: m1"

package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"gypsumbank/gateway"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
)

// limitVariable tells the test binary to run a gateway in place of the tests, with that many descriptors.
const limitVariable = "GYPSUMBANK_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if limit := os.Getenv(limitVariable); limit != "" {
		if err := runLimitedGateway(limit, os.Args[1], os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runLimitedGateway runs a gateway that may have so many descriptors open until SIGTERM.
func runLimitedGateway(limit, listen, ready, store string) error {
	count, err := strconv.ParseUint(limit, 10, 64)
	if err != nil {
		return err
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: count, Max: count}); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := &settings.Config{
		Node:    settings.Node{Name: "gateway-1", AvailabilityZone: "zone-a"},
		Gateway: settings.Gateway{Listen: listen, Ready: ready, AgentPort: 1, Grace: time.Second},
		Store:   settings.Store{Address: store},
		Bounds:  settings.Bounds{RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second},
	}
	return gateway.New(config, log.WithField("test", "limited")).Run(ctx)
}

// limitedGateway is a gateway in a process of its own that may have few descriptors.
type limitedGateway struct {
	t              *testing.T
	address, ready string
	readiness      net.Conn // kept, as the platform keeps it
	readyReader    *bufio.Reader
	nextID         atomic.Int64
}

// startLimitedGateway starts a gateway and waits until it is ready.
func startLimitedGateway(t *testing.T, limit int, store *site.Store) *limitedGateway {
	t.Helper()
	g := &limitedGateway{t: t, address: freeAddress(t), ready: freeAddress(t)}
	command := exec.Command(os.Args[0], g.address, g.ready, store.Address())
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", limitVariable, limit))
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		_ = command.Wait()
	})
	for range 500 {
		if g.isReady() {
			return g
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the gateway is not ready")
	return nil
}

// isReady asks on the kept connection whether the gateway is ready, and opens that connection if there is none.
func (g *limitedGateway) isReady() bool {
	if g.readiness == nil {
		conn, err := net.DialTimeout("tcp", g.ready, time.Second)
		if err != nil {
			return false
		}
		g.t.Cleanup(func() { conn.Close() })
		g.readiness, g.readyReader = conn, bufio.NewReader(conn)
	}
	_ = g.readiness.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(g.readiness, "GET /-/readyz HTTP/1.1\r\nHost: gateway\r\n\r\n"); err != nil {
		g.readiness = nil
		return false
	}
	response, err := http.ReadResponse(g.readyReader, nil)
	if err != nil {
		g.readiness = nil
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// errNotTaken is returned for a connection on which no answer came.
var errNotTaken = errors.New("connection was not taken")

// connect opens a caller's connection and sends a request on it. It returns the connection, which stays open, and the status of the answer.
func (g *limitedGateway) connect() (net.Conn, int, error) {
	const patience = time.Second // of a requester that opens a connection
	conn, err := net.DialTimeout("tcp", g.address, patience)
	if err != nil {
		return nil, 0, err
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = fmt.Fprintf(conn, "GET /safe/a HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: limited-%d\r\n\r\n", callerHost, g.nextID.Add(1))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return conn, 0, fmt.Errorf("%w: %w", errNotTaken, err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return conn, response.StatusCode, nil
}

// newPlainStore returns a store with the routes and so many targets of the plain service. Each answer of a target takes longer than its last
// by answerTime, so that requests go to all targets.
func newPlainStore(t *testing.T, targets int, answerTime time.Duration) *site.Store {
	t.Helper()
	store := site.NewStore()
	t.Cleanup(store.Close)
	store.Put("op", "config", routesDocument(1, 2000))
	for i := range targets {
		id := "p" + strconv.Itoa(i)
		answers := &atomic.Int64{}
		target := site.NewTarget(id, func(conn net.Conn, seen *site.ReceivedRequest) bool {
			time.Sleep(time.Duration(answers.Add(1)) * answerTime)
			return site.TextResponse(200, "ok")(conn, seen)
		})
		t.Cleanup(target.Close)
		store.Put("servers", id, target.RegistryEntry("plain", "ready"))
	}
	return store
}

// TestGatewayThatCannotAcceptIsNotReady opens callers' connections, which stay open, until the gateway takes none. It must then say that it
// is not ready, and that it is once they have gone.
func TestGatewayThatCannotAcceptIsNotReady(t *testing.T) {
	t.Parallel()
	const (
		descriptors = 200
		// recoveryTime is within which the gateway must be ready after the callers have gone.
		recoveryTime = 3 * time.Second
	)
	g := startLimitedGateway(t, descriptors, newPlainStore(t, 1, 0))
	var callers []net.Conn
	taken := true
	for i := 0; i < descriptors && taken; i++ {
		conn, _, err := g.connect()
		taken = err == nil
		callers = append(callers, conn)
	}
	if taken {
		t.Fatalf("the gateway has taken %d connections with %d descriptors", len(callers), descriptors)
	}
	if g.isReady() {
		t.Errorf("the gateway says that it is ready, but did not take connection %d", len(callers))
	}
	for _, conn := range callers {
		if conn != nil {
			conn.Close()
		}
	}
	end := time.Now().Add(recoveryTime)
	for !g.isReady() && time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
	}
	if !g.isReady() {
		t.Error("the gateway is not ready after the callers have gone")
	}
	if conn, status, err := g.connect(); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v after the callers have gone, want 200", status, err)
	} else {
		conn.Close()
	}
}

// TestConnectionsToTargetsLeaveDescriptorsForCallers has a gateway with few descriptors send requests to many targets. Its idle connections
// must leave descriptors for callers, whose requests are all served.
func TestConnectionsToTargetsLeaveDescriptorsForCallers(t *testing.T) {
	t.Parallel()
	const (
		descriptors = 150
		targets     = 120
		rounds      = 30
		callers     = 40 // at the same time, each on a connection of its own
		answerTime  = 5 * time.Millisecond
	)
	g := startLimitedGateway(t, descriptors, newPlainStore(t, targets, answerTime))
	var mu sync.Mutex
	failures := map[string]int{}
	for range rounds {
		var round sync.WaitGroup
		for range callers {
			round.Go(func() {
				conn, status, err := g.connect()
				if conn != nil {
					defer conn.Close()
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					failures[errNotTaken.Error()]++
				case status != http.StatusOK:
					failures[strconv.Itoa(status)]++
				}
			})
		}
		round.Wait()
	}
	if len(failures) > 0 {
		t.Errorf("requests that were not served: %v", failures)
	}
}

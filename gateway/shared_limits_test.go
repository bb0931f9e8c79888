package gateway_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// TestGatewaysWithoutEnginesShareTheRetryBudget has several gateways send requests of a plain service to targets that fail, in a deployment
// without any engine, whose agents would tell the number of gateways. Their retries together must stay within the budget.
func TestGatewaysWithoutEnginesShareTheRetryBudget(t *testing.T) {
	const (
		gateways = 4
		requests = 240 // within one window
		ratio    = 0.2 // the budget that startGateway sets
		extra    = 50
	)
	g := newGatewayGroup(t)
	var mu sync.Mutex
	arrivals := 0
	for _, id := range []string{"p1", "p2"} {
		target := site.NewTarget(id, func(conn net.Conn, seen *site.ReceivedRequest) bool {
			mu.Lock()
			arrivals++
			mu.Unlock()
			return site.TextResponse(500, "broken")(conn, seen)
		})
		t.Cleanup(target.Close)
		g.store.Put("servers", id, target.RegistryEntry("plain", "ready"))
	}
	for i := range gateways {
		g.startGateway(i)
	}
	time.Sleep(time.Second) // for whatever gateways tell each other
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			g.send(func(n int) string {
				return fmt.Sprintf("GET /safe/a HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: shared-%d\r\nConnection: close\r\n\r\n", callerHost, n)
			})
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	retries, allowed := arrivals-requests, int(ratio*requests+extra)
	if retries > allowed {
		t.Errorf("%d gateways have sent %d of %d requests again within one window, %d are allowed", gateways, retries, requests, allowed)
	}
	if retries <= 0 {
		t.Errorf("%d arrivals of %d requests; want some retries", arrivals, requests)
	}
}

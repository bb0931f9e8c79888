package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/settings"
)

// TestFirstReadAfterAgentsDoesNotWait guards against a gateway that learns a second later than it reckons that its first read was lost: agents that fell silent were relied
// on for nearly all of the time for changes, and the read waited at the store for further ones.
func TestFirstReadAfterAgentsDoesNotWait(t *testing.T) {
	t.Parallel()
	g := newGatewayGroup(t)
	g.configure = func(c *settings.Config) { c.Bounds.ApplyTime = changeBound }
	agentFront := newStoreFront(t, g.store, false)
	g.agentStore = agentFront.address
	var mu sync.Mutex
	var waits []string // of the gateway's polls of the routes
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: g.store.Address()})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if query := r.URL.Query(); query.Get("table") == "op" && query.Has("waitMs") {
			mu.Lock()
			waits = append(waits, query.Get("waitMs"))
			mu.Unlock()
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	g.gatewayStore = strings.TrimPrefix(server.URL, "http://")
	g.addPlainTarget("p1")
	g.startEngines(2, 216)
	g.startGateway(0)
	time.Sleep(3 * time.Second) // until the agents read the store for it
	mu.Lock()
	waits = nil
	mu.Unlock()
	agentFront.cut.Store(true)
	for end := time.Now().Add(2 * changeBound); ; time.Sleep(20 * time.Millisecond) {
		mu.Lock()
		polls := len(waits)
		mu.Unlock()
		if polls >= 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d reads of the routes by the gateway since agents fell silent, 2 wanted", polls)
		}
	}
	if waits[0] != "0" || waits[1] == "0" {
		t.Errorf("the first reads wait %v ms at the store, want none for the first one and some for the second", waits)
	}
}

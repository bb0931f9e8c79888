package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

const (
	// followTime is the time after which gateways that have not used a target that has registered, or still use one that has left, do
	// not follow the registry.
	followTime = 5 * time.Second
	// readTime is longer than the interval between two reads.
	readTime = time.Second
)

// newRelayOnlyStore returns the address of the store for gateways whose reads of the registry fail once cut is set, and the number
// of these.
func newRelayOnlyStore(t *testing.T, store *site.Store) (address string, cut *atomic.Bool, refused *atomic.Int64) {
	t.Helper()
	cut, refused = &atomic.Bool{}, &atomic.Int64{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.Address()})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() && r.URL.Query().Get("table") == "servers" {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), cut, refused
}

// noTarget stands for requests that no target answers.
const noTarget = "none"

// respondent returns the target that answers a request, or noTarget if it fails.
func (g *gatewayGroup) respondent() string {
	answer := g.send(func(n int) string {
		return fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: r%d\r\nConnection: close\r\n\r\n", callerHost, n)
	})
	head, body, found := strings.Cut(answer, "\r\n\r\n")
	if !found || !strings.HasPrefix(head, "HTTP/1.1 200") {
		return noTarget
	}
	return body
}

// wantAnswers waits until requests are answered by the target wanted and by nobody else, and fails if they are not within followTime.
func (g *gatewayGroup) wantAnswers(when, wanted string) {
	g.t.Helper()
	const requests = 24
	for end := time.Now().Add(followTime); ; time.Sleep(20 * time.Millisecond) {
		answers := map[string]int{}
		for range requests {
			answers[g.respondent()]++
		}
		if answers[wanted] == requests {
			return
		}
		if time.Now().After(end) {
			g.t.Fatalf("%s: answers by %.500q, want %s", when, fmt.Sprint(answers), wanted)
		}
	}
}

// TestGatewayFollowsTheRegistryBesideOddEntries has another writer leave odd entries of all kinds among those of the targets. The
// gateways must go on to use targets that register later and to leave out those that have left, and must not use the odd ones.
func TestGatewayFollowsTheRegistryBesideOddEntries(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		agents    int
		relayOnly bool // gateways have the list only from agents once they are ready
	}{
		"the gateway reads the registry": {},
		"agents read for the gateways":   {agents: 2},
		"only agents can read it":        {agents: 2, relayOnly: true},
	}
	first := 140
	for name, c := range cases {
		first += 10
		hosts := first
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayGroup(t)
			address, cut, refused := newRelayOnlyStore(t, g.store)
			g.gatewayStore = address
			g.addPlainTarget("p1")
			g.startEngines(c.agents, hosts)
			g.startGateway(0)
			time.Sleep(1500 * time.Millisecond)
			cut.Store(c.relayOnly)
			g.wantAnswers("before", "p1")

			decoy := site.NewTarget("decoy", site.TextResponse(200, "decoy"))
			t.Cleanup(decoy.Close)
			for _, service := range []string{"plain", "engine"} {
				g.store.PutOddEntries("odd, "+service+", ", decoy.RegistryEntry(service, "ready"))
			}
			time.Sleep(readTime)
			g.addPlainTarget("p2")
			g.store.Remove("servers", "p1")
			g.wantAnswers("p2 registers after the odd entries, p1 leaves", "p2")
			g.addPlainTarget("p3")
			g.store.Remove("servers", "p2")
			g.wantAnswers("p3 registers, p2 leaves", "p3")
			if n := len(decoy.Requests()); n > 0 {
				t.Errorf("%d requests went to the address of the odd entries: %.200q", n, decoy.Requests()[0].RequestLine)
			}
			if c.relayOnly && refused.Load() > 0 {
				t.Logf("%d reads of the gateway were refused", refused.Load())
			}
		})
	}
}

// TestGatewayUsesAnEntryThatIsNoLongerOdd has the only entry of a service be odd, a good one under the same key, and odd again.
func TestGatewayUsesAnEntryThatIsNoLongerOdd(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"born is 2^63-1", "address is with port 0", "slots is negative", "row has a value that is no base64", "coldRemainingMs is 1e300", "value is a nested list"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			g := newGatewayGroup(t)
			target := site.NewTarget("p1", site.TextResponse(200, "p1"))
			t.Cleanup(target.Close)
			entry := target.RegistryEntry("plain", "ready")
			odd, ok := site.OddEntries(entry)[kind]
			if !ok {
				t.Fatal("no such odd entry")
			}
			g.store.PutOdd("p1", odd)
			g.startGateway(0)
			time.Sleep(readTime)
			g.wantAnswers("odd", noTarget)
			g.store.Put("servers", "p1", entry)
			g.wantAnswers("replaced by a good one", "p1")
			g.store.PutOdd("p1", odd)
			time.Sleep(readTime)
			g.wantAnswers("odd again", noTarget)
		})
	}
}

// TestIDOfAnEntryAddsNothingToRequests has the only target of a service registered under ids with line breaks. Ids are part of the
// heads of requests, so that a target would get headers and requests that no caller has sent.
func TestIDOfAnEntryAddsNothingToRequests(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"key has line breaks", "key has a request"} {
		g := newGatewayGroup(t)
		target := site.NewTarget("p1", site.TextResponse(200, "p1"))
		t.Cleanup(target.Close)
		g.store.PutOdd("", site.OddEntries(target.RegistryEntry("plain", "ready"))[kind])
		g.startGateway(0)
		for range 3 {
			g.respondent()
		}
		for _, received := range target.Requests() {
			if received.Header.Get("X-Smuggled") != "" || strings.Contains(received.RequestLine, "smuggled") {
				t.Errorf("%s: the target got %q with the header %q", kind, received.RequestLine, received.Header.Get("X-Smuggled"))
			}
		}
	}
}

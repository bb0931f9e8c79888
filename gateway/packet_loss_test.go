package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/link"
	"gypsumbank/standin/site"
)

// TestPacketLoss loses 30% of the data on the way to both targets once, so that it has to be retransmitted. Responses must
// arrive late but complete, and no request that may run only once may run twice.
func TestPacketLoss(t *testing.T) {
	const (
		requestsPerKind = 12
		minRetransmit   = 200 * time.Millisecond // least time until a lost packet is retransmitted
	)
	d := newDeployment(t)
	d.engineTarget.SetHandler(site.EventStream(10, 5*time.Millisecond, 0))
	for name, target := range map[string]*site.Target{"plain": d.plainTarget, "engine": d.engineTarget} {
		lossyLink, err := link.New(target.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(lossyLink.Close)
		lossyLink.SetLoss(0.3)
		id := map[string]string{"plain": "p1", "engine": "e1"}[name]
		d.store.Put("servers", id, target.RegistryEntryAt(lossyLink.Address(), name, "ready"))
	}
	time.Sleep(2 * time.Second)
	var requests sync.WaitGroup
	start := time.Now()
	for range requestsPerKind {
		for name, rawRequest := range map[string]string{"unsafe": postRequest("sale"), "stream": getRequest("/stream/a", m1Header)} {
			requests.Go(func() {
				response, body, err := d.roundTrip(rawRequest)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("%s: response %v, %v; want 200", name, response, err)
					return
				}
				if name == "stream" && !strings.Contains(body, "token-10") {
					t.Errorf("the stream is incomplete: %q", body)
				}
			})
		}
	}
	requests.Wait()
	if elapsed := time.Since(start); elapsed < minRetransmit {
		t.Errorf("all responses arrived within %s, so no packet was lost", elapsed)
	}
	if n := len(d.plainTarget.Requests()); n != requestsPerKind {
		t.Errorf("%d requests that may run only once ran %d times in all", requestsPerKind, n)
	}
}

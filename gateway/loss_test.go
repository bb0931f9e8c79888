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

// TestPathThatLosesPackets has a third of all pieces of data lost once on the ways to both targets: answers come later, but
// whole, and no request that may run only once runs twice.
func TestPathThatLosesPackets(t *testing.T) {
	const (
		each      = 12
		leastLoss = 200 * time.Millisecond // until a lost packet is sent again
	)
	d := deploy(t)
	d.engine.SetScript(site.Stream(10, 5*time.Millisecond, 0))
	for name, to := range map[string]*site.Target{"plain": d.plain, "engine": d.engine} {
		way, err := link.New(to.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(way.Close)
		way.SetLoss(0.3)
		id := map[string]string{"plain": "p1", "engine": "e1"}[name]
		d.store.Put("servers", id, to.EntryAt(way.Address(), name, "ready"))
	}
	time.Sleep(2 * time.Second)
	var sent sync.WaitGroup
	begun := time.Now()
	for range each {
		for name, text := range map[string]string{"unsafe": post("sale"), "stream": get("/stream/a", modelHeader)} {
			sent.Go(func() {
				response, body, err := d.ask(text)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("%s: answer %v, %v", name, response, err)
					return
				}
				if name == "stream" && !strings.Contains(body, "token-10") {
					t.Errorf("the stream is not whole: %q", body)
				}
			})
		}
	}
	sent.Wait()
	if took := time.Since(begun); took < leastLoss {
		t.Errorf("all answers came within %s; no packet was lost", took)
	}
	if n := len(d.plain.Seen()); n != each {
		t.Errorf("%d requests that may run once ran %d times", each, n)
	}
}

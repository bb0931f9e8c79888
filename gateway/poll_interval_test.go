package gateway_test

import (
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// TestGatewayWithoutAgentsSpacesOutItsReads guards against gateways that start together and each read all targets many times a second until
// agents do it for them.
func TestGatewayWithoutAgentsSpacesOutItsReads(t *testing.T) {
	t.Parallel()
	const (
		watched  = 3 * time.Second
		maxReads = 8 // 12 at an even 250 ms
	)
	g := newGatewayGroup(t)
	target := site.NewTargetAt("127.0.0.1:0", "p0", site.TextResponse(200, "ok"))
	t.Cleanup(target.Close)
	g.store.Put("servers", "p0", target.RegistryEntry("plain", "ready"))
	g.startGateway(0)
	time.Sleep(watched)
	if reads, _ := g.store.RowCalls("servers"); reads == 0 || reads > maxReads {
		t.Errorf("%d reads of all targets within %s of the start, want 1 to %d", reads, watched, maxReads)
	}
}

package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/dialer"
	"gypsumbank/epoch"
	"gypsumbank/fleet"
	"gypsumbank/origin"
	"gypsumbank/registry"
)

// TestForgetsAgentsThatAreGone has the engines of a gateway replaced one after the other, while requests still end at those that have left.
func TestForgetsAgentsThatAreGone(t *testing.T) {
	const seen = 500
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := dialer.New(nil)
	t.Cleanup(func() { d.Close() })
	entry := log.WithField("test", t.Name())
	agents := newAgentClients("gateway-1", 1, d, fleet.New("a"), newRelayedReads(), newCrashes(entry), origin.New(time.Now), epoch.New(), entry)
	target := func(i int) registry.Target {
		return registry.Target{ID: fmt.Sprint("e", i), Address: fmt.Sprintf("127.0.%d.%d:1", i/100, 1+i%100)}
	}
	for i := range seen {
		address := agents.address(target(i).Address)
		agents.setAddresses(map[string]bool{address: true})
		agents.PushUsage(target(i))
		agents.queueOrigins(address, uint64(i))
		if i > 0 {
			agents.PushUsage(target(i - 1))
			agents.queueOrigins(agents.address(target(i-1).Address), uint64(i))
		}
	}
	agents.mu.Lock()
	watched, channels, queues, connected := len(agents.cancelWatch), len(agents.pushUsage), len(agents.queuedOrigins), len(agents.connected)
	agents.mu.Unlock()
	if watched != 1 || channels != 1 || queues != 1 || connected > 1 {
		t.Errorf("after %d agents %d are watched, with %d channels, %d queues and %d connections; want one", seen, watched, channels, queues, connected)
	}
	agents.close()
}

package gateway_test

import (
	"net/http"
	"testing"
	"time"
)

// TestAgentIsNotLostWhileItsEngineIsDown guards against gateways that lose an agent, which also reads the store for them and
// passes on what they tell each other, each time its engine ends.
func TestAgentIsNotLostWhileItsEngineIsDown(t *testing.T) {
	const downtime = 3 * time.Second // longer than a gateway waits for a message of an agent
	d := newDeployment(t)
	defer d.startAgent()()
	time.Sleep(1500 * time.Millisecond)
	earlier := len(d.logHook.AllEntries()) // the agent has started after the gateway
	d.engineTarget.Crash(downtime, func() { d.engineTarget.Load("m1") })
	time.Sleep(downtime + 1500*time.Millisecond)
	for _, entry := range d.logHook.AllEntries()[earlier:] {
		if entry.Message == "agent lost" {
			t.Errorf("agent lost: %v", entry.Data)
		}
	}
	response, _, err := d.roundTrip(getRequest("/stream/a", m1Header))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("response %v, %v after the restart of the engine, want 200", response, err)
	}
}

package gateway

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"gypsumbank/dialer"
	"gypsumbank/epoch"
	"gypsumbank/fleet"
	"gypsumbank/origin"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

func newTestAgents(t *testing.T) *agentClients {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := dialer.New(nil)
	t.Cleanup(func() { d.Close() })
	entry := log.WithField("test", t.Name())
	return newAgentClients("gateway-1", 1, d, fleet.New("a"), newRelayedReads(), newCrashes(entry), origin.New(time.Now), epoch.New(), entry)
}

// TestForgetsAgentsThatAreGone has the engines of a gateway replaced one after the other, while requests still end at those that have left.
func TestForgetsAgentsThatAreGone(t *testing.T) {
	const seen = 500
	agents := newTestAgents(t)
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

// TestFewGatewaysSendTheHeartbeatsOfBefore guards against messages that change where there are at most 8 gateways.
func TestFewGatewaysSendTheHeartbeatsOfBefore(t *testing.T) {
	for _, gateways := range []int{1, 8, 9, 100} {
		agents := newTestAgents(t)
		target := registry.Target{ID: "e", Born: 1, Service: "s", Address: "127.0.0.1:1"}
		agents.fleet.UpdateTargets([]registry.Target{target}, false, time.Now())
		agents.fleet.Observe("e", fleet.Observation{Report: registry.Report{Born: 1}, Watchers: gateways}, time.Now())
		before := &wire.WatcherUpdate{Node: "gateway-1", KeepsHoldings: true, KeepsTargets: true}
		if same := proto.Equal(agents.newHeartbeat(), before); same != (gateways <= maxGatewaysForFastHeartbeat) {
			t.Errorf("%d gateways: heartbeat %v", gateways, agents.newHeartbeat())
		}
	}
}

// TestPromptPartsAreTakenInBothForms covers agents of this release and of an earlier one.
func TestPromptPartsAreTakenInBothForms(t *testing.T) {
	const hash = 0x9e3779b97f4a7c15
	tests := map[string]struct {
		state *wire.TargetState
		want  []fleet.PromptPart
	}{
		"whole hashes":   {&wire.TargetState{Parts: []*wire.PromptPart{{Hash: hash, Tokens: 500}}}, []fleet.PromptPart{{Hash: hash, Tokens: 500}}},
		"packed":         {&wire.TargetState{PartHashes: []uint32{hash & 0xffffffff, 7}, PartTokens: []uint32{500, 0}}, []fleet.PromptPart{{Hash: hash & 0xffffffff, Tokens: 500}, {Hash: 7}}},
		"tokens missing": {&wire.TargetState{PartHashes: []uint32{1, 2}, PartTokens: []uint32{500}}, []fleet.PromptPart{{Hash: 1, Tokens: 500}}},
	}
	for name, test := range tests {
		if got := decodeParts(test.state); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

package agent

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbank/history"
	"gypsumbank/platform"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// relayedIDs returns the ids of the targets that an agent relays, in their order, and checks that their list can be sent.
func relayedIDs(t *testing.T, a *Agent) string {
	t.Helper()
	a.watchers.mu.Lock()
	targets := a.watchers.storeReads.targets
	a.watchers.mu.Unlock()
	if _, err := proto.Marshal(&wire.StoreReads{HasTargets: true, Targets: targets}); err != nil {
		t.Fatalf("the list can't be sent: %v", err)
	}
	var all []string
	for _, target := range targets {
		all = append(all, target.GetId())
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// waitForRelayed waits until an agent relays the targets with the given ids and no others.
func waitForRelayed(t *testing.T, a *Agent, when, want string) {
	t.Helper()
	got := ""
	for range 150 {
		if got = relayedIDs(t, a); got == want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: targets %.500q are relayed, want %q", when, got, want)
}

// TestAgentRelaysTheRegistryBesideOddEntries has another writer leave odd entries of all kinds in the registry and in the rows that the
// agent reads of its own tables.
func TestAgentRelaysTheRegistryBesideOddEntries(t *testing.T) {
	a, store, engine, _ := startTestAgent(t)
	gateway := a.watchers.add()
	beat := func() {
		a.watchers.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "gateway-1", HasDemand: true})
	}
	beat()
	waitForRelayed(t, a, "before", "e1")
	store.PutOddEntries("odd, ", engine.RegistryEntry("llm", "ready"))
	for _, row := range [][3]string{{"quarantine", "", "blocked"}, {"inventories", engine.Address(), "models"}} {
		store.PutRaw(row[0], row[1], row[2], `"%%%"`)
	}
	a.watchers.requestBlocklist()
	time.Sleep(time.Second)
	beat()
	store.Put("servers", "e2", engine.RegistryEntry("llm", "ready"))
	waitForRelayed(t, a, "a target registers after the odd entries", "e1 e2")
	beat()
	store.Remove("servers", "e1")
	waitForRelayed(t, a, "a target leaves", "e2")
}

// TestRelayedSlotsAreThoseOfTheEntry guards against numbers of slots that are others at gateways than at the agent that has read them.
func TestRelayedSlotsAreThoseOfTheEntry(t *testing.T) {
	for _, slots := range []string{"-1", "0", "1", "64", "4294967295", "4294967297", "9223372036854775807"} {
		value := fmt.Sprintf(`{"service":"s","address":"127.0.0.1:80","zone":"a","slots":%s,"state":"ready","sequence":1}`, slots)
		target, err := platform.DecodeTarget("t1", []byte(value))
		if err != nil {
			continue
		}
		w, _ := newTestWatchers()
		w.setTargets([]registry.Target{target}, history.New(1, 1, 1), w.now())
		if relayed := w.storeReads.targets[0].GetSlots(); int(relayed) != target.Slots {
			t.Errorf("%s slots: %d are relayed of %d", slots, relayed, target.Slots)
		}
	}
}

package agent

import (
	"testing"
	"time"

	"gypsumbank/wire"
)

// TestGatewaysHearFromAnAgentWhoseEngineIsDown guards against gateways that lose an agent, with all that it passes on, since
// its engine has ended: it must send heartbeats that name the ended run, and the state with all holdings once the engine is back.
func TestGatewaysHearFromAnAgentWhoseEngineIsDown(t *testing.T) {
	w, clock := newTestWatchers()
	gateway := w.add()
	w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g1", KeepsHoldings: true})
	up := &wire.TargetState{TargetId: "e1", Born: 1, Models: []*wire.HeldModel{{Name: "m1"}}}
	w.publish(up)
	if state := received(w, gateway); state.GetTargetId() != "e1" {
		t.Fatalf("state %v, want that of e1", state)
	}
	ended := &wire.TargetState{EngineDown: true, SameHoldings: true, EndedRun: &wire.EndedRun{TargetId: "e1", Born: 1}}
	for beat := range 5 {
		w.publishDown(ended)
		state := received(w, gateway)
		if !state.GetEngineDown() || state.GetEndedRun().GetTargetId() != "e1" {
			t.Fatalf("heartbeat %d: %v, want the ended run", beat, state)
		}
		w.publishDown(ended)
		if state := received(w, gateway); state != nil {
			t.Fatalf("heartbeat %d is followed by another at once: %v", beat, state)
		}
		clock.advance(fewWatchersHeartbeatInterval)
	}
	late := w.add()
	if state := received(w, late); !state.GetEngineDown() {
		t.Errorf("a gateway that connects now gets %v, want that the engine is down", state)
	}
	clock.advance(time.Second)
	w.publish(&wire.TargetState{TargetId: "e2", Born: 2, Models: []*wire.HeldModel{{Name: "m2"}}})
	if state := received(w, gateway); state.GetTargetId() != "e2" || len(state.GetModels()) != 1 {
		t.Errorf("state %v after the restart, want e2 with its model", state)
	}
}

// TestContentBlockedByOneGatewayReachesAll has three gateways see one crash each with a content in common, and another connect
// after that.
func TestContentBlockedByOneGatewayReachesAll(t *testing.T) {
	w, clock := newTestWatchers()
	w.publish(&wire.TargetState{TargetId: "e1", Born: 1})
	var gateways []*watcher
	for range 3 {
		gateways = append(gateways, w.add())
	}
	for run, gateway := range gateways {
		clock.advance(time.Second)
		w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", Quarantine: &wire.Quarantine{
			Crashes: []*wire.Crash{{Run: uint64(run), Contents: []*wire.RequestContent{{Hash: 77}, {Hash: uint64(run)}}}},
		}})
	}
	gateways = append(gateways, w.add())
	for i, gateway := range gateways {
		entries := received(w, gateway).GetQuarantine().GetEntries()
		if len(entries) != 1 || entries[0].GetContent() != 77 || !entries[0].GetBlocked() {
			t.Errorf("gateway %d is told %v, want that content 77 is blocked", i, entries)
		}
	}
}

package agent

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/history"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// TestSentBytesByGateways counts what an agent that reads the store sends to 10, 30 and 100 gateways, of deployments with 30, 100 and
// 300 VMs: what it sends to one of them must not grow. Whole lists of targets at each change would grow with the square of the VMs, and
// intervals that don't depend on the number of gateways in proportion to it.
func TestSentBytesByGateways(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]engineLoad{"mean load": meanLoad, "busy engine": busyLoad, "busy engine, reads of the store": busyRelayLoad} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			least, _, _ := sent(10, load, thisRelease())
			for _, gateways := range []int{10, 30, 100} {
				before, messagesBefore, partsBefore := sent(gateways, load, presentRelease())
				bytes, messages, parts := sent(gateways, load, thisRelease())
				t.Logf(name+", %d gateways: %.0f B/s, %.0f messages/s and %.1f parts/s to each in the present release; %.0f B/s, %.0f messages/s and %.1f parts/s now",
					gateways, before, messagesBefore, partsBefore/float64(gateways), bytes, messages, parts/float64(gateways))
				if load == meanLoad {
					whole, _, _ := sent(gateways, load, wholeLists())
					t.Logf("%d gateways: %.0f B/s with whole lists of targets", gateways, whole)
				}
				if bound := least * float64(gateways) / 10; bytes > bound {
					t.Errorf("%.0f B/s at %d gateways, want at most %.0f: %.0f at 10 gateways, by the number of gateways", bytes, gateways, bound, least)
				}
			}
		})
	}
}

// TestBusiestAgentGrowsBySquareRoot counts what the agent beside a busy engine sends, which is the busiest. The target for its growth, with 30 to 300
// VMs, is the square root. Prompt parts and lists of what the engine holds, which each gateway needs, would grow with the number of gateways.
func TestBusiestAgentGrowsBySquareRoot(t *testing.T) {
	t.Parallel()
	most, _, _ := sent(100, busyLoad, thisRelease())
	for _, gateways := range []float64{10, 30} {
		bytes, _, _ := sent(int(gateways), busyLoad, thisRelease())
		growth, bound := most/bytes, math.Sqrt(100/gateways)
		t.Logf("from %.0f to 100 gateways: growth %.2f, the square root is %.2f", gateways, growth, bound)
		if growth > bound {
			t.Errorf("%.0f B/s at %.0f gateways and %.0f at 100: growth %.2f, want at most %.2f", bytes, gateways, most, growth, bound)
		}
	}
}

// TestChangesOfTargetsAddUp draws changes of the registry, gateways that miss messages and such that connect again. What a gateway has
// from whole lists and changes must be what the agent has read, and a change must not be sent as a whole list.
func TestChangesOfTargetsAddUp(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w, clock := newTestWatchers()
		listed := map[string]registry.Target{}
		read := func() {
			targets := slices.Collect(maps.Values(listed))
			w.setTargets(targets, history.New(1, 1, 1), w.now())
		}
		var gateway *watcher
		known := map[string]bool{} // by id, whether it drains
		revision := uint64(0)
		connect := func() {
			if gateway != nil {
				w.remove(gateway)
			}
			gateway, known, revision = w.add(), map[string]bool{}, 0
			w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", HasDemand: true, KeepsTargets: true})
		}
		receive := func() {
			state := received(w, gateway)
			reads := state.GetStoreReads()
			if !reads.GetHasTargets() {
				return
			}
			if base := reads.GetBaseRevision(); base != revision && base != 0 {
				t.Fatalf("changes to revision %d for a gateway that has revision %d", base, revision)
			}
			if (reads.GetBaseRevision() == 0) != (revision == 0 || reads.GetRevision() >= revision+keptRevisions) {
				t.Fatalf("base revision %d, the gateway has revision %d of %d", reads.GetBaseRevision(), revision, reads.GetRevision())
			}
			if reads.GetBaseRevision() == 0 {
				clear(known)
			}
			for _, id := range reads.GetRemovedIds() {
				delete(known, id)
			}
			for _, target := range reads.GetTargets() {
				known[target.GetId()] = target.GetDraining()
			}
			revision = reads.GetRevision()
		}
		w.setRoutesVersion(1, w.now())
		read()
		w.publish(&wire.TargetState{TargetId: "t"})
		connect()
		id := func(t *rapid.T) string { return fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"a target is listed":         func(t *rapid.T) { id := id(t); listed[id] = registry.Target{ID: id} },
			"a target drains":            func(t *rapid.T) { id := id(t); listed[id] = registry.Target{ID: id, Draining: true} },
			"a target is removed":        func(t *rapid.T) { delete(listed, id(t)) },
			"the agent reads":            func(*rapid.T) { read() },
			"many changes":               func(*rapid.T) { manyChanges(w, listed) },
			"the gateway receives":       func(*rapid.T) { receive() },
			"the gateway connects again": func(*rapid.T) { connect() },
			"the gateway sends heartbeat": func(*rapid.T) {
				w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", HasDemand: true, KeepsTargets: true})
			},
		})
		read()
		clock.advance(time.Second)
		w.publish(&wire.TargetState{TargetId: "t"})
		receive()
		want := map[string]bool{}
		for id, target := range listed {
			want[id] = target.Draining
		}
		if !maps.Equal(known, want) {
			t.Fatalf("the gateway has %v, want %v", known, want)
		}
	})
}

// manyChanges has more revisions begin than the agent knows changes since.
func manyChanges(w *watchers, listed map[string]registry.Target) {
	for i := range keptRevisions + 1 {
		changed := maps.Clone(listed)
		changed["many"] = registry.Target{ID: "many", Born: int64(i)}
		w.setTargets(slices.Collect(maps.Values(changed)), history.New(1, 1, 1), w.now())
	}
}

// TestGatewaysWithoutChangesGetWholeLists covers a gateway of an earlier release beside one of this.
func TestGatewaysWithoutChangesGetWholeLists(t *testing.T) {
	t.Parallel()
	w, _ := newTestWatchers()
	gateway := w.add()
	w.handleHeartbeat(gateway, &wire.WatcherUpdate{Node: "g", HasDemand: true})
	w.setRoutesVersion(1, w.now())
	w.publish(&wire.TargetState{TargetId: "t"})
	for i := range 3 {
		w.setTargets([]registry.Target{{ID: "a"}, {ID: "b", Born: int64(i)}}, history.New(1, 1, 1), w.now())
		if reads := received(w, gateway).GetStoreReads(); reads.GetBaseRevision() != 0 || len(reads.GetTargets()) != 2 {
			t.Errorf("store reads %v, want all targets", reads)
		}
	}
}

// TestChangeOfTargetsIsSentInTime covers many gateways: that a target leaves is sent at once, and any other change with the next state,
// which must come within maxHeartbeatInterval though the load does not change.
func TestChangeOfTargetsIsSentInTime(t *testing.T) {
	t.Parallel()
	w, clock := newTestWatchers()
	var gateways []*watcher
	heartbeats := func() {
		for i, g := range gateways {
			w.handleHeartbeat(g, &wire.WatcherUpdate{Node: fmt.Sprint("g", i), HasDemand: true, KeepsTargets: true})
		}
	}
	for range 100 {
		gateways = append(gateways, w.add())
	}
	heartbeats()
	w.setRoutesVersion(1, w.now())
	w.setTargets([]registry.Target{{ID: "a"}}, history.New(1, 1, 1), w.now())
	w.publish(&wire.TargetState{TargetId: "t"})
	received(w, gateways[7])
	w.setTargets([]registry.Target{{ID: "a"}, {ID: "b"}}, history.New(1, 2, 2), w.now())
	waited := time.Duration(0)
	for received(w, gateways[7]).GetStoreReads().GetTargets() == nil && waited < time.Second {
		clock.advance(idleReportInterval)
		waited += idleReportInterval
		w.publish(&wire.TargetState{TargetId: "t"})
	}
	if waited > maxHeartbeatInterval {
		t.Errorf("a new target was sent after %s, want at most %s", waited, maxHeartbeatInterval)
	}
	heartbeats()
	w.setTargets([]registry.Target{{ID: "a", Draining: true}, {ID: "b"}}, history.New(1, 3, 3), w.now())
	if reads := received(w, gateways[7]).GetStoreReads(); len(reads.GetTargets()) != 1 || !reads.GetTargets()[0].GetDraining() {
		t.Errorf("store reads %v, want that the target drains at once", reads)
	}
	w.setTargets([]registry.Target{{ID: "b"}}, history.New(1, 4, 4), w.now())
	if reads := received(w, gateways[7]).GetStoreReads(); len(reads.GetRemovedIds()) != 1 {
		t.Errorf("store reads %v, want that the target is removed at once", reads)
	}
}

// TestNewestStateGoesOutWithAChangeOfLoad covers many gateways whose requests change the load more often than states are due: each message
// must have what the engine has last reported, not what it reported before the first of these changes.
func TestNewestStateGoesOutWithAChangeOfLoad(t *testing.T) {
	t.Parallel()
	w, clock := newTestWatchers()
	var gateways []*watcher
	for range 30 {
		gateways = append(gateways, w.add())
	}
	running, oldest := 0, 0
	for n := range 200 {
		clock.advance(idleReportInterval / 2)
		for i, g := range gateways {
			w.handleHeartbeat(g, &wire.WatcherUpdate{Node: fmt.Sprint("g", i), Uses: []*wire.ModelUse{{Model: "m", Requests: uint32(n % 4)}}})
		}
		if n%2 == 0 {
			running++
			w.publish(&wire.TargetState{TargetId: "t", Running: uint32(running * runningBucket)})
		}
		if state := received(w, gateways[0]); state != nil {
			oldest = max(oldest, running-int(state.GetRunning())/runningBucket)
		}
	}
	if oldest > 1 {
		t.Errorf("a state was %d reports old, want at most 1", oldest)
	}
}

package gateway

import (
	"testing"
	"time"

	"gypsumbank/wire"
)

// newStoreReads returns what an agent sends after it has read one target.
func newStoreReads(revision uint64, age time.Duration, draining bool) *wire.StoreReads {
	return &wire.StoreReads{
		RoutesVersion: 1, Revision: revision, HasTargets: true, AgeMs: uint32(age.Milliseconds()), FirstVersion: 1, LastVersion: 1,
		Targets: []*wire.RegisteredTarget{{Id: "a", Draining: draining}},
	}
}

func TestLatestRelayedReadIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := newRelayedReads()
	if relay.isFresh(now) {
		t.Error("isFresh is true before the first read")
	}
	relay.record("late", newStoreReads(9, 100*time.Millisecond, true), now)
	relay.record("early", newStoreReads(4, 600*time.Millisecond, false), now)
	read, ok := relay.newTargets()
	if !ok || !read.targets[0].Draining {
		t.Errorf("targets %+v, %v; want the draining target of the later read", read.targets, ok)
	}
	if _, again := relay.newTargets(); again {
		t.Error("the same targets were returned twice")
	}
	if !relay.isFresh(now.Add(time.Second)) || relay.isFresh(now.Add(2*time.Second)) {
		t.Error("want isFresh to be true until 1.5 s after the latest read and false afterwards")
	}
	relay.remove("late")
	if read, ok := relay.newTargets(); !ok || read.targets[0].Draining {
		t.Errorf("targets %+v, %v; want those of the agent that is left", read.targets, ok)
	}
}

// TestReadAfterMissedRevisionIsIgnored misses the message that had the targets of a new revision. The targets of the earlier
// revision must not count as fresh.
func TestReadAfterMissedRevisionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := newRelayedReads()
	relay.record("a", newStoreReads(1, 0, false), now)
	relay.record("a", &wire.StoreReads{RoutesVersion: 1, Revision: 2, FirstVersion: 1, LastVersion: 1}, now.Add(3*time.Second))
	if relay.isFresh(now.Add(3 * time.Second)) {
		t.Error("isFresh is true although the targets of the current revision are missing")
	}
}

// TestReadOfARestartedAgentIsUsed has the agent restart while a target leaves: the new process counts its revisions from
// the start, so that its first list has the number of the one that the gateway took from the process before.
func TestReadOfARestartedAgentIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := newRelayedReads()
	relay.record("a", newStoreReads(1, 0, false), now)
	if _, ok := relay.newTargets(); !ok {
		t.Fatal("the first list was not returned")
	}
	relay.remove("a")
	relay.record("a", newStoreReads(1, 0, true), now.Add(time.Second))
	if read, ok := relay.newTargets(); !ok || !read.targets[0].Draining {
		t.Errorf("targets %+v, %v; want those that the restarted agent has read", read.targets, ok)
	}
}

// TestReadWithoutAVersionIsIgnored guards against a gateway that relies on an agent of an earlier release, whose reads can't be put in
// order and would never be put in force.
func TestReadWithoutAVersionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := newRelayedReads()
	read := newStoreReads(1, 0, false)
	read.FirstVersion, read.LastVersion = 0, 0
	relay.record("a", read, now)
	if _, ok := relay.newTargets(); ok || relay.isFresh(now) {
		t.Error("a read that does not tell its place in the store's history is relied on")
	}
}

package gateway

import (
	"errors"
	"maps"
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
	_ = relay.record("late", newStoreReads(9, 100*time.Millisecond, true), now)
	_ = relay.record("early", newStoreReads(4, 600*time.Millisecond, false), now)
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
	_ = relay.record("a", newStoreReads(1, 0, false), now)
	if err := relay.record("a", &wire.StoreReads{RoutesVersion: 1, Revision: 2, FirstVersion: 1, LastVersion: 1}, now.Add(3*time.Second)); !errors.Is(err, errTargetsMissing) {
		t.Errorf("error %v, want errTargetsMissing, so that the gateway asks for the targets again", err)
	}
	if relay.isFresh(now.Add(3 * time.Second)) {
		t.Error("isFresh is true although the targets of the current revision are missing")
	}
}

// TestReadOfARestartedAgentIsUsed has the agent restart while a target leaves: the new process counts its revisions from
// the start, so that its first list has the number of the one that the gateway took from the process before.
func TestReadOfARestartedAgentIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := newRelayedReads()
	_ = relay.record("a", newStoreReads(1, 0, false), now)
	if _, ok := relay.newTargets(); !ok {
		t.Fatal("the first list was not returned")
	}
	relay.remove("a")
	_ = relay.record("a", newStoreReads(1, 0, true), now.Add(time.Second))
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
	_ = relay.record("a", read, now)
	if _, ok := relay.newTargets(); ok || relay.isFresh(now) {
		t.Error("a read that does not tell its place in the store's history is relied on")
	}
}

// TestChangesOfTargetsAreApplied covers an agent that sends what has changed since the revision that it sent last. The list that was
// returned before must stay as it was, as it may still be read.
func TestChangesOfTargetsAreApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	reads := func(base, revision uint64, removed []string, targets ...*wire.RegisteredTarget) *wire.StoreReads {
		return &wire.StoreReads{
			RoutesVersion: 1, Revision: revision, BaseRevision: base, HasTargets: true, FirstVersion: int64(revision), LastVersion: int64(revision), Targets: targets, RemovedIds: removed,
		}
	}
	relay := newRelayedReads()
	record := func(storeReads *wire.StoreReads, want map[string]bool) {
		t.Helper()
		if err := relay.record("a", storeReads, now); err != nil {
			t.Fatal(err)
		}
		read, _ := relay.newTargets()
		got := map[string]bool{}
		for _, target := range read.targets {
			got[target.ID] = target.Draining
		}
		if !maps.Equal(got, want) || len(read.targets) != len(want) {
			t.Errorf("targets %+v, want %v", read.targets, want)
		}
	}
	record(reads(0, 1, nil, &wire.RegisteredTarget{Id: "a"}, &wire.RegisteredTarget{Id: "b"}), map[string]bool{"a": false, "b": false})
	first := relay.reads["a"].targets
	record(reads(1, 2, nil, &wire.RegisteredTarget{Id: "a", Draining: true}), map[string]bool{"a": true, "b": false})
	record(reads(2, 5, []string{"a"}, &wire.RegisteredTarget{Id: "c"}), map[string]bool{"b": false, "c": false})
	record(reads(5, 6, nil), map[string]bool{"b": false, "c": false})
	if len(first) != 2 || first[0].Draining {
		t.Errorf("the first list is now %+v", first)
	}
	if err := relay.record("a", reads(3, 7, nil, &wire.RegisteredTarget{Id: "d"}), now); !errors.Is(err, errTargetsMissing) {
		t.Errorf("error %v for changes to a revision that is not known, want errTargetsMissing", err)
	}
	record(reads(0, 7, nil, &wire.RegisteredTarget{Id: "d"}), map[string]bool{"d": false})
}

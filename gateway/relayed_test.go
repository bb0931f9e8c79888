package gateway

import (
	"testing"
	"time"

	"gypsumbank/wire"
)

func storeReads(revision uint64, age time.Duration, draining bool) *wire.StoreReads {
	return &wire.StoreReads{
		RoutesVersion: 1, Revision: revision, HasTargets: true, AgeMs: uint32(age.Milliseconds()),
		Targets: []*wire.RegisteredTarget{{Id: "a", Draining: draining}},
	}
}

func TestLatestRelayedReadCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newRelayed()
	if b.fresh(now) {
		t.Error("relayed reads are fresh before the first")
	}
	b.take("late", storeReads(9, 100*time.Millisecond, true), now)
	b.take("early", storeReads(4, 600*time.Millisecond, false), now)
	targets, _, ok := b.targets()
	if !ok || !targets[0].Draining {
		t.Errorf("targets %+v, %v; an earlier read must not undo a drain", targets, ok)
	}
	if _, _, again := b.targets(); again {
		t.Error("the same targets are handed on twice")
	}
	if !b.fresh(now.Add(time.Second)) || b.fresh(now.Add(2*time.Second)) {
		t.Error("relayed reads are fresh for 1.5 s after the latest")
	}
	b.forget("late")
	if targets, _, ok := b.targets(); !ok || targets[0].Draining {
		t.Errorf("targets %+v, %v; what is left is the read of the other agent", targets, ok)
	}
}

func TestReadAfterALostOneIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newRelayed()
	b.take("a", storeReads(1, 0, false), now)
	b.take("a", &wire.StoreReads{RoutesVersion: 1, Revision: 2}, now.Add(3*time.Second))
	if b.fresh(now.Add(3 * time.Second)) {
		t.Error("targets of an earlier revision count as fresh")
	}
}

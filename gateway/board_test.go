package gateway

import (
	"testing"
	"time"

	"gypsumbank/wire"
)

func bulletin(revision uint64, age time.Duration, draining bool) *wire.Bulletin {
	return &wire.Bulletin{
		RoutesVersion: 1, Revision: revision, HasTargets: true, AgeMs: uint32(age.Milliseconds()),
		Targets: []*wire.RegisteredTarget{{Id: "a", Draining: draining}},
	}
}

func TestBoardTakesTheLatestRead(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBoard()
	if b.fresh(now) {
		t.Error("a board without reads is fresh")
	}
	b.take("late", bulletin(9, 100*time.Millisecond, true), now)
	b.take("early", bulletin(4, 600*time.Millisecond, false), now)
	targets, _, ok := b.targets()
	if !ok || !targets[0].Draining {
		t.Errorf("targets %+v, %v; an earlier read must not undo a drain", targets, ok)
	}
	if _, _, again := b.targets(); again {
		t.Error("the same targets are handed on twice")
	}
	if !b.fresh(now.Add(time.Second)) || b.fresh(now.Add(2*time.Second)) {
		t.Error("a board is fresh for 1.5 s after its latest read")
	}
	b.forget("late")
	if targets, _, ok := b.targets(); !ok || targets[0].Draining {
		t.Errorf("targets %+v, %v; what is left is the read of the other agent", targets, ok)
	}
}

func TestBoardIgnoresABulletinAfterALostOne(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBoard()
	b.take("a", bulletin(1, 0, false), now)
	b.take("a", &wire.Bulletin{RoutesVersion: 1, Revision: 2}, now.Add(3*time.Second))
	if b.fresh(now.Add(3 * time.Second)) {
		t.Error("targets of an earlier revision count as fresh")
	}
}

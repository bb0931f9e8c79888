package departure_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumbank/departure"
	"gypsumbank/epoch"
	"gypsumbank/registry"
)

// read is one read of the registry, at a second of the test.
type read struct {
	second  int
	epoch   epoch.Epoch
	targets []registry.Target
}

func ready(ids ...string) []registry.Target {
	var targets []registry.Target
	for _, id := range ids {
		targets = append(targets, registry.Target{ID: id, Born: 1})
	}
	return targets
}

func draining(id string) registry.Target { return registry.Target{ID: id, Born: 1, Draining: true} }

// describe returns the ids of targets, with a minus before those that drain.
func describe(targets []registry.Target) string {
	text := ""
	for _, target := range targets {
		if target.Draining {
			text += "-"
		}
		text += target.ID
	}
	return text
}

// TestReadsAfterARestore guards against a store that brings targets back which had left before it came back from an older copy.
func TestReadsAfterARestore(t *testing.T) {
	cases := map[string]struct {
		reads []read
		want  string // of the last read
	}{
		"removed, listed by the copy":       {[]read{{0, 1, ready("a", "b")}, {1, 1, ready("a")}, {4, 2, ready("a", "b")}}, "a"},
		"removed, listed long after":        {[]read{{0, 1, ready("a", "b")}, {1, 1, ready("a")}, {4, 2, ready("a", "b")}, {15, 2, ready("a", "b")}}, "ab"},
		"removed and back in the same copy": {[]read{{0, 1, ready("a", "b")}, {1, 1, ready("a")}, {4, 1, ready("a", "b")}}, "ab"},
		"draining, ready in the copy":       {[]read{{0, 1, append(ready("a"), draining("b"))}, {4, 2, ready("a", "b")}, {9, 2, ready("a", "b")}}, "a-b"},
		"ready again in the same copy":      {[]read{{0, 1, append(ready("a"), draining("b"))}, {1, 1, ready("a", "b")}}, "ab"},
		"missing in the copy":               {[]read{{0, 1, ready("a", "b")}, {4, 2, ready("a")}, {5, 2, ready("a", "b")}}, "ab"},
		"another run of one that left":      {[]read{{0, 1, ready("a", "b")}, {1, 1, ready("a")}, {4, 2, []registry.Target{{ID: "b", Born: 2}}}}, "b"},
		"store without epochs":              {[]read{{0, 0, ready("a", "b")}, {1, 0, ready("a")}, {2, 0, ready("a", "b")}}, "ab"},
		"first read of a process":           {[]read{{0, 7, ready("a", "b")}}, "ab"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := departure.New(func() time.Time { return now })
			for i, r := range c.reads {
				now = time.Unix(1000+int64(r.second), 0)
				targets, restored, ok := table.Correct(r.targets, r.epoch)
				if wantRestored := i > 0 && r.epoch != c.reads[i-1].epoch; !ok || restored != wantRestored {
					t.Fatalf("read %d: restored %v, ok %v", i, restored, ok)
				}
				if got := describe(targets); i == len(c.reads)-1 && got != c.want {
					t.Errorf("targets %q, want %q", got, c.want)
				}
			}
		})
	}
}

// TestReadFromBeforeARestoreIsNotUsed has an answer of the earlier store arrive after one of the restored store.
func TestReadFromBeforeARestoreIsNotUsed(t *testing.T) {
	table := departure.New(time.Now)
	table.Correct(ready("a"), 2)
	if _, _, ok := table.Correct(ready("a", "b"), 1); ok {
		t.Error("a read from before the restore was used")
	}
}

// TestTableIsBounded has many runs leave and come.
func TestTableIsBounded(t *testing.T) {
	const runs, bound = 2300, 2048
	now := time.Unix(1000, 0)
	table := departure.New(func() time.Time { return now })
	for i := range runs {
		now = now.Add(time.Millisecond)
		table.Correct(ready(fmt.Sprint(i)), 1)
	}
	var all []registry.Target
	for i := range runs {
		all = append(all, ready(fmt.Sprint(i))...)
	}
	kept, _, _ := table.Correct(all, 2)
	if left := runs - len(kept); left > bound || left < bound-1 {
		t.Errorf("%d runs are remembered, want %d", left, bound)
	}
}

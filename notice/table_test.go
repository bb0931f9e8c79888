package notice_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/notice"
	"gypsumbank/registry"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	target = registry.Target{ID: "t", Born: 1}
)

// at returns a time of a test in ms after its start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func rest(ms int) registry.Notice {
	return registry.Notice{Rest: time.Duration(ms) * time.Millisecond}
}

// TestTargetIsLeftAloneForItsRest has a target ask for rests. After one it must get a single request, and more only once it has
// accepted that or its outcome has stayed unknown for long.
func TestTargetIsLeftAloneForItsRest(t *testing.T) {
	type step struct {
		ms      int
		records registry.Notice // of an answer
		sentMs  int             // when the request of that answer was sent
		answers bool            // an answer came
		want    bool            // whether a request may be sent after that
	}
	cases := map[string][]step{
		"during and after":                 {{ms: 0, records: rest(1000), answers: true}, {ms: 999}, {ms: 1000, want: true}},
		"one trial":                        {{ms: 0, records: rest(1000), answers: true}, {ms: 1000, want: true}, {ms: 1001}, {ms: 1400}},
		"accepted":                         {{ms: 0, records: rest(1000), answers: true}, {ms: 1000, want: true}, {ms: 1020, sentMs: 1000, answers: true, want: true}, {ms: 1021, want: true}},
		"refused again":                    {{ms: 0, records: rest(1000), answers: true}, {ms: 1000, want: true}, {ms: 1020, sentMs: 1000, records: rest(1000), answers: true}, {ms: 2019}, {ms: 2020, want: true}},
		"no outcome":                       {{ms: 0, records: rest(1000), answers: true}, {ms: 1000, want: true}, {ms: 1499}, {ms: 1501, want: true}, {ms: 1502}},
		"accepted what was sent before it": {{ms: 0, records: rest(1000), answers: true}, {ms: 10, sentMs: -5, answers: true}, {ms: 999}},
		"a shorter one does not end it":    {{ms: 0, records: rest(1000), answers: true}, {ms: 10, sentMs: -5, records: rest(100), answers: true}, {ms: 999}, {ms: 1000, want: true}},
		"a late answer to an earlier request in it": {{ms: 0, records: rest(1000), answers: true}, {ms: 1100, sentMs: -5, answers: true, want: true}, {ms: 1101}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			table := notice.New()
			for i, s := range steps {
				if s.answers {
					table.Record(target, s.records, at(s.sentMs), 1, at(s.ms))
				}
				if got := table.Take(target, 3, at(s.ms)); got != s.want {
					t.Errorf("step %d, %d ms: may send %v, want %v", i, s.ms, got, s.want)
				}
			}
		})
	}
}

// TestWaitForTheRestIsHonest draws rests, answers and times. After the time that Wait returns, and not before, a request is allowed.
func TestWaitForTheRestIsHonest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := notice.New(), start
		for range 20 {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "answer") {
				table.Record(target, rest(rapid.SampledFrom([]int{0, 0, 300, 1200}).Draw(t, "rest")), now.Add(-20*time.Millisecond), 1, now)
			}
			wait := table.Wait(target, 3, now)
			if wait > 0 && table.Take(target, 3, now) {
				t.Fatal("a request is allowed before the wait")
			}
			now = now.Add(wait)
			if !table.Take(target, 3, now) {
				t.Fatalf("no request is allowed after the wait of %s", wait)
			}
		}
	})
}

// TestRestBindsOnlyWhileItLasts has a request find a resting target, which then accepts one.
func TestRestBindsOnlyWhileItLasts(t *testing.T) {
	table := notice.New()
	table.Record(target, rest(1000), at(-5), 1, at(0))
	if table.Binds(target, at(10)) {
		t.Error("binds although nothing was to be sent")
	}
	table.Miss(target, at(20))
	if !table.Binds(target, at(30)) {
		t.Error("does not bind")
	}
	table.Record(target, registry.Notice{}, at(1000), 1, at(1010))
	if table.Binds(target, at(1020)) {
		t.Error("binds after the target has accepted a request")
	}
}

// TestNoticesHoldForOneRun has a target start again under its id.
func TestNoticesHoldForOneRun(t *testing.T) {
	table := notice.New()
	change := table.Record(target, registry.Notice{Leaving: true, Rest: time.Second}, at(0), 1, at(0))
	again := table.Record(target, registry.Notice{Leaving: true}, at(1), 1, at(2))
	next := registry.Target{ID: target.ID, Born: 2}
	if !change.Leaving || !change.Rest || again.Leaving || !table.Leaving(target) || table.Leaving(next) || table.Wait(next, 1, at(3)) > 0 {
		t.Errorf("changes %+v, %+v, leaving %v and %v", change, again, table.Leaving(target), table.Leaving(next))
	}
}

// TestTableIsBounded has more runs say something than are kept, and then all be silent for long.
func TestTableIsBounded(t *testing.T) {
	const runs, bound = 4500, 4096
	table := notice.New()
	kept := func() int {
		n := 0
		for i := range runs {
			if table.Leaving(registry.Target{ID: fmt.Sprint(i)}) {
				n++
			}
		}
		return n
	}
	for i := range runs {
		table.Record(registry.Target{ID: fmt.Sprint(i)}, registry.Notice{Leaving: true}, at(i), 1, at(i))
	}
	if n := kept(); n > bound || n < bound-1 {
		t.Errorf("%d runs are kept, want %d", n, bound)
	}
	table.Record(target, registry.Notice{Leaving: true}, at(0), 1, start.Add(time.Hour))
	if n := kept(); n > 0 {
		t.Errorf("%d runs are kept an hour later", n)
	}
}

// TestFullTableIsSmall measures a full table. A node may spend 256 MB for control; a hundredth of that is for this.
func TestFullTableIsSmall(t *testing.T) {
	const runs, maxTableBytes = 4096, 256 << 20 / 100
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := notice.New()
	for i := range runs {
		said := registry.Notice{Leaving: true, Rest: time.Minute, Limit: registry.RequestLimit{Named: true, PerSecond: 1}}
		table.Record(registry.Target{ID: fmt.Sprintf("i-%010x", i)}, said, at(i), 3, at(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("a full table takes %d KB", used>>10)
	if used > maxTableBytes {
		t.Errorf("a full table takes %d bytes, want at most %d", used, maxTableBytes)
	}
	runtime.KeepAlive(table)
}

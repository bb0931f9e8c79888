package quota

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// outlookStep is one step in the life of an account: a request, with what keepers answer to its calls.
type outlookStep struct {
	cost    float64
	granted float64
	left    float64
	kind    int // 0 for an answer, 1 for none, 2 for a call that stays in progress
	after   time.Duration
}

// play plays a step.
func (s outlookStep) play(a *Account, now time.Time) {
	a.Begin(s.cost, now)
	for ask, ok := a.Next(now); ok && s.kind != 2; ask, ok = a.Next(now) {
		if s.kind == 1 {
			a.Failed(ask, now)
			continue
		}
		a.Done(ask, Reply{Granted: s.granted, Lifetime: grantLifetime, Left: s.left, Wait: 100 * time.Millisecond}, now)
	}
	a.TakeDecided()
}

// TestOutlookIsWhatHappens guards against an outlook that differs from what becomes of the next request, and against one that changes the
// account.
func TestOutlookIsWhatHappens(t *testing.T) {
	t.Parallel()
	seen := map[Prospect]int{}
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) outlookStep {
			return outlookStep{
				cost: rapid.Float64Range(1, 20_000).Draw(t, "cost"), granted: rapid.SampledFrom([]float64{0, 100, 5000, 30_000}).Draw(t, "granted"), left: rapid.Float64Range(-20_000, 20_000).Draw(t, "left"),
				kind: rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 1, 2}).Draw(t, "kind"), after: time.Duration(rapid.IntRange(0, 800).Draw(t, "after")) * time.Millisecond,
			}
		}), 0, 6).Draw(t, "steps")
		asked, untouched := newTestAccount(), newTestAccount()
		now := testStart
		for _, step := range steps {
			step.play(asked, now)
			step.play(untouched, now)
			now = now.Add(step.after)
		}
		cost := rapid.Float64Range(1, 20_000).Draw(t, "next")
		outlook := asked.Outlook(cost, now)
		if !reflect.DeepEqual(asked, untouched) {
			t.Fatalf("account changed to %+v from %+v", asked, untouched)
		}
		r := asked.Begin(cost, now)
		ask, calls := asked.Next(now)
		happened := map[Prospect]bool{
			Covered:            r.State == Admitted,
			ToBeAsked:          calls && r.State == Waiting && ask.Keeper == outlook.Keeper,
			ToBeRefused:        r.State == Refused,
			WithoutKeeper:      r.State == Unreachable,
			RefusedMomentarily: r.State == Refused || r.State == Unreachable,
			BehindOthers:       r.State == Waiting && !calls,
		}
		if !happened[outlook.Prospect] {
			t.Fatalf("outlook %+v (%s), but the request is %s and asks: %v", outlook, outlook.Prospect, r.State, calls)
		}
		seen[outlook.Prospect]++
	})
	t.Log(seen)
	if len(seen) < 4 {
		t.Errorf("only %d kinds of outlooks were drawn", len(seen))
	}
}

package promptclass_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/promptclass"
)

var start = time.Unix(1000, 0)

// TestGatewaysAgreeOnTheShare has 30 gateways draw the requests of a deployment, five a second each. It guards against gateways that divide
// holders differently, and against a division that changes all the time, as each sees a different sample.
func TestGatewaysAgreeOnTheShare(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		longShare float64 // of the requests
		want      promptclass.Share
	}{
		"half of the prompts are long":     {0.515, 1},
		"one in ten":                       {0.1, 3},
		"one in thirty":                    {0.03, 4},
		"hardly any long ones":             {0.001, 0},
		"no long ones":                     {0, 0},
		"hardly any short ones":            {0.9995, 0},
		"seven times as many long prompts": {0.88, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for gateway := range uint64(30) {
				random := rand.New(rand.NewPCG(gateway, 1))
				mix := promptclass.NewMix()
				now := start
				for ; now.Before(start.Add(5 * time.Minute)); now = now.Add(200 * time.Millisecond) {
					if random.Float64() < c.longShare {
						mix.Add(9190, true, now)
					} else {
						mix.Add(826, false, now)
					}
				}
				if got := mix.Share(); got != c.want {
					t.Errorf("gateway %d: share %d, want %d", gateway, got, c.want)
				}
			}
		})
	}
}

// TestShareChangesRarely guards against holders that change their class again and again because the mix is near a bound.
func TestShareChangesRarely(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 2))
	mix, last, changes := promptclass.NewMix(), promptclass.Share(1), 0
	for i := range 5 * 600 { // ten minutes
		isLong := random.Float64() < 0.13 // 0.6 tokens of short prompts for one of a long one
		mix.Add(map[bool]int{true: 9190, false: 826}[isLong], isLong, start.Add(time.Duration(i)*200*time.Millisecond))
		if mix.Share() != last {
			last = mix.Share()
			changes++
		}
	}
	if changes > 6 {
		t.Errorf("the share changed %d times in ten minutes", changes)
	}
}

// TestBothClassesHaveHolders draws holders. Each class must have at least one where there are three, short prompts must have no more than
// their share and one, the order in which holders are listed must not matter, and once holders are divided a further one must change the
// class of one at most.
func TestBothClassesHaveHolders(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "holders")
		share := rapid.SampledFrom([]promptclass.Share{0, 1, 3, 4}).Draw(t, "share")
		ids := make([]string, 0, n+1)
		for i := range n {
			ids = append(ids, fmt.Sprint("e", i, "-", rapid.IntRange(0, 1000).Draw(t, "id")))
		}
		short := promptclass.Short(ids, share)
		switch {
		case (n <= 2 || share == 0) && len(short) > 0:
			t.Fatalf("%d holders are divided at a share of %d", n, share)
		case n > 2 && share > 0 && (len(short) == 0 || len(short) == n || 6*len(short) > int(share)*n+6):
			t.Fatalf("%d of %d holders for short prompts at a share of %d", len(short), n, share)
		}
		again := promptclass.Short(rapid.Permutation(ids).Draw(t, "order"), share)
		more := promptclass.Short(append(ids, "further"), share)
		moved := 0
		for _, id := range ids {
			if short[id] != again[id] {
				t.Fatalf("the class of %s depends on the order", id)
			}
			if short[id] != more[id] {
				moved++
			}
		}
		if n > 2 && moved > 1 {
			t.Fatalf("a further holder changes the class of %d", moved)
		}
	})
}

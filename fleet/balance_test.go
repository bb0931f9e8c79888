package fleet

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestFillLevel divides work among engines that have other work already.
func TestFillLevel(t *testing.T) {
	cases := map[string]struct {
		others []float64
		work   float64
		want   float64
	}{
		"one engine":                     {others: []float64{100}, work: 50, want: 150},
		"equal engines share":            {others: []float64{100, 100}, work: 50, want: 125},
		"busy engine gets nothing":       {others: []float64{500, 0}, work: 100, want: 100},
		"idle engines are filled first":  {others: []float64{300, 0, 100}, work: 200, want: 150},
		"enough work reaches all":        {others: []float64{300, 0, 100}, work: 1100, want: 500},
		"no work is at the least loaded": {others: []float64{300, 40}, work: 0, want: 40},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := fillLevel(c.others, c.work); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("level %g, want %g", got, c.want)
			}
		})
	}
}

// TestBalanceKeepsAllWork checks for random holders that the work of each model is divided without loss, and that a further
// copy never raises the congestion.
func TestBalanceKeepsAllWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 6).Draw(t, "engines")
		holders, work := map[string][]int{}, map[string]float64{}
		for _, model := range []string{"a", "b", "c"} {
			work[model] = rapid.Float64Range(0, 3000).Draw(t, "work of "+model)
			for e := range engines {
				if rapid.Bool().Draw(t, "held") {
					holders[model] = append(holders[model], e)
				}
			}
		}
		b := newBalance(make([]float64, engines), holders, work)
		total, placed := 0.0, 0.0
		for model, held := range holders {
			total += work[model]
			if gain := b.gainOfCopy(model, 100); gain < -1e-6 {
				t.Errorf("a further copy of %s, which %v hold, raises congestion by %g", model, held, -gain)
			}
		}
		for _, load := range b.load {
			placed += load
		}
		if math.Abs(total-placed) > 1e-6*(1+total) {
			t.Errorf("engines have %g of %g ms/s", placed, total)
		}
	})
}

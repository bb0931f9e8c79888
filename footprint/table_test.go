package footprint_test

import (
	"testing"

	"gypsumbank/footprint"
	"gypsumbank/registry"
	"gypsumbank/route"
)

func list(mb float64) map[string]route.Model {
	if mb == 0 {
		return nil
	}
	return map[string]route.Model{"m1": {Name: "m1", WeightMB: mb, AdapterMB: mb / 10}}
}

// TestLargestListedSizeCounts has lists name several sizes of a model, or none, one after the other.
func TestLargestListedSizeCounts(t *testing.T) {
	cases := map[string]struct {
		before  []float64 // sizes in MB by list; 0 for a list without the model
		isHeld  bool      // when the lists before are forgotten
		after   []float64
		want    float64
		unknown bool
	}{
		"never listed":                     {nil, true, []float64{0, 0}, 0, true},
		"listed":                           {nil, true, []float64{100}, 100, false},
		"retired while held":               {[]float64{100}, true, []float64{0}, 100, false},
		"retired while held, long ago":     {[]float64{100, 0}, true, []float64{0, 0}, 100, false},
		"retired while not held":           {[]float64{100, 0}, false, []float64{0}, 0, true},
		"smaller while held":               {[]float64{100, 50}, true, []float64{50}, 100, false},
		"larger while held":                {[]float64{50, 100}, true, []float64{100}, 100, false},
		"smaller, loaded again":            {[]float64{100, 50}, false, []float64{50}, 50, false},
		"larger, then smaller, while held": {[]float64{50, 100, 20}, true, []float64{20, 30}, 100, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := footprint.New()
			for _, mb := range c.before {
				table.SetModels(list(mb))
			}
			table.Forget(func(string) bool { return c.isHeld })
			for _, mb := range c.after {
				table.SetModels(list(mb))
			}
			held := registry.Model{Name: "m1", Adapters: []string{"a1", "a2"}}
			if got := table.MB(held); got != c.want*1.2 || table.IsKnown("m1") == c.unknown || table.AdapterMB("m1") != c.want/10 {
				t.Errorf("%g MB, known: %v, adapters of %g MB; want %g of a model alone", got, table.IsKnown("m1"), table.AdapterMB("m1"), c.want)
			}
		})
	}
}

package epoch_test

import (
	"testing"

	"gypsumbank/epoch"
)

// TestObserve guards against a first epoch that is taken for a restore, and against late answers that bring an earlier one back.
func TestObserve(t *testing.T) {
	cases := map[string]struct {
		observed []epoch.Epoch
		restores int
		current  epoch.Epoch
	}{
		"none":                      {},
		"first":                     {observed: []epoch.Epoch{4}, current: 4},
		"first is zero":             {observed: []epoch.Epoch{0, 1}, restores: 1, current: 1},
		"the same again":            {observed: []epoch.Epoch{1, 1}, current: 1},
		"restored":                  {observed: []epoch.Epoch{1, 2, 2, 4}, restores: 2, current: 4},
		"late answer of an earlier": {observed: []epoch.Epoch{1, 2, 1, 2}, restores: 1, current: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := epoch.New()
			restores := 0
			for _, named := range c.observed {
				_, signal := tracker.Current()
				restored := tracker.Observe(named)
				signalled := false
				select {
				case <-signal:
					signalled = true
				default:
				}
				if signalled != restored {
					t.Errorf("epoch %d: signalled %v, restored %v", named, signalled, restored)
				}
				if restored {
					restores++
				}
			}
			if current, _ := tracker.Current(); restores != c.restores || current != c.current {
				t.Errorf("%d restores, epoch %d; want %d, %d", restores, current, c.restores, c.current)
			}
		})
	}
}

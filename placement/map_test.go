package placement_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gypsumbank/allowance"
	"gypsumbank/placement"
)

// TestPlacementFitsAndHoldsEveryModel checks that every model of a pool with room for each has a home, that no target is
// given more than it holds, and that two processes come to the same placement.
func TestPlacementFitsAndHoldsEveryModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 12).Draw(t, "targets")
		perTarget := rapid.IntRange(1, 4).Draw(t, "models a target")
		count := rapid.IntRange(1, targets*perTarget).Draw(t, "models")
		names := make([]string, targets)
		for i := range names {
			names[i] = fmt.Sprint("target-", i)
		}
		models := make([]allowance.Model, count)
		for i := range models {
			models[i] = allowance.Model{Name: fmt.Sprint("model-", i), Bytes: 10}
		}
		placed := placement.New(models, names, uint64(10*perTarget))
		used := map[string]int{}
		for _, model := range models {
			homes := placed.Homes(model.Name)
			if len(homes) == 0 {
				t.Fatalf("%s has no home", model.Name)
			}
			for _, home := range homes {
				used[home]++
			}
		}
		for target, held := range used {
			if held > perTarget {
				t.Fatalf("%s is given %d models and holds %d", target, held, perTarget)
			}
		}
		again := placement.New(models, append([]string{}, names...), uint64(10*perTarget))
		for _, model := range models {
			if fmt.Sprint(again.Homes(model.Name)) != fmt.Sprint(placed.Homes(model.Name)) {
				t.Fatalf("%s: two processes place it differently", model.Name)
			}
		}
	})
}

package agent

import (
	"math/rand/v2"
	"testing"

	"gypsumbank/inventory"
)

// TestUsedModelsAreRestoredFirst draws the first model of many engines that held the same three.
func TestUsedModelsAreRestoredFirst(t *testing.T) {
	const draws = 4000
	rng := rand.New(rand.NewPCG(1, 1))
	models := []inventory.Model{{Name: "idle"}, {Name: "busy", AvgConcurrency: 6}, {Name: "some", AvgConcurrency: 2}}
	first := map[string]int{}
	for range draws {
		order := drawn(models, rng.Float64)
		if len(order) != len(models) {
			t.Fatalf("order %v", order)
		}
		first[order[0].Name]++
	}
	shares := map[string]float64{"busy": 0.75, "some": 0.25, "idle": 0}
	for name, want := range shares {
		if got := float64(first[name]) / draws; got < want-0.03 || got > want+0.03 {
			t.Errorf("%s is first in %.3f of the draws, want %.2f", name, got, want)
		}
	}
}

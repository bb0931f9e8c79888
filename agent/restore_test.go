package agent

import (
	"math/rand/v2"
	"testing"

	"gypsumbank/inventory"
)

// TestUsedModelsAreRestoredFirst shuffles the same three models many times and checks that each comes first as often as its
// share of the use.
func TestUsedModelsAreRestoredFirst(t *testing.T) {
	const draws = 4000
	rng := rand.New(rand.NewPCG(1, 1))
	models := []inventory.Model{{Name: "idle"}, {Name: "busy", AvgConcurrency: 6}, {Name: "some", AvgConcurrency: 2}}
	firstCount := map[string]int{}
	for range draws {
		order := weightedShuffle(models, rng.Float64)
		if len(order) != len(models) {
			t.Fatalf("weightedShuffle = %v, want all 3 models", order)
		}
		firstCount[order[0].Name]++
	}
	shares := map[string]float64{"busy": 0.75, "some": 0.25, "idle": 0}
	for name, want := range shares {
		if got := float64(firstCount[name]) / draws; got < want-0.03 || got > want+0.03 {
			t.Errorf("model %s is first in %.3f of the shuffles, want %.2f", name, got, want)
		}
	}
}

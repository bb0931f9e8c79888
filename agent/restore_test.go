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

// TestRecordIsWrittenForLastingChangesOnly checks which changes of the held models and their use lead to a write.
func TestRecordIsWrittenForLastingChangesOnly(t *testing.T) {
	models := func(a, b float64) []inventory.Model {
		return []inventory.Model{{Name: "a", AvgConcurrency: a}, {Name: "b", AvgConcurrency: b}}
	}
	cases := map[string]struct {
		recorded, models []inventory.Model
		want             bool
	}{
		"first record":                       {models: models(0, 0), want: true},
		"nothing has changed":                {recorded: models(5, 4), models: models(5, 4)},
		"the most used ones take turns":      {recorded: models(5, 4), models: models(4, 5)},
		"another one is used much more":      {recorded: models(5, 4), models: models(1, 6), want: true},
		"little use of models that had none": {recorded: models(0, 0), models: models(0, 0.5)},
		"use of models that had none":        {recorded: models(0, 0), models: models(0, 3), want: true},
		"a model has gone":                   {recorded: models(5, 4), models: models(5, 4)[:1], want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := needsRecord(c.recorded, c.models); got != c.want {
				t.Errorf("record needed: %v, want %v", got, c.want)
			}
		})
	}
}

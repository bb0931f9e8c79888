package placement_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gypsumbank/allowance"
	"gypsumbank/placement"
)

// TestAssignmentFitsAndCoversEveryModel checks, for targets with memory for every model, that each model is assigned to
// some target, that no target is assigned more than fits, and that two processes compute the same assignment.
func TestAssignmentFitsAndCoversEveryModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 12).Draw(t, "targets")
		modelsPerTarget := rapid.IntRange(1, 4).Draw(t, "models per target")
		count := rapid.IntRange(1, targets*modelsPerTarget).Draw(t, "models")
		names := make([]string, targets)
		for i := range names {
			names[i] = fmt.Sprint("target-", i)
		}
		models := make([]allowance.Model, count)
		for i := range models {
			models[i] = allowance.Model{Name: fmt.Sprint("model-", i), Bytes: 10}
		}
		assignment := placement.New(models, names, uint64(10*modelsPerTarget))
		modelsByTarget := map[string]int{}
		for _, model := range models {
			assigned := assignment.AssignedTargets(model.Name)
			if len(assigned) == 0 {
				t.Fatalf("%s is assigned to no target", model.Name)
			}
			for _, target := range assigned {
				modelsByTarget[target]++
			}
		}
		for target, count := range modelsByTarget {
			if count > modelsPerTarget {
				t.Fatalf("%s is assigned %d models and has memory for %d", target, count, modelsPerTarget)
			}
		}
		repeated := placement.New(models, append([]string{}, names...), uint64(10*modelsPerTarget))
		for _, model := range models {
			if fmt.Sprint(repeated.AssignedTargets(model.Name)) != fmt.Sprint(assignment.AssignedTargets(model.Name)) {
				t.Fatalf("%s is assigned differently by a second process", model.Name)
			}
		}
	})
}

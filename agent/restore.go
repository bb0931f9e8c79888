package agent

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumbank/inventory"
	"gypsumbank/occupancy"
	"gypsumbank/registry"
)

const (
	// restoreTimeout bounds the reload of a restarted engine's models, which takes a few loads from its disk.
	restoreTimeout = 10 * time.Second
	// useAveragingTime is the time constant of the moving average of a model's concurrent requests.
	useAveragingTime = 5 * time.Second
	// minUse is the average of concurrent requests below which a model counts as unused, and the weight of an unused model in
	// the order of restores.
	minUse = 0.01
	// A model has to be used useChangeFactor times as much as the one recorded as the most used, and by minUseChange more, to
	// be recorded in its place.
	useChangeFactor = 2
	minUseChange    = 1
)

// restoreModels requests the models that a restarted engine held before, as far as their weights are on its disk or in host
// memory: such a load uses none of the weight store's rate and need not wait for a decision of the planner.
func (a *Agent) restoreModels() {
	if a.targetID == "" || len(a.modelsToRestore) == 0 {
		return
	}
	now := time.Now()
	for _, model := range weightedShuffle(a.modelsToRestore, rand.Float64) {
		if registry.Holds(a.lastReport.Models, model.Name, "") || !a.lastReport.HasLocalWeights(model.Name) {
			continue
		}
		log := a.log.WithField("model", model.Name)
		log.WithField("use", model.AvgConcurrency).Info("model is restored")
		a.occupancy.Add(&occupancy.LoadRequest{Model: model.Name, Expires: now.Add(restoreTimeout), Done: func(err error) {
			log.WithError(err).Info("restore of model ended")
		}}, now)
	}
	a.modelsToRestore = nil
}

// recordModels passes the models that the engine holds to the inventory if they have changed. While a new run of the engine
// holds none, the record is left as it is.
func (a *Agent) recordModels() {
	models := a.reportedModels()
	if a.targetID == "" || len(models) == 0 || !needsRecord(a.recordedModels, models) {
		return
	}
	a.recordedModels = models
	a.modelInventory.Set(models)
}

// needsRecord reports whether models differ from the recorded ones by a name, or by a most used one whose use is far above
// that of the one recorded as such: the record decides which model is restored first.
func needsRecord(recorded, models []inventory.Model) bool {
	sameName := func(a, b inventory.Model) bool { return a.Name == b.Name }
	if !slices.EqualFunc(recorded, models, sameName) {
		return true
	}
	byUse := func(a, b inventory.Model) int { return cmp.Compare(a.AvgConcurrency, b.AvgConcurrency) }
	recordedTop, top := slices.MaxFunc(recorded, byUse), slices.MaxFunc(models, byUse)
	useOfRecorded := models[slices.IndexFunc(models, func(m inventory.Model) bool { return m.Name == recordedTop.Name })].AvgConcurrency
	return top.AvgConcurrency > useChangeFactor*useOfRecorded+minUseChange
}

// reportedModels returns the models in the engine's last report with their average use.
func (a *Agent) reportedModels() []inventory.Model {
	names := registry.ModelNames(a.lastReport.Models)
	models := make([]inventory.Model, 0, len(names))
	for _, name := range names {
		models = append(models, inventory.Model{Name: name, AvgConcurrency: a.averageUse[name]})
	}
	return models
}

// updateAverageUse updates the moving average of the concurrent requests of each model.
func (a *Agent) updateAverageUse(requests map[registry.Adapter]int, now time.Time) {
	decay := math.Exp(-float64(now.Sub(a.useAveragedAt)) / float64(useAveragingTime))
	for model := range a.averageUse {
		a.averageUse[model] *= decay
		if a.averageUse[model] < minUse {
			delete(a.averageUse, model)
		}
	}
	for adapter, n := range requests {
		if adapter.Name == "" {
			a.averageUse[adapter.Model] += float64(n) * (1 - decay)
		}
	}
	a.useAveragedAt = now
}

// weightedShuffle returns the models in a random order in which a model comes first with a probability proportional to its
// use, so that engines which held the same models do not all load the same one first. The numbers that uniform returns are
// spread evenly from 0 to 1.
func weightedShuffle(models []inventory.Model, uniform func() float64) []inventory.Model {
	sortKeys := make(map[string]float64, len(models))
	for _, m := range models {
		sortKeys[m.Name] = math.Pow(uniform(), 1/max(minUse, m.AvgConcurrency))
	}
	shuffled := slices.Clone(models)
	slices.SortStableFunc(shuffled, func(a, b inventory.Model) int {
		switch {
		case sortKeys[a.Name] > sortKeys[b.Name]:
			return -1
		case sortKeys[a.Name] < sortKeys[b.Name]:
			return 1
		}
		return 0
	})
	return shuffled
}

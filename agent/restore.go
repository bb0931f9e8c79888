package agent

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumbank/inventory"
	"gypsumbank/occupancy"
	"gypsumbank/registry"
)

const (
	// restoreLifetime bounds the time in which a restarted engine takes its models back, a few loads from its disk.
	restoreLifetime = 10 * time.Second
	// useMemory is the time constant over which the use of a model is averaged.
	useMemory = 5 * time.Second
	// leastUse is the use, in requests at a time, that a model without requests counts as.
	leastUse = 0.01
)

// restore has an engine that has restarted load what it held before, as far as it has the weights at hand: that takes no
// load from the weight store and waits for nobody's plan.
func (a *Agent) restore() {
	if a.targetID == "" || len(a.former) == 0 {
		return
	}
	now := time.Now()
	for _, model := range drawn(a.former, rand.Float64) {
		if registry.Holds(a.report.Models, model.Name, "") || !a.report.HasLocalWeights(model.Name) {
			continue
		}
		log := a.log.WithField("model", model.Name)
		log.WithField("use", model.AvgConcurrency).Info("model is restored")
		a.occupancy.Add(&occupancy.LoadRequest{Model: model.Name, Expires: now.Add(restoreLifetime), Done: func(err error) {
			log.WithError(err).Info("restore ends")
		}}, now)
	}
	a.former = nil
}

// record hands the models that the engine holds to the inventory; a run that holds none yet leaves the record as it is.
func (a *Agent) record() {
	models := a.inventory()
	if a.targetID == "" || len(models) == 0 {
		return
	}
	key := recordKey(models)
	if slices.Equal(key, a.recorded) {
		return
	}
	a.recorded = key
	a.held.Set(models)
}

// recordKey returns what a new record is written for: other models, or another one that is used most.
func recordKey(models []inventory.Model) []string {
	most := models[0]
	key := make([]string, 0, len(models)+1)
	for _, m := range models {
		key = append(key, m.Name)
		if m.AvgConcurrency > most.AvgConcurrency {
			most = m
		}
	}
	return append(key, most.Name)
}

// inventory returns the models that the engine last reported.
func (a *Agent) inventory() []inventory.Model {
	names := registry.ModelNames(a.report.Models)
	models := make([]inventory.Model, 0, len(names))
	for _, name := range names {
		models = append(models, inventory.Model{Name: name, AvgConcurrency: a.usage[name]})
	}
	return models
}

// measureUse averages the requests at a time of each model.
func (a *Agent) measureUse(uses map[registry.Adapter]int, now time.Time) {
	kept := math.Exp(-float64(now.Sub(a.usedAt)) / float64(useMemory))
	for model := range a.usage {
		a.usage[model] *= kept
		if a.usage[model] < leastUse {
			delete(a.usage, model)
		}
	}
	for use, n := range uses {
		if use.Name == "" {
			a.usage[use.Model] += float64(n) * (1 - kept)
		}
	}
	a.usedAt = now
}

// drawn returns models in a random order in which one comes first with a chance in proportion to its use, so that the
// engines which held the same models don't all begin with the same one.
func drawn(models []inventory.Model, random func() float64) []inventory.Model {
	keys := make(map[string]float64, len(models))
	for _, m := range models {
		keys[m.Name] = math.Pow(random(), 1/max(leastUse, m.AvgConcurrency))
	}
	order := slices.Clone(models)
	slices.SortStableFunc(order, func(a, b inventory.Model) int {
		switch {
		case keys[a.Name] > keys[b.Name]:
			return -1
		case keys[a.Name] < keys[b.Name]:
			return 1
		}
		return 0
	})
	return order
}

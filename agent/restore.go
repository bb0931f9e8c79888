package agent

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/occupancy"
	"gypsumbank/registry"
)

// restoreLifetime bounds the time in which a restarted engine takes its models back, a few loads from its disk.
const restoreLifetime = 10 * time.Second

// restore has an engine that has restarted load what it held before, as far as it has the weights at hand: that takes no
// load from the weight store and waits for nobody's plan.
func (a *Agent) restore() {
	if a.targetID == "" || len(a.former) == 0 {
		return
	}
	now := time.Now()
	for _, model := range rotated(a.former, a.config.Agent.Target) {
		if registry.Holds(a.report.Models, model, "") || !a.report.AtHand(model) {
			continue
		}
		log := a.log.WithField("model", model)
		log.Info("model is restored")
		a.occupancy.Add(&occupancy.Want{Model: model, Expires: now.Add(restoreLifetime), Done: func(err error) {
			log.WithError(err).Info("restore ends")
		}}, now)
	}
	a.former = nil
}

// record hands the models that the engine holds to the inventory; a run that holds none yet leaves the record as it is.
func (a *Agent) record() {
	models := registry.ModelNames(a.report.Models)
	if a.targetID == "" || len(models) == 0 || slices.Equal(models, a.recorded) {
		return
	}
	a.recorded = models
	a.held.Set(models)
}

// rotated returns models from one on that depends on the target, so that targets with the same models begin with different
// ones.
func rotated(models []string, target string) []string {
	start := int(xxhash.Sum64String(target) % uint64(len(models)))
	return append(slices.Clone(models[start:]), models[:start]...)
}

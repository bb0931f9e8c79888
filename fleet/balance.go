package fleet

import (
	"slices"
)

const (
	// engineCapacity is the work, in ms of engine time per second, up to which an engine's requests hardly wait.
	engineCapacity = 600
	// maxCongestion is the cost of a unit of work at an engine that has this many times its capacity, beyond which further
	// requests are refused; it is also the cost of a unit of work that no engine can serve.
	maxCongestion = 2
	// balanceRounds is the number of passes over all models in which their work is divided.
	balanceRounds = 4
)

// balance divides the work for each model among the engines that hold it, as gateways do that choose the engine with the
// shortest queue: each model's work fills the less loaded of its holders to a common level.
type balance struct {
	work    map[string]float64 // by model
	holders map[string][]int   // engines by model
	shares  map[string][]float64
	load    []float64 // by engine
}

// newBalance divides the work among engines with the given loads from elsewhere.
func newBalance(loads []float64, holders map[string][]int, work map[string]float64) *balance {
	b := &balance{work: work, holders: holders, shares: map[string][]float64{}, load: loads}
	models := make([]string, 0, len(work))
	for model := range work {
		if len(holders[model]) > 0 {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	for _, model := range models {
		b.shares[model] = make([]float64, len(holders[model]))
	}
	for range balanceRounds {
		for _, model := range models {
			b.divide(model)
		}
	}
	return b
}

// divide distributes the work for a model anew.
func (b *balance) divide(model string) {
	others := b.othersLoad(model)
	level := fillLevel(others, b.work[model])
	for i, e := range b.holders[model] {
		b.shares[model][i] = max(0, level-others[i])
		b.load[e] = others[i] + b.shares[model][i]
	}
}

// othersLoad returns the load of each holder of a model without the model's own work.
func (b *balance) othersLoad(model string) []float64 {
	others := make([]float64, len(b.holders[model]))
	for i, e := range b.holders[model] {
		others[i] = b.load[e] - b.shareAt(model, i)
	}
	return others
}

// shareAt returns the work of a model at its i-th holder.
func (b *balance) shareAt(model string, i int) float64 {
	if shares := b.shares[model]; shares != nil {
		return shares[i]
	}
	return 0
}

// shareOn returns the work of a model at an engine, 0 if the engine does not hold it.
func (b *balance) shareOn(model string, engine int) float64 {
	i := slices.Index(b.holders[model], engine)
	if i < 0 {
		return 0
	}
	return b.shareAt(model, i)
}

// gainOfCopy returns by how much congestion falls if an engine, whose other models give it the load otherLoad, held a
// model as well. The model must have a copy already.
func (b *balance) gainOfCopy(model string, otherLoad float64) float64 {
	others := b.othersLoad(model)
	before := congestion(otherLoad) + filledCongestion(others, b.work[model])
	return before - filledCongestion(append(others, otherLoad), b.work[model])
}

// lossOfCopy returns by how much congestion at the other holders of a model rises if an engine no longer held it. The
// model must have a further copy.
func (b *balance) lossOfCopy(model string, engine int) float64 {
	all := b.othersLoad(model)
	var rest []float64
	before := 0.0
	for i, e := range b.holders[model] {
		if e != engine {
			rest = append(rest, all[i])
			before += congestion(b.load[e])
		}
	}
	return filledCongestion(rest, b.work[model]) - before
}

// filledCongestion returns the congestion of engines with the given loads once they have work in addition.
func filledCongestion(others []float64, work float64) float64 {
	level := fillLevel(others, work)
	sum := 0.0
	for _, other := range others {
		sum += congestion(max(level, other))
	}
	return sum
}

// fillLevel returns the load to which work raises the least loaded of engines with the given loads.
func fillLevel(others []float64, work float64) float64 {
	sorted := slices.Clone(others)
	slices.Sort(sorted)
	sum := work
	level := 0.0
	for i, other := range sorted {
		if i > 0 && level <= other {
			break
		}
		sum += other
		level = sum / float64(i+1)
	}
	return level
}

// congestion returns the cost of an engine's load: the square of it up to maxCongestion times the capacity, since each unit
// of work waits in proportion to the load, and linear beyond.
func congestion(load float64) float64 {
	const limit = maxCongestion * engineCapacity
	if load <= limit {
		return load * load / (2 * engineCapacity)
	}
	return maxCongestion*engineCapacity*maxCongestion/2 + maxCongestion*(load-limit)
}

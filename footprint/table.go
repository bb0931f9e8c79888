package footprint

import (
	"maps"

	"gypsumbank/registry"
	"gypsumbank/route"
)

// Table holds the sizes of the models of one service. It is not safe for concurrent use.
type Table struct {
	listed  map[string]route.Model
	largest map[string]size // by model, of the lists before the current one
}

// size is the memory of a model and of each of its adapters in MB.
type size struct {
	weightMB  float64
	adapterMB float64
}

// New returns a table that knows no size.
func New() *Table { return &Table{largest: map[string]size{}} }

// SetModels replaces the listed models. The sizes of those before are kept until Forget: engines may hold them.
func (t *Table) SetModels(models map[string]route.Model) {
	for name := range t.listed {
		t.largest[name], _ = t.sizeOf(name)
	}
	t.listed = models
}

// Forget drops the sizes of earlier lists for models that are not held.
func (t *Table) Forget(isHeld func(model string) bool) {
	maps.DeleteFunc(t.largest, func(model string, _ size) bool { return !isHeld(model) })
}

// IsKnown reports whether a list has named the size of a model.
func (t *Table) IsKnown(model string) bool {
	_, known := t.sizeOf(model)
	return known
}

// MB returns the memory of a model with its adapters: the largest that it may have, if lists have named several sizes; 0 if none has.
func (t *Table) MB(m registry.Model) float64 {
	s, _ := t.sizeOf(m.Name)
	return s.weightMB + s.adapterMB*float64(len(m.Adapters))
}

// AdapterMB returns the memory of an adapter of a model, likewise.
func (t *Table) AdapterMB(model string) float64 {
	s, _ := t.sizeOf(model)
	return s.adapterMB
}

// sizeOf returns the largest size that a list has named for a model since it was last forgotten.
func (t *Table) sizeOf(model string) (size, bool) {
	listed, isListed := t.listed[model]
	if len(t.largest) == 0 {
		return size{listed.WeightMB, listed.AdapterMB}, isListed
	}
	largest, kept := t.largest[model]
	if !kept && !isListed {
		return size{}, false
	}
	return size{weightMB: max(largest.weightMB, listed.WeightMB), adapterMB: max(largest.adapterMB, listed.AdapterMB)}, true
}

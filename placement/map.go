package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/allowance"
)

// Map says which targets are homes of which models.
type Map struct {
	homes map[string][]string
}

// New assigns each model to the first target of its rank order with room, then fills the room that is left with
// further copies; bytes is the memory of one target.
func New(models []allowance.Model, targets []string, bytes uint64) *Map {
	m := &Map{homes: map[string][]string{}}
	free := make(map[string]uint64, len(targets))
	for _, target := range targets {
		free[target] = bytes
	}
	ordered := append([]allowance.Model(nil), models...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Bytes > ordered[j].Bytes })
	ranks := make(map[string][]string, len(models))
	for _, model := range ordered {
		ranks[model.Name] = Ranked(model.Name, targets)
	}
	for m.round(ordered, ranks, free) {
	}
	return m
}

// Homes returns the targets that a model is assigned to, the highest rank first.
func (m *Map) Homes(model string) []string { return m.homes[model] }

// Home reports whether a model is assigned to a target.
func (m *Map) Home(model, target string) bool { return contains(m.homes[model], target) }

// Ranked returns the targets in the rank order of a name, which depends on nothing but the names.
func Ranked(name string, targets []string) []string {
	ranked := append([]string(nil), targets...)
	sort.Slice(ranked, func(i, j int) bool { return Higher(name, ranked[i], ranked[j]) })
	return ranked
}

// Higher reports whether target a ranks above target b for a name.
func Higher(name, a, b string) bool {
	scoreA, scoreB := score(name, a), score(name, b)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a < b
}

func (m *Map) round(models []allowance.Model, ranks map[string][]string, free map[string]uint64) bool {
	placed := false
	for _, model := range models {
		for _, target := range ranks[model.Name] {
			if free[target] < model.Bytes || contains(m.homes[model.Name], target) {
				continue
			}
			free[target] -= model.Bytes
			m.homes[model.Name] = append(m.homes[model.Name], target)
			placed = true
			break
		}
	}
	return placed
}

func score(name, target string) uint64 { return xxhash.Sum64String(name + "\x00" + target) }

func contains(list []string, item string) bool {
	for _, candidate := range list {
		if candidate == item {
			return true
		}
	}
	return false
}

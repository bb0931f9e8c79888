package placement

import (
	"cmp"
	"math/bits"
	"slices"
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
		ranks[model.Name] = RankTargets(model.Name, targets)
	}
	for m.round(ordered, ranks, free) {
	}
	return m
}

// Homes returns the targets that a model is assigned to, the highest rank first.
func (m *Map) Homes(model string) []string { return m.homes[model] }

// Home reports whether a model is assigned to a target.
func (m *Map) Home(model, target string) bool { return contains(m.homes[model], target) }

// RankTargets returns the targets in the rank order of a name, which depends on nothing but the names.
func RankTargets(name string, targets []string) []string {
	scored := make([]scoredTarget, len(targets))
	own := xxhash.Sum64String(name)
	for i, target := range targets {
		scored[i] = scoredTarget{score: mix(own, xxhash.Sum64String(target)), target: target}
	}
	slices.SortFunc(scored, scoredTarget.compare)
	ranked := make([]string, len(targets))
	for i, s := range scored {
		ranked[i] = s.target
	}
	return ranked
}

// RanksHigher reports whether target a ranks above target b for a name.
func RanksHigher(name, a, b string) bool {
	own := xxhash.Sum64String(name)
	first := scoredTarget{score: mix(own, xxhash.Sum64String(a)), target: a}
	second := scoredTarget{score: mix(own, xxhash.Sum64String(b)), target: b}
	return first.compare(second) < 0
}

type scoredTarget struct {
	score  uint64
	target string
}

// compare orders targets by falling score, then by name.
func (s scoredTarget) compare(other scoredTarget) int {
	if s.score != other.score {
		return cmp.Compare(other.score, s.score)
	}
	return cmp.Compare(s.target, other.target)
}

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 31)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
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

func contains(list []string, item string) bool {
	for _, candidate := range list {
		if candidate == item {
			return true
		}
	}
	return false
}

package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/allowance"
)

// Assignment holds the targets that each model is assigned to.
type Assignment struct {
	targetsByModel map[string][]string
}

// New assigns each model, the largest first, to the highest-ranked target with enough free memory, then fills the free
// memory with further copies. Every target has targetBytes of memory.
func New(models []allowance.Model, targets []string, targetBytes uint64) *Assignment {
	a := &Assignment{targetsByModel: map[string][]string{}}
	freeBytes := make(map[string]uint64, len(targets))
	for _, target := range targets {
		freeBytes[target] = targetBytes
	}
	ordered := append([]allowance.Model(nil), models...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Bytes > ordered[j].Bytes })
	ranks := make(map[string][]string, len(models))
	for _, model := range ordered {
		ranks[model.Name] = RankTargets(model.Name, targets)
	}
	for a.assignRound(ordered, ranks, freeBytes) {
	}
	return a
}

// AssignedTargets returns the targets that a model is assigned to, the highest rank first.
func (a *Assignment) AssignedTargets(model string) []string { return a.targetsByModel[model] }

// IsAssigned reports whether a model is assigned to a target.
func (a *Assignment) IsAssigned(model, target string) bool {
	return contains(a.targetsByModel[model], target)
}

// RankTargets returns the targets in the rank order of a name, the highest first. It depends only on the names, so that
// a target which is added or removed leaves the order of the others as it is.
func RankTargets(name string, targets []string) []string {
	scored := make([]scoredTarget, len(targets))
	nameHash := xxhash.Sum64String(name)
	for i, target := range targets {
		scored[i] = scoredTarget{score: combineHashes(nameHash, xxhash.Sum64String(target)), target: target}
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
	nameHash := xxhash.Sum64String(name)
	first := scoredTarget{score: combineHashes(nameHash, xxhash.Sum64String(a)), target: a}
	second := scoredTarget{score: combineHashes(nameHash, xxhash.Sum64String(b)), target: b}
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

// combineHashes returns a hash of two hashes, mixed by the finalizer of SplitMix64.
func combineHashes(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 31)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// assignRound assigns at most one further copy of each model and reports whether it assigned any.
func (a *Assignment) assignRound(models []allowance.Model, ranks map[string][]string, freeBytes map[string]uint64) bool {
	assigned := false
	for _, model := range models {
		for _, target := range ranks[model.Name] {
			if freeBytes[target] < model.Bytes || contains(a.targetsByModel[model.Name], target) {
				continue
			}
			freeBytes[target] -= model.Bytes
			a.targetsByModel[model.Name] = append(a.targetsByModel[model.Name], target)
			assigned = true
			break
		}
	}
	return assigned
}

func contains(list []string, item string) bool {
	for _, candidate := range list {
		if candidate == item {
			return true
		}
	}
	return false
}

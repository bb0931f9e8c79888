package router

import (
	"sort"
	"strings"
	"time"

	"gypsumbank/allowance"
	"gypsumbank/placement"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

// placementKey holds the inputs of a placement; the cached placement is recomputed when they change.
type placementKey struct {
	list        *allowance.List
	targets     string // names, separated by NUL bytes
	targetBytes uint64
}

// slowness returns the target's mean time between tokens as a multiple of the median over all targets. It is at least
// 1, and 1 if there is no recent mean or the configuration turns avoidance off.
func (r *Router) slowness(t *target) float64 {
	gapS, ok := t.tokenGap.recentMean(r.now())
	if !ok || !r.config.AvoidSlow {
		return 1
	}
	return max(1, gapS/r.medianTokenGap(gapS))
}

// medianTokenGap returns the median over all targets of their mean time between tokens, in seconds. The value is cached
// for medianGapRefresh. Without a target that has a recent mean it is fallbackS.
func (r *Router) medianTokenGap(fallbackS float64) float64 {
	now := r.now()
	if now.Sub(r.medianGapAt) < medianGapRefresh {
		return r.medianGapS
	}
	gapsS := []float64{}
	for _, other := range r.targets {
		if gapS, ok := other.tokenGap.recentMean(now); ok {
			gapsS = append(gapsS, gapS)
		}
	}
	if len(gapsS) == 0 {
		return fallbackS
	}
	sort.Float64s(gapsS)
	r.medianGapS, r.medianGapAt = gapsS[(len(gapsS)-1)/2], now
	return r.medianGapS
}

// recordPrefix records that a target gets a request with this prompt prefix, which its KV cache then holds.
func (r *Router) recordPrefix(request Request, name string) {
	if len(r.prefixTargets) >= maxPrefixes {
		clear(r.prefixTargets)
	}
	r.prefixTargets[request.Prefix] = name
}

// holdsModel returns a predicate that reports whether a target's last hint lists the model as resident.
func (r *Router) holdsModel(model string) func(string) bool {
	return func(name string) bool { return isResident(r.getOrCreate(name).hint, model) }
}

// cheapest returns the eligible target with the lowest cost; equal costs are decided by the rank of the targets for the
// model.
func (r *Router) cheapest(vms []vmlist.VM, request Request, eligible func(string) bool) (vmlist.VM, bool) {
	var best vmlist.VM
	found := false
	lowestCost := 0.0
	for _, vm := range vms {
		if !eligible(vm.Name) {
			continue
		}
		cost := r.cost(vm, request)
		cheaper := !found || cost < lowestCost || (cost == lowestCost && placement.RanksHigher(request.Model, vm.Name, best.Name))
		if cheaper {
			best, lowestCost, found = vm, cost, true
		}
	}
	return best, found
}

// cost returns the cost of sending a request to a target. One unit is the load of a target that has as many requests as
// slots.
func (r *Router) cost(vm vmlist.VM, request Request) float64 {
	t := r.getOrCreate(vm.Name)
	slowness := r.slowness(t)
	cost := r.slotLoad(vm)*slowness + slownessCost*(slowness-1)
	if vm.AvailabilityZone != r.config.Zone {
		cost += otherZoneCost
	}
	if request.Adapter != "" && !isResident(t.hint, request.Adapter) {
		cost += noAdapterCost
	}
	if r.prefixTargets[request.Prefix] != vm.Name {
		cost += noPrefixCost
	}
	return cost
}

// slotLoad returns the number of requests per slot at a target: those that this entry has in flight or those that the
// target last reported, whichever is more.
func (r *Router) slotLoad(vm vmlist.VM) float64 {
	t := r.getOrCreate(vm.Name)
	slots := t.hint.GetSlots()
	if slots == 0 {
		slots = defaultSlots
	}
	return max(float64(t.inFlight), float64(t.hint.GetRunning()+t.hint.GetQueued())) / float64(slots)
}

// currentPlacement returns the placement of the listed models on the targets that are not leaving. Every target is
// taken to have the memory of the largest one.
func (r *Router) currentPlacement(list *allowance.List) *placement.Assignment {
	var targets []string
	var targetBytes uint64
	for _, vm := range r.roster.ModelVMs() {
		if !vm.Leaving {
			targets = append(targets, vm.Name)
			targetBytes = max(targetBytes, r.getOrCreate(vm.Name).hint.GetMemoryBytes())
		}
	}
	key := placementKey{list: list, targets: strings.Join(targets, "\x00"), targetBytes: targetBytes}
	if r.placement == nil || r.placementKey != key {
		r.placement = placement.New(list.Models(), targets, targetBytes)
		r.placementKey = key
	}
	return r.placement
}

// unusable reports whether a target is in its backoff, is leaving or has reported that its engine is down.
func (t *target) unusable(now time.Time) bool {
	if now.Before(t.avoidUntil) {
		return true
	}
	return t.hint != nil && (t.hint.GetLeaving() || !t.hint.GetTargetUp())
}

// isResident reports whether a hint lists a model or adapter as resident.
func isResident(hint *wire.Hint, name string) bool {
	for _, held := range hint.GetResident() {
		if held == name {
			return true
		}
	}
	return false
}

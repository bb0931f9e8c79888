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

type placementKey struct {
	list  *allowance.List
	names string
	bytes uint64
}

func (r *Router) slowness(t *target) float64 {
	own, ok := t.pace.latest(r.now())
	if !ok || !r.config.AvoidSlow {
		return 1
	}
	return max(1, own/r.usualPace(own))
}

// usualPace returns the median time between tokens over the targets, not older than paceRefresh; own is that of a target
// which has one.
func (r *Router) usualPace(own float64) float64 {
	now := r.now()
	if now.Sub(r.usualAt) < paceRefresh {
		return r.usual
	}
	known := []float64{}
	for _, other := range r.targets {
		if gap, ok := other.pace.latest(now); ok {
			known = append(known, gap)
		}
	}
	if len(known) == 0 {
		return own
	}
	sort.Float64s(known)
	r.usual, r.usualAt = known[(len(known)-1)/2], now
	return r.usual
}

func (r *Router) remember(request Request, name string) {
	if len(r.prefix) >= maxPrefixes {
		clear(r.prefix)
	}
	r.prefix[request.Prefix] = name
}

func (r *Router) holds(model string) func(string) bool {
	return func(name string) bool { return resident(r.get(name).hint, model) }
}

func (r *Router) best(vms []vmlist.VM, request Request, keep func(string) bool) (vmlist.VM, bool) {
	var best vmlist.VM
	found := false
	lowest := 0.0
	for _, vm := range vms {
		if !keep(vm.Name) {
			continue
		}
		cost := r.cost(vm, request)
		better := !found || cost < lowest || (cost == lowest && placement.RanksHigher(request.Model, vm.Name, best.Name))
		if better {
			best, lowest, found = vm, cost, true
		}
	}
	return best, found
}

func (r *Router) cost(vm vmlist.VM, request Request) float64 {
	t := r.get(vm.Name)
	slow := r.slowness(t)
	cost := r.load(vm)*slow + slowCost*(slow-1)
	if vm.AvailabilityZone != r.config.Zone {
		cost += otherZoneCost
	}
	if request.Adapter != "" && !resident(t.hint, request.Adapter) {
		cost += noAdapterCost
	}
	if r.prefix[request.Prefix] != vm.Name {
		cost += noPrefixCost
	}
	return cost
}

// load returns the requests at a target by its slots.
func (r *Router) load(vm vmlist.VM) float64 {
	t := r.get(vm.Name)
	slots := t.hint.GetSlots()
	if slots == 0 {
		slots = defaultSlots
	}
	return max(float64(t.inFlight), float64(t.hint.GetRunning()+t.hint.GetQueued())) / float64(slots)
}

func (r *Router) place(list *allowance.List) *placement.Map {
	var names []string
	var bytes uint64
	for _, vm := range r.roster.ModelVMs() {
		if !vm.Leaving {
			names = append(names, vm.Name)
			bytes = max(bytes, r.get(vm.Name).hint.GetMemoryBytes())
		}
	}
	wanted := placementKey{list: list, names: strings.Join(names, "\x00"), bytes: bytes}
	if r.placed == nil || r.key != wanted {
		r.placed = placement.New(list.Models(), names, bytes)
		r.key = wanted
	}
	return r.placed
}

func (t *target) unusable(now time.Time) bool {
	if now.Before(t.avoid) {
		return true
	}
	return t.hint != nil && (t.hint.GetLeaving() || !t.hint.GetTargetUp())
}

func resident(hint *wire.Hint, name string) bool {
	for _, held := range hint.GetResident() {
		if held == name {
			return true
		}
	}
	return false
}

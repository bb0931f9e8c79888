package router

import (
	"errors"
	"strings"
	"sync"
	"time"

	"gypsumbank/allowance"
	"gypsumbank/placement"
	"gypsumbank/roster"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const (
	downTime      = 2 * time.Second
	refusalTime   = 300 * time.Millisecond
	otherZoneCost = 0.15
	noAdapterCost = 0.1
	defaultSlots  = 16
)

// ErrNoTarget reports that no target is left to try.
var ErrNoTarget = errors.New("no target available")

// Choice is the target for one attempt; MayLoad asks it to load the model if it does not hold it.
type Choice struct {
	VM      vmlist.VM
	MayLoad bool
}

// Router keeps what the entry knows about the model targets.
type Router struct {
	zone   string
	roster *roster.Roster
	now    func() time.Time

	mu      sync.Mutex
	targets map[string]*target
	placed  *placement.Map
	key     placementKey
}

type target struct {
	hint     *wire.Hint
	inFlight int
	avoid    time.Time
}

type placementKey struct {
	list  *allowance.List
	names string
	bytes uint64
}

// New returns a router for an entry in the given availability zone.
func New(zone string, vms *roster.Roster) *Router {
	return &Router{zone: zone, roster: vms, now: time.Now, targets: map[string]*target{}}
}

// Pick returns the best target for a model and adapter among those that were not tried.
func (r *Router) Pick(list *allowance.List, model, adapter string, tried map[string]bool) (Choice, error) {
	vms := r.roster.Models()
	r.mu.Lock()
	defer r.mu.Unlock()
	if vm, ok := r.best(vms, tried, model, adapter, r.holds(model)); ok {
		return Choice{VM: vm}, nil
	}
	placed := r.place(list, vms)
	home := func(name string) bool { return placed.Home(model, name) }
	if vm, ok := r.best(vms, tried, model, adapter, home); ok {
		return Choice{VM: vm, MayLoad: true}, nil
	}
	anywhere := func(string) bool { return true }
	if vm, ok := r.best(vms, tried, model, adapter, anywhere); ok {
		return Choice{VM: vm, MayLoad: true}, nil
	}
	return Choice{}, ErrNoTarget
}

// Begin counts one more request in flight at a target.
func (r *Router) Begin(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).inFlight++
}

// End counts one request less in flight at a target.
func (r *Router) End(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).inFlight--
}

// Observe takes over what a target said about itself.
func (r *Router) Observe(name string, hint *wire.Hint) {
	if hint == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).hint = hint
}

// Unreachable avoids a target that could not be reached for a while.
func (r *Router) Unreachable(name string) { r.avoid(name, downTime) }

// Refused avoids a target that refused a request for a short while.
func (r *Router) Refused(name string) { r.avoid(name, refusalTime) }

// Hints returns the latest hint of each target by name.
func (r *Router) Hints() map[string]*wire.Hint {
	r.mu.Lock()
	defer r.mu.Unlock()
	hints := map[string]*wire.Hint{}
	for name, t := range r.targets {
		if t.hint != nil {
			hints[name] = t.hint
		}
	}
	return hints
}

func (r *Router) avoid(name string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).avoid = r.now().Add(duration)
}

func (r *Router) get(name string) *target {
	t, ok := r.targets[name]
	if !ok {
		t = &target{}
		r.targets[name] = t
	}
	return t
}

func (r *Router) holds(model string) func(string) bool {
	return func(name string) bool { return resident(r.get(name).hint, model) }
}

func (r *Router) best(vms []vmlist.VM, tried map[string]bool, model, adapter string, keep func(string) bool) (vmlist.VM, bool) {
	var best vmlist.VM
	found := false
	lowest := 0.0
	for _, vm := range vms {
		if vm.Leaving || tried[vm.Name] || !keep(vm.Name) || r.get(vm.Name).unusable(r.now()) {
			continue
		}
		cost := r.cost(vm, adapter)
		better := !found || cost < lowest || (cost == lowest && placement.Higher(model, vm.Name, best.Name))
		if better {
			best, lowest, found = vm, cost, true
		}
	}
	return best, found
}

func (r *Router) cost(vm vmlist.VM, adapter string) float64 {
	t := r.get(vm.Name)
	slots := max(1, t.hint.GetSlots())
	if t.hint == nil {
		slots = defaultSlots
	}
	load := max(float64(t.inFlight), float64(t.hint.GetRunning()+t.hint.GetQueued()))
	cost := load / float64(slots)
	if vm.AvailabilityZone != r.zone {
		cost += otherZoneCost
	}
	if adapter != "" && !resident(t.hint, adapter) {
		cost += noAdapterCost
	}
	return cost
}

func (r *Router) place(list *allowance.List, vms []vmlist.VM) *placement.Map {
	var names []string
	var bytes uint64
	for _, vm := range vms {
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

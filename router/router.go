package router

import (
	"errors"
	"sync"
	"time"

	"gypsumbank/allowance"
	"gypsumbank/placement"
	"gypsumbank/roster"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

// Policy names the way targets are chosen.
type Policy string

const (
	// Cost weighs residency, load, availability zone, cached prefixes and measured slowness.
	Cost Policy = "cost"
	// RoundRobin takes the targets in turn; it serves as a baseline.
	RoundRobin Policy = "round-robin"
	// LeastInFlight takes the target with the least reported load; it serves as a baseline.
	LeastInFlight Policy = "least-in-flight"
)

// SlownessThreshold is the slowness from which a target's requests move to others.
const SlownessThreshold = 1.7

const (
	usualUpTo     = 1.3 // slowness up to which a target takes requests from slow ones
	spareLoad     = 0.5 // load below which a target takes a further copy
	downTime      = 2 * time.Second
	refusalTime   = 300 * time.Millisecond
	otherZoneCost = 0.15
	noPrefixCost  = 0.1
	slowCost      = 1.0 // for each multiple of the usual time between tokens
	maxPrefixes   = 20000
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

// Config describes a router.
type Config struct {
	Zone      string // availability zone of the entry
	Policy    Policy
	AvoidSlow bool
}

// Request is what the choice of a target depends on.
type Request struct {
	Model   string
	Adapter string
	Prefix  uint64 // hash of the start of the prompt
}

// Router keeps what the entry knows about the model targets.
type Router struct {
	config Config
	roster *roster.Roster
	now    func() time.Time

	mu      sync.Mutex
	targets map[string]*target
	placed  *placement.Map
	key     placementKey
	turn    int
	usual   float64 // median time between tokens over the targets, in seconds
	usualAt time.Time
	prefix  map[uint64]string // target that last got a prompt with this start
}

type target struct {
	hint     *wire.Hint
	inFlight int
	avoid    time.Time
	pace     pace
}

// New returns a router over the VMs of a roster.
func New(config Config, vms *roster.Roster) *Router {
	return &Router{
		config:  config,
		roster:  vms,
		now:     time.Now,
		targets: map[string]*target{},
		prefix:  map[uint64]string{},
	}
}

// Pick returns the best target for a request among those that were not tried. With full set, holders of the model have
// refused for lack of room, and no target is asked to load it for this request.
func (r *Router) Pick(list *allowance.List, request Request, tried map[string]bool, full bool) (Choice, error) {
	vms := r.usable(tried)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.Policy != Cost {
		return r.pickBaseline(vms)
	}
	if vm, ok := r.best(vms, request, r.holds(request.Model)); ok {
		r.remember(request, vm.Name)
		return Choice{VM: vm}, nil
	}
	if full {
		return Choice{}, ErrNoTarget
	}
	placed := r.place(list)
	home := func(name string) bool { return placed.Home(request.Model, name) }
	if vm, ok := r.best(vms, request, home); ok {
		return Choice{VM: vm, MayLoad: true}, nil
	}
	anywhere := func(string) bool { return true }
	if vm, ok := r.best(vms, request, anywhere); ok {
		return Choice{VM: vm, MayLoad: true}, nil
	}
	return Choice{}, ErrNoTarget
}

// pickBaseline chooses without regard to residency, so that targets load on demand.
func (r *Router) pickBaseline(vms []vmlist.VM) (Choice, error) {
	if len(vms) == 0 {
		return Choice{}, ErrNoTarget
	}
	r.turn++
	best := vms[r.turn%len(vms)]
	if r.config.Policy == RoundRobin {
		return Choice{VM: best, MayLoad: true}, nil
	}
	reported := func(vm vmlist.VM) uint32 {
		hint := r.get(vm.Name).hint
		return hint.GetRunning() + hint.GetQueued()
	}
	for _, vm := range vms {
		if reported(vm) < reported(best) {
			best = vm
		}
	}
	return Choice{VM: best, MayLoad: true}, nil
}

// ScaleOutTarget returns the target that should hold a further copy of a model whose holders are all slow or have more work than
// slots.
func (r *Router) ScaleOutTarget(model string) (vmlist.VM, bool) {
	vms := r.usable(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	holds := r.holds(model)
	var best vmlist.VM
	lowest := spareLoad
	found := false
	for _, vm := range vms {
		slow := r.slowness(r.get(vm.Name)) > SlownessThreshold
		if holds(vm.Name) {
			if r.load(vm) < 1 && !slow {
				return vmlist.VM{}, false
			}
			continue
		}
		if load := r.load(vm); load < lowest && !slow {
			best, lowest, found = vm, load, true
		}
	}
	return best, found
}

// FasterHolderExists reports whether a target is slow and another that holds the model is not and has free slots.
func (r *Router) FasterHolderExists(request Request, name string) bool {
	r.mu.Lock()
	slow := r.slowness(r.get(name)) > SlownessThreshold
	r.mu.Unlock()
	if !slow {
		return false
	}
	vms := r.usable(map[string]bool{name: true})
	r.mu.Lock()
	defer r.mu.Unlock()
	holds := r.holds(request.Model)
	for _, vm := range vms {
		if holds(vm.Name) && r.load(vm) < 1 && r.slowness(r.get(vm.Name)) < usualUpTo {
			return true
		}
	}
	return false
}

// BeginAttempt counts one more request in flight at a target.
func (r *Router) BeginAttempt(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).inFlight++
}

// EndAttempt counts one request less in flight at a target.
func (r *Router) EndAttempt(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).inFlight--
}

// ObserveHint takes over what a target said about itself.
func (r *Router) ObserveHint(name string, hint *wire.Hint) {
	if hint == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).hint = hint
}

// MarkUnreachable avoids a target that could not be reached for a while.
func (r *Router) MarkUnreachable(name string) { r.avoid(name, downTime) }

// Refused avoids a target that refused a request for a short while.
func (r *Router) Refused(name string) { r.avoid(name, refusalTime) }

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

// ObserveTokenGap takes over the time that a target took between two tokens.
func (r *Router) ObserveTokenGap(name string, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).pace.add(gap, r.now())
}

// Slowness returns how many times longer than usual among targets the time between tokens is, 1 if not known.
func (r *Router) Slowness(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slowness(r.get(name))
}

func (r *Router) usable(tried map[string]bool) []vmlist.VM {
	listed := r.roster.ModelVMs()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	vms := listed[:0]
	for _, vm := range listed {
		if !vm.Leaving && !tried[vm.Name] && !r.get(vm.Name).unusable(now) {
			vms = append(vms, vm)
		}
	}
	return vms
}

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

// Policy names the method that chooses targets.
type Policy string

const (
	// Cost prefers holders of the model and among them weighs load, availability zone, cached prefixes and slowness.
	Cost Policy = "cost"
	// RoundRobin chooses the targets in turn. It is a baseline for comparisons.
	RoundRobin Policy = "round-robin"
	// LeastInFlight chooses the target with the least reported load. It is a baseline for comparisons.
	LeastInFlight Policy = "least-in-flight"
)

// SlownessThreshold is the slowness above which a target counts as slow: its requests may move to other targets, and
// its models may get further copies.
const SlownessThreshold = 1.7

const (
	maxReceiverSlowness = 1.3 // slowness below which a target may get requests of slow ones
	maxScaleOutLoad     = 0.5 // requests per slot below which a target may get a further copy of a model
	unreachableBackoff  = 2 * time.Second
	refusalBackoff      = 300 * time.Millisecond
	otherZoneCost       = 0.15
	noPrefixCost        = 0.1
	slownessCost        = 1.0   // for each multiple of the median time between tokens above the first
	maxPrefixes         = 20000 // recorded prefixes at which all of them are forgotten
	noAdapterCost       = 0.1
	defaultSlots        = 16 // for targets that have not reported theirs
)

// ErrNoTarget reports that no target is left to try.
var ErrNoTarget = errors.New("no target available")

// Choice is the target for one attempt. MayLoad allows the target to load the model if it does not hold it.
type Choice struct {
	VM      vmlist.VM
	MayLoad bool
}

// Config holds the settings of a router.
type Config struct {
	Zone      string // availability zone of the entry
	Policy    Policy
	AvoidSlow bool // if false, every target counts as equally fast
}

// Request holds the properties of a request that the choice of a target depends on.
type Request struct {
	Model   string
	Adapter string
	Prefix  uint64 // hash of the model and the start of the prompt
}

// Router keeps the state of the model targets as the entry knows it and chooses among them.
type Router struct {
	config Config
	roster *roster.Roster
	now    func() time.Time

	mu            sync.Mutex
	targets       map[string]*target
	placement     *placement.Assignment
	placementKey  placementKey
	baselinePicks int
	medianGapS    float64           // median over the targets of their mean time between tokens
	medianGapAt   time.Time         // when medianGapS was computed
	prefixTargets map[uint64]string // target that was last chosen for each prompt prefix
}

type target struct {
	hint       *wire.Hint // last reported state; nil before the first report
	inFlight   int        // attempts of this entry
	avoidUntil time.Time
	tokenGap   gapAverage
}

// New returns a router that chooses among the model targets of a roster.
func New(config Config, vms *roster.Roster) *Router {
	return &Router{
		config:        config,
		roster:        vms,
		now:           time.Now,
		targets:       map[string]*target{},
		prefixTargets: map[uint64]string{},
	}
}

// Pick chooses a target for a request among those that were not tried: a holder of the model if there is one, else a
// target that the placement assigns the model to, else any, which then may load it. With holdersFull set, a holder has
// refused the request because its queue was full; then only holders are chosen, so that the request causes no load.
func (r *Router) Pick(list *allowance.List, request Request, tried map[string]bool, holdersFull bool) (Choice, error) {
	vms := r.usableVMs(tried)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.Policy != Cost {
		return r.pickBaseline(vms)
	}
	if vm, ok := r.cheapest(vms, request, r.holdsModel(request.Model)); ok {
		r.recordPrefix(request, vm.Name)
		return Choice{VM: vm}, nil
	}
	if holdersFull {
		return Choice{}, ErrNoTarget
	}
	assignment := r.currentPlacement(list)
	isAssigned := func(name string) bool { return assignment.IsAssigned(request.Model, name) }
	if vm, ok := r.cheapest(vms, request, isAssigned); ok {
		return Choice{VM: vm, MayLoad: true}, nil
	}
	anyTarget := func(string) bool { return true }
	if vm, ok := r.cheapest(vms, request, anyTarget); ok {
		return Choice{VM: vm, MayLoad: true}, nil
	}
	return Choice{}, ErrNoTarget
}

// pickBaseline chooses without regard to residency, so that targets load models on demand.
func (r *Router) pickBaseline(vms []vmlist.VM) (Choice, error) {
	if len(vms) == 0 {
		return Choice{}, ErrNoTarget
	}
	r.baselinePicks++
	best := vms[r.baselinePicks%len(vms)]
	if r.config.Policy == RoundRobin {
		return Choice{VM: best, MayLoad: true}, nil
	}
	reportedLoad := func(vm vmlist.VM) uint32 {
		hint := r.getOrCreate(vm.Name).hint
		return hint.GetRunning() + hint.GetQueued()
	}
	for _, vm := range vms {
		if reportedLoad(vm) < reportedLoad(best) {
			best = vm
		}
	}
	return Choice{VM: best, MayLoad: true}, nil
}

// ScaleOutTarget returns the least loaded target that can take a further copy of a model. It returns false if a holder
// of the model is not slow and has a free slot, or if every other target is slow or loaded to maxScaleOutLoad or more.
func (r *Router) ScaleOutTarget(model string) (vmlist.VM, bool) {
	vms := r.usableVMs(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	holds := r.holdsModel(model)
	var best vmlist.VM
	lowestLoad := maxScaleOutLoad
	found := false
	for _, vm := range vms {
		slow := r.slowness(r.getOrCreate(vm.Name)) > SlownessThreshold
		if holds(vm.Name) {
			if r.slotLoad(vm) < 1 && !slow {
				return vmlist.VM{}, false
			}
			continue
		}
		if load := r.slotLoad(vm); load < lowestLoad && !slow {
			best, lowestLoad, found = vm, load, true
		}
	}
	return best, found
}

// FasterHolderExists reports whether the named target is slow and another holder of the model has usual speed and a
// free slot.
func (r *Router) FasterHolderExists(request Request, name string) bool {
	r.mu.Lock()
	slow := r.slowness(r.getOrCreate(name)) > SlownessThreshold
	r.mu.Unlock()
	if !slow {
		return false
	}
	vms := r.usableVMs(map[string]bool{name: true})
	r.mu.Lock()
	defer r.mu.Unlock()
	holds := r.holdsModel(request.Model)
	for _, vm := range vms {
		if holds(vm.Name) && r.slotLoad(vm) < 1 && r.slowness(r.getOrCreate(vm.Name)) < maxReceiverSlowness {
			return true
		}
	}
	return false
}

// BeginAttempt counts the start of an attempt at a target.
func (r *Router) BeginAttempt(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name).inFlight++
}

// EndAttempt counts the end of an attempt that BeginAttempt counted.
func (r *Router) EndAttempt(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name).inFlight--
}

// ObserveHint records the state that a target reported; a nil hint is ignored.
func (r *Router) ObserveHint(name string, hint *wire.Hint) {
	if hint == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name).hint = hint
}

// MarkUnreachable excludes a target that could not be reached from the choice for unreachableBackoff.
func (r *Router) MarkUnreachable(name string) { r.avoidFor(name, unreachableBackoff) }

// MarkRefused excludes a target that refused a request from the choice for refusalBackoff.
func (r *Router) MarkRefused(name string) { r.avoidFor(name, refusalBackoff) }

func (r *Router) avoidFor(name string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name).avoidUntil = r.now().Add(duration)
}

// getOrCreate returns the state of a target; r.mu must be held.
func (r *Router) getOrCreate(name string) *target {
	t, ok := r.targets[name]
	if !ok {
		t = &target{}
		r.targets[name] = t
	}
	return t
}

// ObserveTokenGap records the time between two successive tokens of a target.
func (r *Router) ObserveTokenGap(name string, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name).tokenGap.addSample(gap, r.now())
}

// Slowness returns a target's mean time between tokens as a multiple of the median over all targets. It is at least 1,
// and 1 if not known.
func (r *Router) Slowness(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slowness(r.getOrCreate(name))
}

// usableVMs returns the model targets that may get a request now, without those already tried.
func (r *Router) usableVMs(tried map[string]bool) []vmlist.VM {
	listed := r.roster.ModelVMs()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	vms := listed[:0]
	for _, vm := range listed {
		if !vm.Leaving && !tried[vm.Name] && !r.getOrCreate(vm.Name).unusable(now) {
			vms = append(vms, vm)
		}
	}
	return vms
}

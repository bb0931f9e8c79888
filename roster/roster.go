package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gypsumbank/vmlist"
)

// leavingTime bounds how long a node that was restarted under its name goes without work.
const leavingTime = 3 * time.Second

// Roster holds the last list of VMs and what the process itself has learnt about them since.
type Roster struct {
	mu      sync.RWMutex
	vms     map[string]vmlist.VM
	sorted  []vmlist.VM          // by name
	leaving map[string]time.Time // when a node's own report that it is leaving expires
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		vms:     map[string]vmlist.VM{},
		leaving: map[string]time.Time{},
	}
}

// Update replaces the list of VMs.
func (r *Roster) Update(vms []vmlist.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]vmlist.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
	}
	for name := range r.vms {
		if _, ok := next[name]; !ok {
			delete(r.leaving, name)
		}
	}
	r.vms = next
	r.sorted = slices.SortedFunc(maps.Values(next), func(a, b vmlist.VM) int { return strings.Compare(a.Name, b.Name) })
}

// SetLeaving records what a node reports about itself: that it is leaving, which expires unless it is reported again, or
// that it is not.
func (r *Roster) SetLeaving(name string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leaving[name] = time.Now().Add(leavingTime)
		return
	}
	delete(r.leaving, name)
}

// Get returns the VM of that name.
func (r *Roster) Get(name string) (vmlist.VM, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	vm, ok := r.vms[name]
	vm.Leaving = vm.Leaving || time.Now().Before(r.leaving[name])
	return vm, ok
}

// All returns all VMs in order of name.
func (r *Roster) All() []vmlist.VM { return r.filter(func(vmlist.VM) bool { return true }) }

// EntryVMs returns the entry VMs in order of name.
func (r *Roster) EntryVMs() []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.RoleEntry })
}

// ModelVMs returns the VMs with model engines in order of name.
func (r *Roster) ModelVMs() []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.RoleModel })
}

// ServiceVMs returns the VMs with replicas of a plain service in order of name.
func (r *Roster) ServiceVMs(service string) []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.RoleService && vm.Service == service })
}

func (r *Roster) filter(keep func(vmlist.VM) bool) []vmlist.VM {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var vms []vmlist.VM
	now := time.Now()
	for _, vm := range r.sorted {
		vm.Leaving = vm.Leaving || now.Before(r.leaving[vm.Name])
		if keep(vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}

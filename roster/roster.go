package roster

import (
	"sort"
	"sync"

	"gypsumbank/vmlist"
)

// Roster holds the last list of VMs and what the process itself has learnt about them since.
type Roster struct {
	mu      sync.RWMutex
	vms     map[string]vmlist.VM
	leaving map[string]bool
	changes uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		vms:     map[string]vmlist.VM{},
		leaving: map[string]bool{},
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
	if !same(r.vms, next) {
		r.changes++
	}
	for name := range r.vms {
		if _, ok := next[name]; !ok {
			delete(r.leaving, name)
		}
	}
	r.vms = next
}

// MarkLeaving records that a node has said itself that it is leaving.
func (r *Roster) MarkLeaving(name string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leaving[name] = true
		return
	}
	delete(r.leaving, name)
}

// Changes returns a number that grows with each change of the list.
func (r *Roster) Changes() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changes
}

// Get returns the VM of that name.
func (r *Roster) Get(name string) (vmlist.VM, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	vm, ok := r.vms[name]
	vm.Leaving = vm.Leaving || r.leaving[name]
	return vm, ok
}

// All returns all VMs in order of name.
func (r *Roster) All() []vmlist.VM { return r.filter(func(vmlist.VM) bool { return true }) }

// Entries returns the entry VMs in order of name.
func (r *Roster) Entries() []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.Entry })
}

// Models returns the VMs with model engines in order of name.
func (r *Roster) Models() []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.Model })
}

// Services returns the VMs with replicas of a plain service in order of name.
func (r *Roster) Services(service string) []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.Service && vm.Service == service })
}

func (r *Roster) filter(keep func(vmlist.VM) bool) []vmlist.VM {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var vms []vmlist.VM
	for name, vm := range r.vms {
		vm.Leaving = vm.Leaving || r.leaving[name]
		if keep(vm) {
			vms = append(vms, vm)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms
}

func same(a, b map[string]vmlist.VM) bool {
	if len(a) != len(b) {
		return false
	}
	for name, vm := range a {
		if b[name] != vm {
			return false
		}
	}
	return true
}

package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gypsumbank/vmlist"
)

// leavingTTL is how long a node's report that it is leaving counts. It bounds the time for which a node that has restarted
// under the same name gets no work.
const leavingTTL = 3 * time.Second

// Roster holds the last list of VMs and the nodes' own reports that they are leaving, which may be newer than the list.
type Roster struct {
	mu           sync.RWMutex
	vms          map[string]vmlist.VM
	sortedByName []vmlist.VM
	leavingUntil map[string]time.Time // by name: when the node's report that it is leaving expires
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		vms:          map[string]vmlist.VM{},
		leavingUntil: map[string]time.Time{},
	}
}

// Update replaces the list of VMs and drops the leaving reports of nodes that are no longer listed.
func (r *Roster) Update(vms []vmlist.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]vmlist.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
	}
	for name := range r.vms {
		if _, ok := next[name]; !ok {
			delete(r.leavingUntil, name)
		}
	}
	r.vms = next
	r.sortedByName = slices.SortedFunc(maps.Values(next), func(a, b vmlist.VM) int { return strings.Compare(a.Name, b.Name) })
}

// SetLeaving records a node's report of whether it is leaving. A report that it is expires after leavingTTL unless it is
// repeated.
func (r *Roster) SetLeaving(name string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leavingUntil[name] = time.Now().Add(leavingTTL)
		return
	}
	delete(r.leavingUntil, name)
}

// Get returns the VM with the given name, if it is listed.
func (r *Roster) Get(name string) (vmlist.VM, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	vm, ok := r.vms[name]
	vm.Leaving = vm.Leaving || time.Now().Before(r.leavingUntil[name])
	return vm, ok
}

// All returns all VMs, sorted by name.
func (r *Roster) All() []vmlist.VM { return r.filter(func(vmlist.VM) bool { return true }) }

// EntryVMs returns the entry VMs, sorted by name.
func (r *Roster) EntryVMs() []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.RoleEntry })
}

// ModelVMs returns the VMs with model engines, sorted by name.
func (r *Roster) ModelVMs() []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.RoleModel })
}

// ServiceVMs returns the VMs with replicas of the given plain service, sorted by name.
func (r *Roster) ServiceVMs(service string) []vmlist.VM {
	return r.filter(func(vm vmlist.VM) bool { return vm.Role == vmlist.RoleService && vm.Service == service })
}

// filter returns the VMs for which keep returns true, sorted by name.
func (r *Roster) filter(keep func(vmlist.VM) bool) []vmlist.VM {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var vms []vmlist.VM
	now := time.Now()
	for _, vm := range r.sortedByName {
		vm.Leaving = vm.Leaving || now.Before(r.leavingUntil[vm.Name])
		if keep(vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}

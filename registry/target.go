package registry

import (
	"net"
	"slices"
	"time"
)

// Target is a target's entry in the platform's registry.
type Target struct {
	ID               string // new at most starts of the target
	Born             int64  // Unix time of the start in ms; differs between starts with the same id
	Service          string
	Address          string // IP:PORT
	AvailabilityZone string
	SoftwareVersion  SoftwareVersion
	Slots            int
	Draining         bool
	Remaining        time.Duration // time until the target is removed; 0 if not known
	ColdRemaining    time.Duration // time until it is no longer slow after its start
	Models           []Model
}

// SoftwareVersion is the version of a target's software, as opposed to that of the weights of a Model; empty if not known.
// Versions have no order, and what two of them write does not fit together.
type SoftwareVersion string

// Model is a model that a target holds, with the adapters loaded for it.
type Model struct {
	Name     string
	Version  int
	Adapters []string
}

// Report is an engine's report of its current state.
type Report struct {
	Born            int64
	Models          []Model
	LoadingAdapters []Adapter
	Busy            bool  // a model is being loaded or unloaded
	Sequence        int64 // number of orders accepted since the start
	Waiting         int
	Running         int
	KVUsed          int // KV cache in use that cannot be evicted, in tokens
	KVTotal         int // size of the KV cache in tokens
	Draining        bool
	Remaining       time.Duration
	InMemory        []string // models whose weights are in host memory
	OnDisk          []string // models whose weights are on disk
}

// HasLocalWeights reports whether the weights of a model are in the target's host memory or on its disk, so that loading it
// reads nothing from the weight store.
func (r *Report) HasLocalWeights(model string) bool {
	return slices.Contains(r.InMemory, model) || slices.Contains(r.OnDisk, model)
}

// Adapter identifies an adapter by its model and its name.
type Adapter struct {
	Model string
	Name  string
}

// Holds reports whether models contains the named model and, unless adapter is empty, that adapter of it.
func Holds(models []Model, model, adapter string) bool {
	i := slices.IndexFunc(models, func(m Model) bool { return m.Name == model })
	if i < 0 {
		return false
	}
	return adapter == "" || slices.Contains(models[i].Adapters, adapter)
}

// ModelNames returns the names of the models in alphabetical order.
func ModelNames(models []Model) []string {
	names := make([]string, 0, len(models))
	for _, m := range models {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// AdapterCount returns the number of adapters of all models.
func AdapterCount(models []Model) int {
	n := 0
	for _, m := range models {
		n += len(m.Adapters)
	}
	return n
}

// Host returns the IP address of an address of the form IP:PORT, or an empty string if it has another form.
func Host(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

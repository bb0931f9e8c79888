package registry

import (
	"net"
	"slices"
	"time"
)

// Target is what the platform's registry says of a target.
type Target struct {
	ID               string // new at most starts
	Born             int64  // Unix time in ms of the start; tells starts under one id apart
	Service          string
	Address          string // IP:PORT
	AvailabilityZone string
	Slots            int
	Draining         bool
	Remaining        time.Duration // until the target is taken away; 0 if not known
	ColdRemaining    time.Duration // how much longer it is slow after its start
	Models           []Model
}

// Model is a model that a target holds, with the adapters held on it.
type Model struct {
	Name     string
	Version  int
	Adapters []string
}

// Report is what an engine says of its present state.
type Report struct {
	Born            int64
	Models          []Model
	LoadingAdapters []Adapter // adapters on their way to the target
	Busy            bool      // an order for a model is in progress
	Sequence        int64     // orders accepted since the start
	Waiting         int
	Running         int
	KVUsed          int // tokens of memory that cannot be evicted
	KVTotal         int
	Draining        bool
	Remaining       time.Duration
	InMemory        []string // models with a copy in host memory
	OnDisk          []string // models with a copy on disk
}

// HasLocalWeights reports whether the target has the weights of a model in its host's memory or on its disk.
func (r *Report) HasLocalWeights(model string) bool {
	return slices.Contains(r.InMemory, model) || slices.Contains(r.OnDisk, model)
}

// Adapter names an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// Holds reports whether models contain the model and, unless it is empty, the adapter on it.
func Holds(models []Model, model, adapter string) bool {
	i := slices.IndexFunc(models, func(m Model) bool { return m.Name == model })
	if i < 0 {
		return false
	}
	return adapter == "" || slices.Contains(models[i].Adapters, adapter)
}

// ModelNames returns the names of models in alphabetical order.
func ModelNames(models []Model) []string {
	names := make([]string, 0, len(models))
	for _, m := range models {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// AdapterCount returns how many adapters models hold.
func AdapterCount(models []Model) int {
	n := 0
	for _, m := range models {
		n += len(m.Adapters)
	}
	return n
}

// Host returns the IP address of an address with a port, or an empty string if it is none.
func Host(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

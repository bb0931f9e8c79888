package route

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what of a route's requests may be repeated.
type Kind int

// The kinds of routes.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run more than once
	Streaming             // a stream of events; runs at most once unless it is resumable
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	default:
		return "unsafe"
	}
}

// Backend is a service behind a route with its part of the route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route tells how the requests under a host and a path prefix are served.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // the longest time that a caller is kept waiting
	LatencyObjective time.Duration // time to the answer, or to the first event, that earns the full value
	MaxGap           time.Duration // longest pause between events for an answer on time
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // how many targets may run one request
	Resumable        bool          // a stream may go on at another target
	Backends         []Backend
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Streaming && r.Resumable) }

// Model is a model that the targets of a service may hold.
type Model struct {
	Name           string
	WeightMB       float64
	Adapters       int
	AdapterMB      float64
	StoreLoadTime  time.Duration // load from the weight store
	DiskLoadTime   time.Duration // load from the target's disk
	MemoryLoadTime time.Duration // load from the target's host memory
	CatalogIndex   int           // position in the operators' list
}

// Engine holds the limits of the model engines of a service.
type Engine struct {
	Models              map[string]Model
	Slots               int
	KVTokens            int
	WeightMemoryMB      float64 // memory for weights and adapters of one target
	AdapterSlots        int
	StoreLoadsPerSecond float64 // loads from the weight store a second, over all targets
	TokensPerItem       int     // tokens in one event of a stream
}

// Service is a group of equal targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // connections that a target accepts from all processes
	Engine         *Engine // nil for a plain service
}

// Limits bound what callers may send and how long they may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routes and services; it does not change.
type Table struct {
	version  int64
	limits   Limits
	services map[string]Service
	byHost   map[string][]*Route
	routes   int
}

// New returns the table with the given content.
func New(version int64, limits Limits, services []Service, routes []Route) *Table {
	t := &Table{
		version:  version,
		limits:   limits,
		services: make(map[string]Service, len(services)),
		byHost:   map[string][]*Route{},
		routes:   len(routes),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Version returns the number of the version, which only grows.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits of requests.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services by name.
func (t *Table) Services() map[string]Service { return t.services }

// Match returns the route of host with the longest prefix that begins path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService returns the service for a request whose hash is spread evenly over all values.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(hash % uint64(total))
	for _, b := range r.Backends {
		if point -= b.Weight; point < 0 {
			return b.Service
		}
	}
	return ""
}

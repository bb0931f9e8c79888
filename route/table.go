package route

import (
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route's requests; it decides whether a request may be run again.
type Kind int

// The kinds of routes.
const (
	Unsafe    Kind = iota // a request runs at most once
	Safe                  // a request may run more than once
	Streaming             // answered by a stream of events; runs at most once unless it is resumable
)

// String returns the name of the kind as logs show it.
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

// Backend is a service behind a route, with the weight by which it gets a share of the route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route describes how the requests with a host and a path prefix are served.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // longest time that a caller waits
	LatencyObjective time.Duration // time to the answer, or to the first event, that earns the full value
	MaxGap           time.Duration // longest pause between events of an answer that counts as on time
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // number of targets that may run one request
	Resumable        bool          // a broken stream may be resumed at another target
	Public           bool          // requests need no key
	Backends         []Backend
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Streaming && r.Resumable) }

const (
	// Callers abandon a stream whose next event takes longer than minStreamPatience, patiencePerObjective times the latency
	// objective and patiencePerGap times the longest pause for an answer on time, whichever is longest.
	minStreamPatience    = 2 * time.Second
	patiencePerObjective = 4
	patiencePerGap       = 8
)

// StreamPatience returns for how long callers wait for the first or the next event of a stream; 0 for other kinds of
// routes, whose callers wait until their deadline.
func (r *Route) StreamPatience() time.Duration {
	if r.Kind != Streaming {
		return 0
	}
	return max(minStreamPatience, patiencePerObjective*r.LatencyObjective, patiencePerGap*r.MaxGap)
}

// Model is a model that the targets of a service may hold.
type Model struct {
	Name           string
	WeightMB       float64
	Adapters       int
	AdapterMB      float64
	StoreLoadTime  time.Duration // load from the weight store
	DiskLoadTime   time.Duration // load from the target's disk
	MemoryLoadTime time.Duration // load from the target's host memory
	CatalogIndex   int           // position in the operators' list of models
}

// Engine holds the limits of the model engines of a service.
type Engine struct {
	Models              map[string]Model
	Slots               int
	KVTokens            int
	WeightMemoryMB      float64 // memory of one target for weights and adapters
	AdapterSlots        int
	StoreLoadsPerSecond float64 // over all targets
	TokensPerItem       int     // tokens per event of a stream
	Copies              Copies
}

// Copies describes how the KV cache of runs can be copied from one engine to another.
type Copies struct {
	Backups       bool          // while the run goes on, as its KV cache grows
	Moves         bool          // by a call
	BytesPerToken float64       // of KV cache
	LinkMbps      float64       // of each engine
	Lifetime      time.Duration // of a copy that is not used
}

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // connections that a target accepts from all processes together
	Engine         *Engine // nil for a plain service
}

// Limits bounds the size of callers' requests, the time to send their headers and the time a connection may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routes and services; it is immutable.
type Table struct {
	version      int64
	limits       Limits
	services     map[string]Service
	routesByHost map[string][]*Route
	routeCount   int
	document     []byte

	customers      map[string]*Customer // by name; nil if requests need no key
	customersByKey map[keyHash]*Customer
	meanQuotas     map[Unit]float64 // rates of the customers' quotas
	priorities     []priorityPair   // that requests of customers may have, in order
}

// New returns a table with the given content. Within a host, routes with longer prefixes match first.
func New(version int64, limits Limits, services []Service, routes []Route) *Table {
	t := &Table{
		version:      version,
		limits:       limits,
		services:     make(map[string]Service, len(services)),
		routesByHost: map[string][]*Route{},
		routeCount:   len(routes),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, hostRoutes := range t.routesByHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return t
}

// WithDocument returns a copy of the table with the document that it was decoded from, which must not be changed any more.
func (t *Table) WithDocument(document []byte) *Table {
	out := *t
	out.document = document
	return &out
}

// Document returns the document that the table was decoded from.
func (t *Table) Document() []byte { return t.document }

// Version returns the version number, which rises with each publication.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits of callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.routeCount }

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services by name.
func (t *Table) Services() map[string]Service { return t.services }

// Match returns the route of the host with the longest prefix of path, or nil if none matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService returns the service for a request by the weights of the backends, or an empty string if they have none. The hashes of
// requests must be spread evenly over all values.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	offset := int(hash % uint64(total))
	for _, b := range r.Backends {
		if offset -= b.Weight; offset < 0 {
			return b.Service
		}
	}
	return ""
}

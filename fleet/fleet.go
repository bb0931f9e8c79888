package fleet

import (
	"sync"
	"time"

	"gypsumbank/registry"
	"gypsumbank/route"
)

const (
	// reportLifetime is the age at which a report of an agent gives way to the registry.
	reportLifetime = 3 * time.Second
	// absenceGrace is how long a target may be missing from the registry after the store was away.
	absenceGrace = 2500 * time.Millisecond
	// usualMemory is the memory of a target in tokens where it is not known.
	usualMemory = 100000
	// keptShare is the part of a target's memory that prompts which have been read are expected to keep.
	keptShare = 0.7
	// maxOutbox bounds the prompt parts that wait to be told to an agent.
	maxOutbox = 1024
)

// Fleet is the view of all targets; its methods may be called by several goroutines.
type Fleet struct {
	zone string

	mu        sync.Mutex
	services  map[string]route.Service
	states    map[string]*state
	byService map[string][]*state
	paces     map[string]float64  // model to measured prefill time in ms per token
	demand    map[demandKey]*rate // at this gateway
	total     map[demandKey]float64
	totalFrom int // gateways in total
	totalAt   time.Time

	storeLoads map[string][]time.Time // by service, loads from the weight store that were planned lately
	storeUntil map[string]time.Time   // by service, when the next load from the weight store may begin
	readAt     time.Time              // of the registry
}

// state is what is known of one run of a target.
type state struct {
	registry.Target
	report   registry.Report
	reportAt time.Time
	watchers int    // gateways that watch the agent
	loading  string // model of a load in progress
	room     int    // places for adapters that are free or can be freed
	planned  bool   // this gateway decides which models it holds

	loadingSince time.Time
	loadedAt     map[string]time.Time // when a model was last loaded

	inflight int                      // own requests at the target
	others   float64                  // expected ms of prefill of other gateways' requests
	outbox   []PromptPart             // sent there and not yet told to its agent
	unread   float64                  // expected ms of prefill of own requests without a first event
	unsent   int                      // own requests among those
	pending  map[*Assignment]struct{} // those requests
	models   map[string]int           // own requests by model
	adapters map[registry.Adapter]int // own requests by adapter
	kept     *parts

	latency     float64 // ms, moving average over a plain service's answers
	performance performance
	failures    int // failures to connect in a row
	avoid       time.Time
	gone        bool      // another target has the address
	toldUntil   time.Time // until when the registry need not show a run that its agent has told of
	missing     time.Time
}

// New returns an empty view for a gateway in the given availability zone.
func New(zone string) *Fleet {
	return &Fleet{
		zone:       zone,
		services:   map[string]route.Service{},
		states:     map[string]*state{},
		byService:  map[string][]*state{},
		paces:      map[string]float64{},
		demand:     map[demandKey]*rate{},
		storeUntil: map[string]time.Time{},
		storeLoads: map[string][]time.Time{},
	}
}

// SetServices replaces the services.
func (f *Fleet) SetServices(services map[string]route.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services = services
}

// Change tells how an update of the registry changed the view.
type Change struct {
	Added    []registry.Target
	Removed  []registry.Target
	Draining []registry.Target
}

// UpdateTargets replaces the registered targets. If the store was away since the last update, targets that are missing are kept
// for a while, since their entries may have lapsed meanwhile.
func (f *Fleet) UpdateTargets(targets []registry.Target, storeWasAway bool, now time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var change Change
	f.readAt = now
	seen := make(map[string]bool, len(targets))
	for _, t := range targets {
		seen[t.ID] = true
		known := f.states[t.ID]
		if known != nil && known.Born > t.Born {
			continue // an agent has told of a later run that the registry does not show yet
		}
		if known == nil || known.Born != t.Born {
			f.states[t.ID] = newState(t)
			change.Added = append(change.Added, t)
			continue
		}
		if t.Draining && !known.Draining {
			change.Draining = append(change.Draining, t)
		}
		if known.Address != t.Address {
			known.gone, known.failures = false, 0
		}
		if t.Models == nil {
			t.Models = known.Models // read for this gateway by an agent, which tells of its own models only
		}
		known.Target = t
		known.missing = time.Time{}
	}
	change.Removed = f.removeMissing(seen, storeWasAway, now)
	f.index()
	return change
}

// removeMissing drops the targets that the registry does not show, apart from those that may yet be in it.
func (f *Fleet) removeMissing(shown map[string]bool, storeWasAway bool, now time.Time) []registry.Target {
	var removed []registry.Target
	for id, s := range f.states {
		if shown[id] {
			continue
		}
		if storeWasAway && s.missing.IsZero() {
			s.missing = now.Add(absenceGrace)
		}
		if now.Before(s.missing) || now.Before(s.toldUntil) {
			continue
		}
		delete(f.states, id)
		removed = append(removed, s.Target)
	}
	return removed
}

func newState(t registry.Target) *state {
	return &state{
		Target: t, kept: newParts(usualMemory), models: map[string]int{}, loadedAt: map[string]time.Time{}, pending: map[*Assignment]struct{}{}, adapters: map[registry.Adapter]int{},
	}
}

func (f *Fleet) index() {
	f.byService = make(map[string][]*state, len(f.byService))
	for _, s := range f.states {
		f.byService[s.Service] = append(f.byService[s.Service], s)
	}
}

// Observation is what an agent tells of its target.
type Observation struct {
	Report      registry.Report
	Host        string // IP address of the agent's VM, which runs no other target of the service
	Loading     string // model of a load in progress
	Watchers    int    // gateways that watch the agent
	PlannedHere bool   // the gateway that is told decides which models the target holds
	// AvailableAdapterSlots is the number of places for adapters that are free or can be freed.
	AvailableAdapterSlots int
	// QueuedPrefillMs is the expected time to read the prompts that all gateways have waiting there.
	QueuedPrefillMs float64
	// Parts holds prompt parts that other gateways have sent there.
	Parts []PromptPart
}

// Observe takes over an agent's report on the run of a target; one on an earlier run is ignored.
func (f *Fleet) Observe(id string, seen Observation, now time.Time) {
	report := seen.Report
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	if s == nil {
		s = f.succeed(id, seen, now)
	}
	if s == nil || report.Born < s.Born {
		return
	}
	if s.reportAt.IsZero() {
		f.supersede(s, seen.Host)
	}
	if report.Born > s.Born {
		s = newState(s.Target)
		s.Born, s.Draining = report.Born, false
		f.states[id] = s
		f.index()
	}
	s.report, s.reportAt, s.watchers, s.planned, s.room = report, now, seen.Watchers, seen.PlannedHere, seen.AvailableAdapterSlots
	s.others = max(0, seen.QueuedPrefillMs-s.unread)
	if report.KVTotal > 0 {
		s.kept.limit = int(keptShare * float64(report.KVTotal))
	}
	for _, part := range seen.Parts {
		s.kept.add(part)
	}
	if seen.Loading != "" || now.Sub(s.loadingSince) > orderMemory || registry.Holds(report.Models, s.loading, "") {
		if s.loading != seen.Loading {
			s.loadingSince = now
		}
		s.loading = seen.Loading
	}
}

// Targets returns the known targets of all services.
func (f *Fleet) Targets() []registry.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]registry.Target, 0, len(f.states))
	for _, s := range f.states {
		all = append(all, s.Target)
	}
	return all
}

// ModelUse is an adapter, or with an empty name a model, with the requests of this gateway that use it.
type ModelUse struct {
	registry.Adapter
	Requests int
}

// LoadReport is what a gateway tells an agent of its requests at the target.
type LoadReport struct {
	Uses             []ModelUse
	PendingPrefillMs float64
	Parts            []PromptPart // sent since the last share
}

// TakeLoadReport returns what to tell the agent of the first target that matches.
func (f *Fleet) TakeLoadReport(matches func(registry.Target) bool) LoadReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		if !matches(s.Target) {
			continue
		}
		share := LoadReport{PendingPrefillMs: s.unread, Parts: s.outbox}
		s.outbox = nil
		for a, n := range s.adapters {
			share.Uses = append(share.Uses, ModelUse{Adapter: a, Requests: n})
		}
		for model, n := range s.models {
			if n > 0 {
				share.Uses = append(share.Uses, ModelUse{Adapter: registry.Adapter{Model: model}, Requests: n})
			}
		}
		return share
	}
	return LoadReport{}
}

// GatewayCount returns how many gateways share the targets, at least 1, as far as agents have told.
func (f *Fleet) GatewayCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways()
}

// gateways returns how many gateways share the targets; the caller holds the lock.
func (f *Fleet) gateways() int {
	most := 1
	for _, s := range f.states {
		most = max(most, s.watchers)
	}
	return most
}

// MarkHeld records that a target now holds a model and adapter.
func (f *Fleet) MarkHeld(id, model, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	if s == nil || s.holds(model, adapter, time.Time{}) {
		return
	}
	s.report.Models = withHeld(s.report.Models, model, adapter)
	s.Models = withHeld(s.Models, model, adapter)
}

// MarkNotHeld records that a target does not hold an adapter, or a model if adapter is empty.
func (f *Fleet) MarkNotHeld(id, model, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[id]; s != nil {
		s.report.Models = withoutHeld(s.report.Models, model, adapter)
		s.Models = withoutHeld(s.Models, model, adapter)
	}
}

// MarkReplaced records that another target has the address of the one with the given id.
func (f *Fleet) MarkReplaced(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[id]; s != nil {
		s.gone = true
	}
}

// held returns the models that the target holds by the newest source.
func (s *state) held(now time.Time) []registry.Model {
	if !s.reportAt.IsZero() && now.Sub(s.reportAt) < reportLifetime {
		return s.report.Models
	}
	return s.Models
}

func (s *state) holds(model, adapter string, now time.Time) bool {
	return registry.Holds(s.held(now), model, adapter)
}

func (s *state) leaving() bool { return s.Draining || s.report.Draining || s.gone }

func withHeld(models []registry.Model, model, adapter string) []registry.Model {
	out := make([]registry.Model, 0, len(models)+1)
	found := false
	for _, m := range models {
		if m.Name == model {
			found = true
			if adapter != "" {
				m.Adapters = append(append([]string(nil), m.Adapters...), adapter)
			}
		}
		out = append(out, m)
	}
	if !found {
		m := registry.Model{Name: model}
		if adapter != "" {
			m.Adapters = []string{adapter}
		}
		out = append(out, m)
	}
	return out
}

func withoutHeld(models []registry.Model, model, adapter string) []registry.Model {
	out := make([]registry.Model, 0, len(models))
	for _, m := range models {
		if m.Name == model {
			if adapter == "" {
				continue
			}
			kept := make([]string, 0, len(m.Adapters))
			for _, a := range m.Adapters {
				if a != adapter {
					kept = append(kept, a)
				}
			}
			m.Adapters = kept
		}
		out = append(out, m)
	}
	return out
}

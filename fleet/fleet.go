package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumbank/footprint"
	"gypsumbank/notice"
	"gypsumbank/registry"
	"gypsumbank/route"
	"gypsumbank/spread"
	"gypsumbank/tally"
)

const (
	// reportLifetime is the age from which an agent's report is stale and the registry is used instead.
	reportLifetime = 3 * time.Second
	// maxEntryAge is the age of a registry entry above which it is removed: three intervals of its target's writes.
	maxEntryAge = 4 * time.Second
	// absenceGrace is how long a target may be missing from the registry after the store was down.
	absenceGrace = 2500 * time.Millisecond
	// defaultCacheTokens is the size of a target's prompt cache until its agent reports the size of its KV cache.
	defaultCacheTokens = 100000
	// promptCacheShare is the share of a target's KV cache that is expected to hold prompts of earlier requests.
	promptCacheShare = 0.7
	// maxUnsentParts limits the prompt parts queued for an agent; further parts are dropped.
	maxUnsentParts = 1024
)

// Fleet is a gateway's view of all targets. Its methods may be called by several goroutines.
type Fleet struct {
	zone    string
	notices *notice.Table

	mu                  sync.Mutex
	services            map[string]route.Service    // by name
	footprints          map[string]*footprint.Table // by service
	states              map[string]*targetState     // by target id
	byService           map[string][]*targetState   // the same states by service
	measuredMsPerToken  map[string]float64          // prefill time by model, moving average
	decodePaces         map[string]*decodePace      // by model
	tokenPaces          map[string]*tokenPace       // by model
	promptMixes         map[string]*promptMix       // by service
	ownDemand           map[demandKey]*decayingWork // from requests of this gateway
	totalDemand         map[demandKey]float64       // of all gateways, in ms of engine time per second
	totalDemandGateways int                         // number of gateways that totalDemand includes
	totalDemandAt       time.Time

	plannedStoreLoads map[string][]time.Time // by service, times of recently planned loads from the weight store
	storeBlockedUntil map[string]time.Time   // by service, earliest time of the next load from the weight store
	registryReadAt    time.Time              // of the read that is in force
	registryReadSince time.Time              // of the first read since when there was no gap above maxRegistryGap

	versionsSeenAt map[serviceVersion]time.Time // when the registry last listed a target of the version
	storedVersions storedVersions

	random        *rand.Rand                                 // for choices among many gateways
	isConnected   func(address string, atMostOnce bool) bool // an idle connection can be used; nil if that is not known
	plainArrivals map[string]*arrivals                       // this gateway's requests by plain service
	chooseAmong   func([]spread.Candidate, float64) int      // spread.Choose, or another one in tests

	backups map[string]map[*Backup]struct{} // by id of the engine that keeps the copies of this gateway's runs; nil before the first
}

// targetState is what is known of one run of a target, that is one start of its process.
type targetState struct {
	registry.Target
	report                registry.Report // the last one from the agent
	reportAt              time.Time       // when that report arrived; zero before the first
	modelsAt              time.Time       // when the registry last told of the models
	watchers              int             // number of gateways connected to the agent
	loading               string          // model of a load in progress, or empty
	availableAdapterSlots int             // adapter slots that are free or can be freed
	plannedHere           bool            // this gateway plans which models the target holds

	loadingSince time.Time
	loadedAt     map[string]time.Time // when a model was last loaded

	inflight          int                      // this gateway's requests at the target
	reportedInflight  int                      // of these, as last reported to the target's agent
	othersInflight    int                      // other gateways' requests at the target
	fullUntil         time.Time                // until when the target counts as full after it refused a request
	residenceMs       float64                  // time from the send of a request to its end, moving average
	slowest           slowestAnswer            // of a plain target
	othersPrefillMs   float64                  // expected prefill time of other gateways' pending requests
	unsentParts       []PromptPart             // prompt parts sent to the target and not yet reported to its agent
	pendingPrefillMs  float64                  // expected prefill time of this gateway's pending requests
	ownTurnWaitMs     float64                  // expected prefill time of this gateway's requests that wait for a turn
	othersTurnWaitMs  float64                  // the same of other gateways' requests
	backlog           loadAverage              // prefill work of all gateways that waits at the target
	occupancy         loadAverage              // number of requests of all gateways at the target
	pendingCount      int                      // number of pending requests
	pending           map[*Assignment]struct{} // this gateway's requests without a first byte
	requestsByModel   map[string]int           // this gateway's requests by model
	requestsByAdapter map[registry.Adapter]int // this gateway's requests by adapter
	promptCache       *promptCache             // estimate of what the target's KV cache holds

	latencyMs         float64   // time to the first byte at a plain target, moving average
	latencyAt         time.Time // of the last answer that it includes
	performance       performance
	tokenPace         tokenPace // of streams of all models
	connectFailures   int       // in a row
	backoffUntil      time.Time // until when the target gets requests only if all others are in backoff, too
	replaced          bool      // another target, or a later run, has the address
	unregisteredUntil time.Time // until when a run that was reported by its agent may be missing from the registry
	missingUntil      time.Time // until when a registered target may be missing from the registry
}

// New returns an empty view for a gateway in the given availability zone.
func New(zone string) *Fleet {
	return &Fleet{
		zone:               zone,
		notices:            notice.New(),
		services:           map[string]route.Service{},
		footprints:         map[string]*footprint.Table{},
		states:             map[string]*targetState{},
		byService:          map[string][]*targetState{},
		measuredMsPerToken: map[string]float64{},
		decodePaces:        map[string]*decodePace{},
		tokenPaces:         map[string]*tokenPace{},
		promptMixes:        map[string]*promptMix{},
		ownDemand:          map[demandKey]*decayingWork{},
		storeBlockedUntil:  map[string]time.Time{},
		plannedStoreLoads:  map[string][]time.Time{},
		versionsSeenAt:     map[serviceVersion]time.Time{},
		random:             rand.New(rand.NewPCG(0, 0)),
		plainArrivals:      map[string]*arrivals{},
		chooseAmong:        spread.Choose,
	}
}

// AvailabilityZone returns the zone of the gateway.
func (f *Fleet) AvailabilityZone() string { return f.zone }

// Seed sets where the sequence of numbers begins that choices among many gateways are drawn by. It must differ between gateways.
func (f *Fleet) Seed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random = rand.New(rand.NewPCG(seed, 0))
}

// SetConnections sets the function that tells whether an idle connection to an address can be used for a request, or for one that must
// not run twice. The function must not call the fleet.
func (f *Fleet) SetConnections(isConnected func(address string, atMostOnce bool) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isConnected = isConnected
}

// SetServices replaces the services by name. What targets hold keeps the size that it was listed with.
func (f *Fleet) SetServices(services map[string]route.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services = services
	f.updateFootprints()
}

// Change lists the differences between two successive lists of registered targets.
type Change struct {
	Added    []registry.Target
	Removed  []registry.Target
	Draining []registry.Target // those that have begun to drain
}

// RecordRegistryRead records when the registry was read whose targets are, or were already, in force.
func (f *Fleet) RecordRegistryRead(readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registryReadSince.IsZero() || readAt.Sub(f.registryReadAt) > maxRegistryGap {
		f.registryReadSince = readAt
	}
	f.registryReadAt = readAt
}

// UpdateTargets replaces the registered targets and returns what has changed. If the store was down since the last
// call, targets that are missing are kept for absenceGrace, since their entries may have expired while they could not
// be renewed.
func (f *Fleet) UpdateTargets(targets []registry.Target, storeWasDown bool, now time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var change Change
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
		f.versionsSeenAt[serviceVersion{t.Service, t.SoftwareVersion}] = now
		known := f.states[t.ID]
		if known != nil && known.Born > t.Born {
			continue // an agent has reported a later run that the registry does not list yet
		}
		if known == nil || known.Born != t.Born {
			f.states[t.ID] = newState(t)
			f.states[t.ID].modelsAt = now
			change.Added = append(change.Added, t)
			continue
		}
		if t.Draining && !known.Draining {
			change.Draining = append(change.Draining, t)
		}
		if known.Address != t.Address {
			known.replaced, known.connectFailures = false, 0
		}
		if t.Models == nil {
			t.Models = known.Models // a list relayed by an agent has no models: an agent reports only those of its own target
		} else {
			known.modelsAt = now
		}
		known.Target = t
		known.missingUntil = time.Time{}
	}
	change.Removed = f.removeMissing(listed, storeWasDown, now)
	f.indexByService()
	f.forgetUnused(now)
	return change
}

// removeMissing removes and returns the targets that are not listed, except those that may be missing for a while.
func (f *Fleet) removeMissing(listed map[string]bool, storeWasDown bool, now time.Time) []registry.Target {
	var removed []registry.Target
	for id, s := range f.states {
		if listed[id] {
			continue
		}
		if storeWasDown && s.missingUntil.IsZero() {
			s.missingUntil = now.Add(absenceGrace)
		}
		if now.Before(s.missingUntil) || now.Before(s.unregisteredUntil) {
			continue
		}
		delete(f.states, id)
		removed = append(removed, s.Target)
	}
	return removed
}

// newState returns the state of a target of which nothing but its registration is known.
func newState(t registry.Target) *targetState {
	return &targetState{
		Target: t, promptCache: newPromptCache(defaultCacheTokens), requestsByModel: map[string]int{}, loadedAt: map[string]time.Time{}, pending: map[*Assignment]struct{}{}, requestsByAdapter: map[registry.Adapter]int{},
	}
}

// indexByService rebuilds byService from states, in the order of the ids, so that choices repeat under a seed; the caller holds the lock.
func (f *Fleet) indexByService() {
	f.byService = make(map[string][]*targetState, len(f.byService))
	for _, s := range f.states {
		f.byService[s.Service] = append(f.byService[s.Service], s)
	}
	for _, states := range f.byService {
		slices.SortFunc(states, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Observation is a message of an agent about its target.
type Observation struct {
	Report      registry.Report
	Host        string // IP address of the agent's VM, which runs no other target of the service
	Loading     string // model of a load in progress, or empty
	Watchers    int    // number of gateways connected to the agent
	PlannedHere bool   // this gateway plans which models the target holds
	// AvailableAdapterSlots is the number of adapter slots that are free or can be freed.
	AvailableAdapterSlots int
	// QueuedPrefillMs is the expected prefill time of the prompts that all gateways have waiting there.
	QueuedPrefillMs float64
	// TurnWaitMs is the part of QueuedPrefillMs that waits for a turn and has not been sent.
	TurnWaitMs float64
	// Requests is the number of requests that all gateways have there.
	Requests int
	// Parts holds prompt parts that other gateways have sent there since the last message.
	Parts []PromptPart
	// Others is what the answers to the other gateways tell of the target.
	Others tally.Estimate
}

// Observe updates the state of a target from its agent's message. A message about an earlier run of the target, or from before
// an order that another message has shown, is ignored; one about a later run replaces what is known of the target, even before the
// registry lists that run. A planned load that the agent does not report counts as in progress until unreportedLoadLifetime has passed or the
// model is held.
func (f *Fleet) Observe(id string, observation Observation, now time.Time) {
	report := observation.Report
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	if s == nil {
		s = f.addUnregisteredRun(id, observation, now)
	}
	if s == nil || report.Born < s.Born || (report.Born == s.Born && report.Sequence < s.report.Sequence) {
		return
	}
	if s.reportAt.IsZero() {
		f.markReplacedRuns(s, observation.Host)
	}
	if report.Born > s.Born {
		s = newState(s.Target)
		s.Born, s.Draining, s.SoftwareVersion = report.Born, false, ""
		f.states[id] = s
		f.indexByService()
	}
	s.report, s.reportAt, s.watchers, s.plannedHere, s.availableAdapterSlots = report, now, observation.Watchers, observation.PlannedHere, observation.AvailableAdapterSlots
	s.othersPrefillMs = max(0, observation.QueuedPrefillMs-observation.TurnWaitMs-s.pendingPrefillMs)
	s.othersTurnWaitMs = max(0, observation.TurnWaitMs-s.ownTurnWaitMs)
	s.othersInflight = max(0, observation.Requests-s.reportedInflight)
	s.backlog.set(s.pendingPrefillMs+s.othersPrefillMs, now)
	s.occupancy.set(float64(s.inflight+s.othersInflight), now)
	s.performance.rare = observation.Watchers >= manyGateways
	s.performance.setOthers(observation, now)
	if report.KVTotal > 0 {
		s.promptCache.limitTokens = int(promptCacheShare * float64(report.KVTotal))
	}
	for _, part := range observation.Parts {
		s.promptCache.add(part)
	}
	if observation.Loading != "" || now.Sub(s.loadingSince) > unreportedLoadLifetime || registry.Holds(report.Models, s.loading, "") {
		if s.loading != observation.Loading {
			s.loadingSince = now
		}
		s.loading = observation.Loading
	}
}

// Targets returns the known targets of all services in no particular order.
func (f *Fleet) Targets() []registry.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]registry.Target, 0, len(f.states))
	for _, s := range f.states {
		all = append(all, s.Target)
	}
	return all
}

// GatewayCount returns the largest number of gateways that an agent has reported, at least 1.
func (f *Fleet) GatewayCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gatewayCountLocked()
}

// gatewayCountLocked is GatewayCount for callers that hold the lock.
func (f *Fleet) gatewayCountLocked() int {
	most := 1
	for _, s := range f.states {
		most = max(most, s.watchers)
	}
	return most
}

// MarkReplaced records that another target has taken over the address of the one with the given id.
func (f *Fleet) MarkReplaced(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[id]; s != nil {
		s.replaced = true
	}
}

// mustNotUse reports whether a target must not get new requests or loads, as it leaves, by whatever source, or another one has its
// address.
func (f *Fleet) mustNotUse(s *targetState) bool {
	return s.Draining || s.report.Draining || s.replaced || f.notices.Leaving(s.Target)
}

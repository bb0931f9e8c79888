package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/registry"
	"gypsumbank/request"
)

// Targets are compared by a cost in ms: the expected time to the first byte, with penalties that are worth as much as
// that delay.
const (
	// defaultPrefillMsPerToken is the prefill time of a model that has not been measured yet.
	defaultPrefillMsPerToken = 0.03
	// otherZoneCostMs is the cost of another availability zone: a round trip of about 7 ms and the billed traffic.
	otherZoneCostMs = 12
	// baseLatencyMs is the time to the first byte without queueing and prefill.
	baseLatencyMs = 8
	// adapterLoadMs is the time for loading an adapter through the target's agent.
	adapterLoadMs = 25
	// adapterWaitMs is the usual time until an engine can load an adapter if it is loading or unloading a model, or has
	// no adapter slot that is free or can be freed.
	adapterWaitMs = 700
	// coldStartCostMs is the cost of a model engine that is still slow after its start.
	coldStartCostMs = 100
	// maxAffinityCostMs is the upper bound of affinityCost.
	maxAffinityCostMs = 20
	// longPromptTokens is the prompt length from which the prefill takes several steps of the engine's batch.
	longPromptTokens = 3000
	// runningRequestMs is the delay of a first byte by each running request in the target's batch.
	runningRequestMs = 0.6
	// plainLoadFactor is by how many times its latency the cost of a plain target rises until its slots are taken.
	plainLoadFactor = 2
	// failedAnswerCostMs is the cost of a target at an error rate of 1.
	failedAnswerCostMs = 1500
	// refusalCostMs is the cost of a plain target that refuses all requests. With many gateways a target's refusals tell more
	// of its load than the few requests that this gateway has there.
	refusalCostMs = 150
	// fullCostMs is the cost of a target without free KV cache, and that of one without free slots.
	fullCostMs = 1000
	// unresponsiveCostMs is the cost of a target that may be frozen or unreachable.
	unresponsiveCostMs = 400
	// missedHeartbeatAge is the age of an agent's last report above which a heartbeat counts as missed. Agents send a
	// heartbeat every 500 ms. An agent with at most fewGateways connected gateways sends one every 250 ms, and
	// missedHeartbeatAgeForFew applies to it.
	missedHeartbeatAge       = 900 * time.Millisecond
	missedHeartbeatAgeForFew = 450 * time.Millisecond
	fewGateways              = 8
	// A request without a first byte counts as stalled after stallFactor times its expected time plus stallMargin.
	stallMargin = 800 * time.Millisecond
	stallFactor = 3
	// A target fetches KV cache from another in fetchBaseMs plus fetchMsPerToken for each token.
	fetchMsPerToken = 0.003
	fetchBaseMs     = 5
	// fetchPenaltyMs is the cost of a fetch in addition to its time; the prefill time that it saves must cover both.
	fetchPenaltyMs = 20
	// fullOccupancyCostMs is the cost of a target all of whose slots are taken, in addition to the wait for one.
	fullOccupancyCostMs = 40
	// preemptionShare is the share of a target's KV cache in use above which requests preempt one another.
	preemptionShare = 0.92
)

// Query is the input of Choose.
type Query struct {
	Service string
	Request *request.Request
	Exclude map[string]bool // ids of targets that must not be chosen
	// SoftwareVersion is the only one whose targets may be chosen, nil for any: that of the target which began the stream.
	SoftwareVersion *registry.SoftwareVersion
	AtMostOnce      bool // the request must not run twice; fewer idle connections can be used for it
	// LoadsModel tells that the model will be loaded for the request if all targets that hold it are excluded.
	LoadsModel bool
	// BeginsResumable tells that the request begins a stream that its caller may take up at any gateway.
	BeginsResumable bool
}

// Choice is the result of Choose: a target and the estimates that it was chosen by.
type Choice struct {
	Target        registry.Target
	LacksModel    bool          // no target holds the model; Target is not set
	LacksAdapter  bool          // the target holds the model but has to load the adapter first
	Expected      time.Duration // until the first byte
	PrefillTokens int           // prompt tokens that the target has to prefill
	FetchFrom     string        // address of a target to fetch KV cache of the prompt from, or empty
	FetchTokens   int           // tokens whose KV cache is fetched from there instead of prefilled
	ReportAge     time.Duration // age of the agent's last report, or for a plain service of the last read of the registry; negative without a report
	Candidates    int           // number of targets that were compared
	HasRoom       bool          // the target can begin to serve the request at once; for a plain service: it accepts one now by what it has said of itself
	SlotInterval  time.Duration // average time between two free slots of all holders of the model while all slots are taken, or between two turns by a limit
	TurnWait      time.Duration // until the target accepts a request, by what it has said of itself; part of Expected
	PrefillQueue  time.Duration // until a long prompt gets its turn to be prefilled, if those that wait for one go first; not part of Expected
	Rank          int           // number of candidates with a lower cost
	Connected     bool          // an idle connection to the target can be used
	PromptClass   PromptClass   // whether the target is one of those for the request's class of prompts
	prefillMs     float64       // expected time to prefill and fetch those tokens
	queueMs       float64       // part of the expected time in which the prompts that wait at the target are prefilled
	baselineMs    float64       // expected time to the first byte at a target of usual speed that need not load the adapter
}

// Choose returns the target with the lowest cost for a request or, among many gateways, one with a low cost, see pick. If none of the service's usable targets holds the
// model, the choice has no target and LacksModel is set. ok is false if the service has no usable target, or if all
// that could serve the request are excluded.
func (f *Fleet) Choose(query Query, now time.Time) (choice Choice, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usable, known, ok := f.eligibleTargets(query, now, nil)
	if !ok {
		return Choice{}, false
	}
	if len(usable) == 0 {
		return Choice{LacksModel: true, Candidates: known}, true
	}
	usable, missed := f.withTurns(usable, now)
	for _, s := range missed {
		f.notices.Miss(s.Target, now)
	}
	return f.applyTurn(f.pick(f.options(usable, query, now), query, now), now), true
}

// eligibleTargets returns the targets among which a choice is made, whether or not they may get a request now, and the number of targets
// that were known to be usable. There are none if the model is held by none of them. It records in omitted which are left out, unless
// that is nil.
func (f *Fleet) eligibleTargets(query Query, now time.Time, omitted omissions) (usable []*targetState, known int, ok bool) {
	usable = f.withStoredVersion(f.usableTargets(query.Service, query.SoftwareVersion, now, omitted), query, omitted)
	if len(usable) == 0 {
		return nil, 0, false
	}
	isExcluded := func(s *targetState) bool { return query.Exclude[s.ID] && omitted.add(s, OmittedExcluded) }
	if query.LoadsModel && !slices.ContainsFunc(usable, func(s *targetState) bool { return !isExcluded(s) }) {
		return nil, 0, false
	}
	known = len(usable)
	if f.services[query.Service].Engine != nil && query.Request.Model != "" {
		usable = slices.DeleteFunc(usable, func(s *targetState) bool {
			return (!s.holds(query.Request.Model, "", now) && omitted.add(s, OmittedLacksModel)) || (query.LoadsModel && isExcluded(s))
		})
		if len(usable) == 0 {
			return nil, known, true
		}
	}
	usable = slices.DeleteFunc(usable, isExcluded)
	return usable, known, len(usable) > 0
}

// options returns the targets that a choice is made among, with their costs.
func (f *Fleet) options(usable []*targetState, query Query, now time.Time) []option {
	if f.services[query.Service].Engine == nil || query.Request.Model == "" {
		return f.plainOptions(usable, now)
	}
	return f.holderOptions(usable, query, now)
}

// usableTargets returns the targets that accept requests, of one software version unless that is nil. Those in backoff are only
// returned if there are no others.
func (f *Fleet) usableTargets(service string, version *registry.SoftwareVersion, now time.Time, omitted omissions) []*targetState {
	available := make([]*targetState, 0, len(f.byService[service]))
	var backingOff []*targetState
	for _, s := range f.byService[service] {
		switch {
		case s.replaced:
			omitted.add(s, OmittedReplaced)
		case f.mustNotUse(s):
			omitted.add(s, OmittedLeaving)
		case version != nil && s.SoftwareVersion != *version:
			omitted.add(s, OmittedOtherVersion)
		case now.Before(s.backoffUntil):
			backingOff = append(backingOff, s)
		default:
			available = append(available, s)
		}
	}
	if len(available) == 0 {
		return backingOff
	}
	for _, s := range backingOff {
		omitted.add(s, OmittedBackingOff)
	}
	return available
}

// option is a target that may be chosen, with the estimates by which it is compared.
type option struct {
	target *targetState
	choice Choice
	costs  Costs
	costMs float64 // sum of costs
}

// add adds to a part of the cost.
func (o *option) add(part CostPart, ms float64) {
	o.costs[part] += ms
	o.costMs += ms
}

// plainOptions returns the targets of a plain service with their costs. The average latency of a target is multiplied by a factor that
// grows from 1 if it is idle to 3 if this gateway's requests use all of its slots.
func (f *Fleet) plainOptions(usable []*targetState, now time.Time) []option {
	options := make([]option, len(usable))
	for i, s := range usable {
		latencyMs := max(1, s.latencyMs)
		costs := &options[i].costs
		costs[LatencyCost] = latencyMs
		costs[LoadCost] = latencyMs * plainLoadFactor * float64(s.inflight) / float64(max(1, s.Slots))
		costs[ZoneCost] = f.zoneCost(s)
		costs[FailuresCost] = s.performance.errorRate(now) * failedAnswerCostMs
		costs[RefusalsCost] = s.performance.refusalRate(now) * refusalCostMs
		costs[UnresponsiveCost] = s.unresponsiveCost(now)
		if s.inflight >= s.Slots {
			costs[CapacityCost] = fullCostMs
		}
		if s.ColdRemaining > 0 {
			costs[ColdStartCost] = latencyMs
		}
		options[i].target, options[i].costMs = s, costs.Total()
		options[i].choice = Choice{
			Target: s.Target, Expected: durationFromMs(max(1, s.fadedLatencyMs(now))), ReportAge: now.Sub(f.registryReadAt), Candidates: len(usable), HasRoom: true,
		}
	}
	return options
}

// holderOptions returns the targets that hold the model with their costs.
func (f *Fleet) holderOptions(holders []*targetState, query Query, now time.Time) []option {
	req := query.Request
	prefixHashes := req.PrefixHashes()
	sources := newPrefixSources(holders, req, prefixHashes, now)
	separates := f.gatewayCountLocked() < manyGateways // counted once: it goes through all targets
	var ranks map[string]float64
	if separates {
		ranks = holderRanks(holders)
	}
	options := make([]option, len(holders))
	for i, s := range holders {
		prefillTokens := s.uncachedTokens(req, prefixHashes)
		fetchFrom, fetchTokens := sources.choose(s, prefillTokens, f.prefillMsPerToken(req.Model))
		prefillTokens -= fetchTokens
		prefillMs := float64(prefillTokens) * f.prefillMsPerToken(req.Model)
		if fetchTokens > 0 {
			prefillMs += fetchBaseMs + fetchMsPerToken*float64(fetchTokens)
		}
		costs := &options[i].costs
		costs[BaseLatencyCost] = baseLatencyMs
		costs[QueueCost] = f.queueMs(s, now)
		costs[SlotWaitCost] = s.slotWaitMs(now)
		costs[PrefillCost] = prefillMs
		costs[RunningCost] = runningRequestMs * float64(max(s.inflight, s.report.Running))
		baselineMs := costs.upTo(RunningCost)
		costs[SlownessCost] = baselineMs * (s.performance.slowness(now) - 1)
		lacksAdapter := req.Adapter != "" && !s.holds(req.Model, req.Adapter, now)
		if lacksAdapter {
			costs[AdapterLoadCost] = adapterLoadMs
		}
		if lacksAdapter && (s.report.Busy || s.loading != "" || (s.availableAdapterSlots == 0 && !s.reportAt.IsZero())) {
			costs[AdapterWaitCost] = adapterWaitMs
		}
		expectedMs := costs.upTo(AdapterWaitCost)
		costs[TurnQueueCost] = s.turnQueueMs(prefillMs, now)
		costs[ZoneCost] = f.zoneCost(s)
		costs[FailuresCost] = s.performance.errorRate(now) * failedAnswerCostMs
		costs[CapacityCost] = f.capacityCost(s, req, now)
		costs[OccupancyCost] = s.occupancyCost(now)
		costs[AffinityCost] = affinityCost(prefixHashes, s.ID)
		if separates {
			costs[MixingCost] = f.mixingCost(s.Service, req, ranks[s.ID])
		}
		costs[UnresponsiveCost] = s.unresponsiveCost(now)
		if fetchTokens > 0 {
			costs[FetchCost] = fetchPenaltyMs
		}
		if s.ColdRemaining > 0 {
			costs[ColdStartCost] = coldStartCostMs
		}
		if !isLongPrompt(req) {
			costs[BacklogCost] = s.backlogCost(now) * f.promptMixes[s.Service].separation()
		}
		options[i].target, options[i].costMs = s, costs.Total()
		options[i].choice = Choice{
			Target: s.Target, LacksAdapter: lacksAdapter, Expected: durationFromMs(expectedMs), PrefillTokens: prefillTokens, FetchFrom: fetchFrom, FetchTokens: fetchTokens, Candidates: len(holders),
			ReportAge: s.reportAge(now), HasRoom: s.hasRoom(req, now), SlotInterval: durationFromMs(s.slotIntervalMs() / float64(len(holders))),
			PrefillQueue: durationFromMs(costs[TurnQueueCost]), PromptClass: Undivided, prefillMs: prefillMs, queueMs: costs[QueueCost], baselineMs: baselineMs,
		}
	}
	return options
}

// unresponsiveCost returns the cost in ms of a target that may be frozen or unreachable: its agent, on the same VM, has
// missed a heartbeat, or a request has stalled there, or both. A report older than reportLifetime is not
// taken into account.
func (s *targetState) unresponsiveCost(now time.Time) float64 {
	costMs := 0.0
	maxAge := missedHeartbeatAge
	if s.watchers <= fewGateways {
		maxAge = missedHeartbeatAgeForFew
	}
	if age := now.Sub(s.reportAt); !s.reportAt.IsZero() && age > maxAge && age < reportLifetime {
		costMs += unresponsiveCostMs
	}
	for a := range s.pending {
		if now.Sub(a.sentAt) > a.choice.Expected*stallFactor+stallMargin {
			return costMs + unresponsiveCostMs
		}
	}
	return costMs
}

// queueMs returns the expected time until the target has prefilled the prompts that wait there, those of other gateways
// included if its agent's report is recent.
func (f *Fleet) queueMs(s *targetState, now time.Time) float64 {
	if now.Sub(s.reportAt) < reportLifetime {
		return s.pendingPrefillMs + s.othersPrefillMs
	}
	return s.pendingPrefillMs
}

// capacityCost returns the cost in ms of a target that is full, as it has refused a request or lacks KV cache.
func (f *Fleet) capacityCost(s *targetState, req *request.Request, now time.Time) float64 {
	costMs := 0.0
	if !s.hasKVCache(req) {
		costMs += fullCostMs
	}
	if now.Before(s.fullUntil) {
		costMs += fullCostMs
	}
	return costMs
}

// uncachedTokens returns the number of prompt tokens after the longest prefix that the target is expected to have
// cached.
func (s *targetState) uncachedTokens(req *request.Request, prefixHashes []uint64) int {
	tokens := req.PromptTokens
	for i, part := range req.Parts {
		if !s.promptCache.has(prefixHashes[i]) {
			break
		}
		tokens -= part.Tokens
	}
	return max(0, tokens)
}

// reportAge returns the age of the agent's last report, or -1 if there was none.
func (s *targetState) reportAge(now time.Time) time.Duration {
	if s.reportAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportAt)
}

// zoneCost returns the cost in ms of a target in another availability zone than this gateway.
func (f *Fleet) zoneCost(s *targetState) float64 {
	if s.AvailabilityZone == f.zone {
		return 0
	}
	return otherZoneCostMs
}

// prefillMsPerToken returns the measured prefill time of a model, or the default before the first measurement.
func (f *Fleet) prefillMsPerToken(model string) float64 {
	if msPerToken, ok := f.measuredMsPerToken[model]; ok {
		return msPerToken
	}
	return defaultPrefillMsPerToken
}

// affinityCost returns a pseudorandom cost in ms that depends only on the target and the last shared part of the
// prompt. It spreads prompts that no target has cached over the holders, in the same way at each gateway.
func affinityCost(prefixHashes []uint64, id string) float64 {
	if len(prefixHashes) < 2 {
		return 0
	}
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefixHashes[len(prefixHashes)-2])
	hash := xxhash.New()
	_, _ = hash.Write(key[:]) // writes to a hash do not fail
	_, _ = hash.WriteString(id)
	return maxAffinityCostMs * float64(hash.Sum64()>>40) / (1 << 24)
}

func durationFromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/registry"
	"gypsumbank/request"
)

const (
	// usualPace is the prefill time in ms per token that is expected of a model before any was measured.
	usualPace = 0.03
	// otherZoneMs is the price of another availability zone: a round trip of about 7 ms and the billed bytes.
	otherZoneMs = 12
	// baseMs is the time of a request that waits for nothing.
	baseMs = 8
	// adapterMs is the time to have an adapter loaded by the target's agent.
	adapterMs = 25
	// busyMs is the usual time until an engine that is busy with a model, or has no place for adapters, takes one.
	busyMs = 700
	// coldMs is added for a target that is slow after its start.
	coldMs = 100
	// affinityMs spreads prompts that no target has over the holders, the same way at each gateway.
	affinityMs = 20
	// longPrompt is the prompt in tokens from which reading takes several steps of a batch.
	longPrompt = 3000
	// mixingTokens is the detour, in tokens to read, that a request takes to stay among its like.
	mixingTokens = 4000
	// batchMs is the slowdown of a first event by each request that generates at the target.
	batchMs = 0.6
	// errorMs is the cost of an answer that fails for certain.
	errorMs = 1500
	// fullMs is the cost of a target without free memory or places.
	fullMs = 1000
	// silentMs is the cost of a target that may be frozen or cut off.
	silentMs = 400
	// missedHeartbeat is the age of an agent's report that shows a missed one; agents send them each 500 ms, and each
	// 250 ms to few gateways.
	missedHeartbeat       = 900 * time.Millisecond
	missedHeartbeatForFew = 450 * time.Millisecond
	fewGateways           = 8
	// stalledAfter and stalledFactor times the expected time without an answer make a target suspicious.
	stalledAfter  = 800 * time.Millisecond
	stalledFactor = 3
	// fetchPace is the time in ms per token in which one target fetches what another keeps of a prompt, and fetchMs the
	// time of a transfer of nothing.
	fetchPace = 0.003
	fetchMs   = 5
	// fetchPrice is the price of a transfer in ms of reading that it must save.
	fetchPrice = 20
	// memoryShare is the part of a target's memory above which requests preempt one another.
	memoryShare = 0.92
)

// Query describes a request to choose a target for.
type Query struct {
	Service string
	Request *request.Request
	Exclude map[string]bool // targets not to choose, by id
}

// Choice is a target with what it lacks for the request and the expected time to its first byte.
type Choice struct {
	Target         registry.Target
	LacksModel     bool
	LacksAdapter   bool
	Expected       time.Duration
	PrefillTokens  int           // tokens of the prompt that the target has to read
	FetchFrom      string        // address of a target that keeps more of the prompt, worth fetching; or empty
	FetchTokens    int           // tokens that the target fetches from there and need not read
	ReportAge      time.Duration // age of what the choice is based on; negative if there was no report
	Candidates     int           // targets that were weighed
	expectedUnread float64       // ms to read those tokens
	usualMs        float64       // expected time to the first byte at a target of usual speed
}

// Choose returns the best target for a request; ok is false if the service has no usable target.
func (f *Fleet) Choose(query Query, now time.Time) (choice Choice, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := f.usable(query.Service, now)
	if len(usable) == 0 {
		return Choice{}, false
	}
	engine := f.services[query.Service].Engine
	if engine != nil && query.Request.Model != "" {
		all := len(usable)
		usable = slices.DeleteFunc(usable, func(s *state) bool { return !s.holds(query.Request.Model, "", now) })
		if len(usable) == 0 {
			return Choice{LacksModel: true, Candidates: all}, true
		}
	}
	usable = slices.DeleteFunc(usable, func(s *state) bool { return query.Exclude[s.ID] })
	switch {
	case len(usable) == 0:
		return Choice{}, false
	case engine == nil || query.Request.Model == "":
		return f.choosePlain(usable, now), true
	}
	return f.chooseHolder(usable, query.Request, now), true
}

// usable returns the targets that take requests; targets that fail are left out unless all do.
func (f *Fleet) usable(service string, now time.Time) []*state {
	good := make([]*state, 0, len(f.byService[service]))
	var poor []*state
	for _, s := range f.byService[service] {
		switch {
		case s.leaving():
		case now.Before(s.avoid):
			poor = append(poor, s)
		default:
			good = append(good, s)
		}
	}
	if len(good) == 0 {
		return poor
	}
	return good
}

func (f *Fleet) choosePlain(usable []*state, now time.Time) Choice {
	var best *state
	bestCost := 0.0
	for _, s := range usable {
		latency := max(1, s.latency)
		cost := latency*(1+2*float64(s.inflight)/float64(max(1, s.Slots))) + f.zoneMs(s) + s.performance.errorRate(now)*errorMs + s.suspicion(now)
		if s.inflight >= s.Slots {
			cost += fullMs
		}
		if s.ColdRemaining > 0 {
			cost += latency
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return Choice{Target: best.Target, Expected: ms(max(1, best.latency)), ReportAge: now.Sub(f.readAt), Candidates: len(usable)}
}

func (f *Fleet) chooseHolder(holders []*state, req *request.Request, now time.Time) Choice {
	chain := req.PrefixHashes()
	places := places(holders)
	source := newPrefixSource(holders, req, chain, now)
	var best Choice
	bestCost := 0.0
	for i, s := range holders {
		unread := s.unreadTokens(req, chain)
		keptAt, fetched := source.worthFetching(s, unread, f.pace(req.Model))
		unread -= fetched
		read := float64(unread) * f.pace(req.Model)
		price := 0.0
		if fetched > 0 {
			read += fetchMs + fetchPace*float64(fetched)
			price = fetchPrice
		}
		wait := f.waitMs(s, now)
		usual := baseMs + wait + read + batchMs*float64(max(s.inflight, s.report.Running))
		expected := usual * s.performance.slowness(now)
		lacks := req.Adapter != "" && !s.holds(req.Model, req.Adapter, now)
		if lacks {
			expected += adapterMs
		}
		if lacks && (s.report.Busy || s.loading != "" || (s.room == 0 && !s.reportAt.IsZero())) {
			expected += busyMs
		}
		cost := expected + f.zoneMs(s) + s.performance.errorRate(now)*errorMs + f.fullness(s, req) + affinity(chain, s.ID) +
			f.mixing(req, places[s.ID]) + s.suspicion(now) + price
		if s.ColdRemaining > 0 {
			cost += coldMs
		}
		if i == 0 || cost < bestCost {
			bestCost = cost
			best = Choice{
				Target: s.Target, LacksAdapter: lacks, Expected: ms(expected), PrefillTokens: unread, FetchFrom: keptAt, FetchTokens: fetched, Candidates: len(holders),
				ReportAge: s.reportAge(now), expectedUnread: read, usualMs: usual,
			}
		}
	}
	return best
}

// places returns where each holder of a model stands between 0 and 1, the same way at each gateway and for each model, so
// that a target which reads the long prompts of one model does so for its others.
func places(holders []*state) map[string]float64 {
	places := make(map[string]float64, len(holders))
	if len(holders) < 2 {
		return places
	}
	ids := make([]string, 0, len(holders))
	for _, s := range holders {
		ids = append(ids, s.ID)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	for i, id := range ids {
		places[id] = float64(i) / float64(len(ids)-1)
	}
	return places
}

// mixing returns the cost of a holder that keeps long prompts and streams of short ones apart: an engine reads prompts
// between the tokens that it generates, so that long ones cause pauses in the streams of others.
func (f *Fleet) mixing(req *request.Request, place float64) float64 {
	weight := mixingTokens * f.pace(req.Model)
	if req.PromptTokens > longPrompt {
		return weight * (1 - place)
	}
	return weight * place
}

// suspicion returns the cost of a target that may be frozen or cut off: its agent, on the same VM, has missed a heartbeat,
// or a request there has had no answer for far longer than expected.
func (s *state) suspicion(now time.Time) float64 {
	cost := 0.0
	missed := missedHeartbeat
	if s.watchers <= fewGateways {
		missed = missedHeartbeatForFew
	}
	if age := now.Sub(s.reportAt); !s.reportAt.IsZero() && age > missed && age < reportLifetime {
		cost += silentMs
	}
	for a := range s.pending {
		if now.Sub(a.sent) > a.choice.Expected*stalledFactor+stalledAfter {
			return cost + silentMs
		}
	}
	return cost
}

// waitMs returns the expected ms until the target has read the prompts that wait there.
func (f *Fleet) waitMs(s *state, now time.Time) float64 {
	if now.Sub(s.reportAt) < reportLifetime {
		return s.unread + s.others
	}
	return s.unread
}

// fullness returns the cost of a lack of memory or places.
func (f *Fleet) fullness(s *state, req *request.Request) float64 {
	cost := 0.0
	need := req.PromptTokens + req.MaxOutputTokens/2
	if total := s.report.KVTotal; total > 0 && float64(s.report.KVUsed+need) > memoryShare*float64(total) {
		cost += fullMs
	}
	if max(s.inflight, s.report.Running+s.report.Waiting) >= s.Slots {
		cost += fullMs
	}
	return cost
}

// unreadTokens returns the tokens of the prompt beyond the parts that the target is expected to keep.
func (s *state) unreadTokens(req *request.Request, chain []uint64) int {
	unread := req.PromptTokens
	for i, part := range req.Parts {
		if !s.kept.has(chain[i]) {
			break
		}
		unread -= part.Tokens
	}
	return max(0, unread)
}

func (s *state) reportAge(now time.Time) time.Duration {
	if s.reportAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportAt)
}

func (f *Fleet) zoneMs(s *state) float64 {
	if s.AvailabilityZone == f.zone {
		return 0
	}
	return otherZoneMs
}

func (f *Fleet) pace(model string) float64 {
	if pace, ok := f.paces[model]; ok {
		return pace
	}
	return usualPace
}

// affinity returns a cost that depends on the last shared part of a prompt and the target alone.
func affinity(chain []uint64, id string) float64 {
	if len(chain) < 2 {
		return 0
	}
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], chain[len(chain)-2])
	digest := xxhash.New()
	_, _ = digest.Write(key[:]) // writes to a hash do not fail
	_, _ = digest.WriteString(id)
	return affinityMs * float64(digest.Sum64()>>40) / (1 << 24)
}

func ms(value float64) time.Duration { return time.Duration(value * float64(time.Millisecond)) }

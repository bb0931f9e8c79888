package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gypsumbank/route"
)

// simulation runs gateways and keepers in simulated time, with one customer.
type simulation struct {
	bounds   Bounds
	random   *rand.Rand
	now      time.Time
	events   eventHeap
	sequence int
	agents   map[string]*simAgent
	gateways []*simGateway
	listed   []string // agents in the registry
	lists    int      // changes of listed
	quota    route.Quota
	version  int64
	lossRate float64 // of messages
	store    simStore

	limits  []simLimit
	begun   []simSpend // requests that began to run
	refused []simSpend
	calls   int
	waited  int // requests that waited for a message
	total   int
	offered float64
}

// simLimit is a quota with the time until which some gateway may use it.
type simLimit struct {
	quota       route.Quota
	from, until time.Time
}

type simSpend struct {
	at   time.Time
	cost float64
}

type simAgent struct {
	keeper      *Keeper
	name        string
	isDown      bool
	frozenUntil time.Time
	queued      []func() // calls that came while it was frozen
}

type simGateway struct {
	account     *Account
	views       Views
	revision    int // of the views that keepers are from
	keepers     []KeeperSince
	limit       route.Quota
	version     int64
	tickedAt    time.Time
	frozenUntil time.Time
	cutUntil    time.Time // from all agents
	generation  int       // rises with each restart
	requests    map[*Request]time.Time
	listedNow   []string // agents that it knows
	list        int      // change of the registry that they are from
	isOlder     bool     // of a release that does not tell keepers of the others
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const simCustomer = "customer"

// newSimulation returns gateways and agents that have known each other for a long time.
func newSimulation(bounds Bounds, quota route.Quota, gateways, agents int, seed uint64) *simulation {
	s := &simulation{
		bounds: bounds, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), agents: map[string]*simAgent{},
		quota: quota, version: 1, store: simStore{random: rand.New(rand.NewPCG(seed, 2)), epoch: 1, longestDelay: 10 * time.Millisecond},
	}
	s.limits = []simLimit{{quota: quota, from: s.now}}
	for i := range agents {
		s.startAgent(fmt.Sprint("agent-", i))
	}
	for range gateways {
		g := &simGateway{}
		s.gateways = append(s.gateways, g)
		s.startGateway(g)
	}
	s.tick()
	s.run(time.Minute)
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now.Add(d), s.sequence, run})
}

// run processes all events of a span of time.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// tick runs what processes do at an interval.
func (s *simulation) tick() {
	for _, name := range sortedKeys(s.agents) {
		if a := s.agents[name]; !a.isDown && !s.now.Before(a.frozenUntil) {
			queued := a.queued
			a.queued = nil
			s.random.Shuffle(len(queued), func(i, j int) { queued[i], queued[j] = queued[j], queued[i] })
			for _, call := range queued {
				call()
			}
			a.keeper.Tick(s.now)
			s.storeChanges(a)
		}
	}
	for _, g := range s.gateways {
		if s.now.Before(g.frozenUntil) {
			continue
		}
		s.tickGateway(g)
		for _, ask := range g.account.Returns(s.now) {
			s.call(g, ask, func(Reply, error) {})
		}
	}
	s.after(100*time.Millisecond, s.tick)
}

// tickGateway is what a gateway does before each use of its account.
func (s *simulation) tickGateway(g *simGateway) {
	if s.now.Sub(g.tickedAt) > maxTickGap {
		g.views.Restart(s.now)
	}
	g.tickedAt = s.now
	g.views.Update(g.listedNow, s.now)
	if g.revision != g.views.Revision() {
		g.revision, g.keepers = g.views.Revision(), g.views.Keepers(simCustomer)
	}
	g.account.SetLimit(NewLimit(g.version, g.limit, len(g.keepers)), g.keepers)
}

func (s *simulation) startAgent(name string) {
	s.restartAgent(name)
	if !slices.Contains(s.listed, name) {
		s.list(append(slices.Clone(s.listed), name))
	}
}

// restartAgent starts an agent with an empty memory.
func (s *simulation) restartAgent(name string) {
	s.agents[name] = &simAgent{name: name, keeper: NewStoringKeeper(s.bounds, s.now)}
}

// list changes the registry. Each gateway sees it within 3 s, unless it is frozen.
func (s *simulation) list(agents []string) {
	slices.Sort(agents)
	s.listed = agents
	s.lists++
	for _, g := range s.gateways {
		s.seeList(g, agents, s.lists, time.Duration(s.random.Int64N(int64(viewLag-50*time.Millisecond))))
	}
}

// seeList has a gateway see a list after a delay, unless it has seen a later one by then.
func (s *simulation) seeList(g *simGateway, agents []string, list int, delay time.Duration) {
	generation := g.generation
	s.after(delay, func() {
		switch {
		case g.generation != generation || list < g.list:
		case s.now.Before(g.frozenUntil):
			s.seeList(g, agents, list, g.frozenUntil.Sub(s.now)+50*time.Millisecond)
		default:
			g.listedNow, g.list = agents, list
		}
	})
}

// startGateway starts a gateway with an empty memory, in place of an earlier one.
func (s *simulation) startGateway(g *simGateway) {
	*g = simGateway{
		account: NewAccount(simCustomer, s.bounds), limit: s.quota, version: s.version, tickedAt: s.now, generation: g.generation + 1,
		requests: map[*Request]time.Time{}, listedNow: s.listed, list: s.lists, isOlder: g.isOlder,
	}
	s.tickGateway(g)
}

// setQuota puts a quota in force, at each gateway within 3 s.
func (s *simulation) setQuota(quota route.Quota) {
	s.version++
	version := s.version
	s.quota = quota
	last := s.now
	for _, g := range s.gateways {
		delay := time.Duration(s.random.Int64N(int64(3 * time.Second)))
		generation := g.generation
		see := func() {
			if g.generation == generation && g.version < version {
				g.limit, g.version = quota, version
			}
		}
		s.after(delay, see)
		last = s.now.Add(3*time.Second + 100*time.Millisecond + grantLifetime)
	}
	s.limits[len(s.limits)-1].until = last
	s.limits = append(s.limits, simLimit{quota: quota, from: s.now})
}

// send sends a request with a cost to a gateway.
func (s *simulation) send(g *simGateway, cost float64) {
	if s.now.Before(g.frozenUntil) {
		return
	}
	s.total++
	s.offered += cost
	s.tickGateway(g)
	r := g.account.Begin(cost, s.now)
	g.requests[r] = s.now
	if r.State == Waiting {
		s.waited++
	}
	s.advance(g)
}

// advance makes the call that an account wants, and records the requests that were decided.
func (s *simulation) advance(g *simGateway) {
	if ask, ok := g.account.Next(s.now); ok {
		s.call(g, ask, func(reply Reply, err error) {
			if err != nil {
				g.account.Failed(ask, s.now)
			} else {
				g.account.Done(ask, reply, s.now)
			}
			s.advance(g)
		})
	}
	for _, r := range g.account.TakeDecided() {
		spend := simSpend{s.now, r.Cost}
		if r.State == Admitted {
			s.begun = append(s.begun, spend)
		} else {
			s.refused = append(s.refused, spend)
		}
	}
}

var errSimTimeout = fmt.Errorf("timeout")

// call carries a call to its agent and the answer back; done is not called if the gateway has been replaced.
func (s *simulation) call(g *simGateway, ask Ask, done func(Reply, error)) {
	s.calls++
	if g.isOlder {
		ask.Reservation.Beside = nil
	}
	generation, ended := g.generation, false
	var finish func(Reply, error)
	finish = func(reply Reply, err error) {
		switch {
		case ended || g.generation != generation:
		case s.now.Before(g.frozenUntil):
			s.after(g.frozenUntil.Sub(s.now), func() { finish(reply, err) })
		default:
			ended = true
			s.tickGateway(g)
			done(reply, err)
		}
	}
	s.after(ask.Timeout, func() { finish(Reply{}, errSimTimeout) })
	if s.isLost(g) {
		return
	}
	s.after(s.delay(), func() {
		a := s.agents[ask.Keeper]
		if a == nil || a.isDown {
			return
		}
		handle := func() {
			reply := a.keeper.Reserve(ask.Reservation, s.now)
			s.storeChanges(a)
			if !s.isLost(g) {
				s.after(s.delay(), func() { finish(reply, nil) })
			}
		}
		if s.now.Before(a.frozenUntil) {
			a.queued = append(a.queued, handle)
			return
		}
		handle()
	})
}

func (s *simulation) isLost(g *simGateway) bool {
	return s.now.Before(g.cutUntil) || s.random.Float64() < s.lossRate
}

func (s *simulation) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
}

// allowed returns what may begin to run in the window that ends at a time: the bound of the highest quota that was in force in it.
func (s *simulation) allowed(end time.Time) float64 {
	most := 0.0
	for _, l := range s.limits {
		if l.from.Before(end) && (l.until.IsZero() || l.until.After(end.Add(-s.bounds.Window))) {
			most = max(most, hardBound(s.bounds, l.quota))
		}
	}
	return most
}

// hardBound returns what may begin to run in a window under a quota.
func hardBound(bounds Bounds, quota route.Quota) float64 {
	allowed := (quota.PerSecond*bounds.Window.Seconds() + quota.Burst) * (1 + bounds.Overage)
	if quota.Unit == route.Tokens {
		allowed += bounds.Slack
	}
	return allowed
}

// checkWindows returns an error if more began to run in a window than allowed, and the highest share of what was allowed.
func (s *simulation) checkWindows() (highest float64, err error) {
	sort.SliceStable(s.begun, func(i, j int) bool { return s.begun[i].at.Before(s.begun[j].at) })
	sum, first := 0.0, 0
	for _, spend := range s.begun {
		sum += spend.cost
		for !s.begun[first].at.After(spend.at.Add(-s.bounds.Window)) {
			sum -= s.begun[first].cost
			first++
		}
		allowed := s.allowed(spend.at)
		highest = max(highest, sum/allowed)
		if sum > allowed*(1+1e-9) && err == nil {
			err = fmt.Errorf("%.0f began to run in the %s up to %s, %.0f allowed", sum, s.bounds.Window, spend.at.Sub(time.Unix(1000, 0)), allowed)
		}
	}
	return highest, err
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// refusedUnderTheLimit returns the refused requests with which no more than the quota without any excess would have begun to run in the
// window up to them.
func (s *simulation) refusedUnderTheLimit() int {
	count := 0
	for _, r := range s.refused {
		sum := r.cost
		for _, spend := range s.begun {
			if age := r.at.Sub(spend.at); age >= 0 && age < s.bounds.Window {
				sum += spend.cost
			}
		}
		if sum <= s.quota.PerSecond*s.bounds.Window.Seconds()+s.quota.Burst {
			count++
		}
	}
	return count
}

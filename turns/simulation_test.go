package turns

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gypsumbank/fairshare"
)

// Prompts of 9,190 tokens at 38.7 tokens per ms.
const longPrefill = 237 * time.Millisecond

// load is a class of requests.
type load struct {
	perSecond float64
	from, to  time.Duration
	priority  int
	objective time.Duration
	patience  time.Duration // how long callers wait for the first token
	prefill   time.Duration // longPrefill unless set
	evicted   time.Duration // the time that each fifth prompt takes longer than expected, as its parts are not cached any more
	customer  fairshare.Customer
	retries   bool // refused callers come back once, after the time that they were told, up to a third of what they have left
}

var (
	urgent  = load{priority: 1, objective: 800 * time.Millisecond, patience: 4 * time.Second, retries: true}
	patient = load{priority: 2, objective: 8 * time.Second, patience: 12 * time.Second, retries: true}
)

// during returns the load at a rate for a time.
func (l load) during(perSecond float64, from, to time.Duration) load {
	l.perSecond, l.from, l.to = perSecond, from, to
	return l
}

// job is one request of the simulation. Times are since the begin.
type job struct {
	index                       int    // in the jobs
	id                          uint64 // of the latest attempt
	load                        *load
	owner                       Owner
	arrived, granted, firstByte time.Duration
	left                        time.Duration // of the prefill
	refusedAt                   []time.Duration
}

func (j *job) onTime() bool {
	return j.firstByte > 0 && j.firstByte-j.arrived <= j.load.objective
}

// event is something that happens at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

// simulation runs gateways before one engine, which shares its time equally among the prompts that it prefills.
type simulation struct {
	queue     *Queue
	random    *rand.Rand
	now       time.Duration
	events    []event
	next      time.Duration // of the queue
	jobs      []*job
	running   []*job
	busy      time.Duration // for which the engine has prefilled
	crowded   time.Duration // of that, with more prompts at a time than Limit
	most      int           // prompts at a time
	plain     bool          // requests are sent at once, without a turn
	unshared  bool          // agents do not learn the customers of requests
	slow      float64       // factor on the times of the engine, unknown to the gateways
	lost      func(*job) bool
	lastEnd   time.Duration
	maxActive int
}

var origin = time.Unix(1000, 0)

const tick = time.Millisecond

func newSimulation(seed uint64) *simulation {
	return &simulation{queue: New(Limit), random: rand.New(rand.NewPCG(seed, 1)), slow: 1, next: -1}
}

func (s *simulation) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(s.random.Int64N(int64(6800*time.Microsecond)))
}

func (s *simulation) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// at has something happen at a time; what was added first happens first.
func (s *simulation) at(at time.Duration, do func()) {
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > at })
	s.events = slices.Insert(s.events, i, event{at, do})
}

// run simulates loads over a number of gateways until everything has ended.
func (s *simulation) run(gateways int, loads ...load) {
	end := time.Duration(0)
	for i := range loads {
		l := &loads[i]
		if l.prefill == 0 {
			l.prefill = longPrefill
		}
		for at := l.from; ; {
			at += time.Duration(s.random.ExpFloat64() / l.perSecond * float64(time.Second))
			if at >= l.to {
				break
			}
			j := &job{index: len(s.jobs), load: l, owner: Owner(1 + s.random.IntN(gateways)), arrived: at, left: l.prefill}
			if l.evicted > 0 && s.random.IntN(5) == 0 {
				j.left += l.evicted
			}
			s.jobs = append(s.jobs, j)
			s.at(at, func() { s.arrive(j) })
		}
		end = max(end, l.to+2*l.patience)
	}
	for s.now < end {
		s.now += tick
		s.engine()
		for due := s.takeDue(); len(due) > 0; due = s.takeDue() {
			for _, e := range due {
				e.do()
			}
		}
		if !s.plain && s.next >= 0 && s.now >= s.next {
			s.advance()
		}
	}
}

func (s *simulation) takeDue() []event {
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > s.now })
	due := slices.Clone(s.events[:i])
	s.events = s.events[i:]
	return due
}

func (s *simulation) time() time.Time { return origin.Add(s.now) }

// arrive has a request ask for its turn, or sends it.
func (s *simulation) arrive(j *job) {
	if s.plain || j.load.prefill < MinPrefill {
		s.send(j)
		return
	}
	s.after(s.delay(), func() {
		j.id = uint64(j.index) + 1 + uint64(len(j.refusedAt))<<32
		started := origin.Add(j.arrived)
		giveUp := started.Add(j.load.patience - j.load.prefill)
		customer := j.load.customer
		if s.unshared {
			customer = 0
		}
		s.queue.Ask(j.owner, Request{
			ID: j.id, Content: uint64(j.index) + 1, GiveUp: giveUp,
			Rank: Rank{Priority: j.load.priority, Objective: started.Add(j.load.objective), Prefill: j.load.prefill, Customer: customer},
		}, s.time())
		s.advance()
	})
}

func (s *simulation) send(j *job) {
	s.after(s.delay(), func() {
		s.running = append(s.running, j)
	})
}

// engine lets the engine work for one tick.
func (s *simulation) engine() {
	n := len(s.running)
	if n == 0 {
		return
	}
	long := 0
	for _, j := range s.running {
		if j.load.prefill >= MinPrefill {
			long++
		}
	}
	s.most = max(s.most, long)
	s.busy += tick
	if long > Limit {
		s.crowded += tick
	}
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		j.left -= time.Duration(float64(tick) / float64(n) / s.slow)
		if j.left > 0 {
			return false
		}
		s.lastEnd = s.now
		j.firstByte = s.now
		if !s.plain && j.load.prefill >= MinPrefill && (s.lost == nil || !s.lost(j)) {
			s.after(s.delay()+s.delay(), func() {
				s.queue.End(j.owner, j.id, s.time())
				s.advance()
			})
		}
		return true
	})
}

func (s *simulation) advance() {
	decisions, next := s.queue.Advance(s.time())
	s.next = -1
	if !next.IsZero() {
		s.next = next.Sub(origin)
	}
	_, active := s.queue.Len()
	s.maxActive = max(s.maxActive, active)
	for _, d := range decisions {
		j := s.jobs[int(uint32(d.ID))-1]
		switch d.Kind {
		case Granted:
			j.granted = s.now
			s.after(s.delay(), func() { s.send(j) })
		case Refused:
			j.refusedAt = append(j.refusedAt, s.now)
			wait := min(d.Wait, (j.arrived+j.load.patience-s.now)/3)
			if j.load.retries && len(j.refusedAt) == 1 {
				s.after(max(0, wait), func() { s.arrive(j) })
			}
		case Waiting, Expired:
		}
	}
}

// class is what became of a class of requests.
type class struct {
	sent, served, onTime, refusedTwice int
	longest                            time.Duration // wait for the first token
}

func (c class) share() float64 { return float64(c.onTime) / float64(max(1, c.sent)) }

func (c class) servedShare() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// results returns what became of the requests of a priority.
func (s *simulation) results(priority int) class {
	return s.resultsOf(func(j *job) bool { return j.load.priority == priority })
}

// resultsOf returns what became of some of the requests.
func (s *simulation) resultsOf(counts func(*job) bool) class {
	var c class
	for _, j := range s.jobs {
		if !counts(j) {
			continue
		}
		c.sent++
		if j.firstByte > 0 {
			c.served++
			c.longest = max(c.longest, j.firstByte-j.arrived)
		}
		if j.onTime() {
			c.onTime++
		}
		if len(j.refusedAt) > 1 {
			c.refusedTwice++
		}
	}
	return c
}

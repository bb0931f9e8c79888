package turns

import (
	"cmp"
	"slices"
	"time"

	"gypsumbank/fairshare"
)

const (
	// MinPrefill is the expected time to prefill from which a prompt needs a turn: some 1,500 tokens.
	MinPrefill = 40 * time.Millisecond
	// Limit is the number of long prompts that an engine prefills at a time. One keeps the pauses of other streams at about
	// 200 ms, two at 350 ms, four at 500 ms, and their callers accept 300 or 500 ms.
	Limit = 1
	// transit is the usual time from a grant to the begin of the prefill, and from its end to the report of it.
	transit = 8 * time.Millisecond
	// grantLead is the time from a grant to the arrival of the request at the engine, at most.
	grantLead = 14 * time.Millisecond
	// errorFactor is by how many times their mean error an expected end must have passed, at the arrival of the next prompt, for a
	// turn to be overdue, so that the next is granted without a report of the end. Granted by the expected end alone, 90 of 100
	// prompts that met the next one at their engine had taken over 1.5 times the expected time and 100 ms.
	errorFactor = 10
	// overdueShare and overdueMargin bound that time, as a share of the expected one and in addition. The prompts of the known
	// deployments take up to 164 ms longer than expected if no part of them is cached.
	overdueShare  = 0.5
	overdueMargin = 200 * time.Millisecond
	// initialError is the mean error of expected ends before turns have been measured.
	initialError = 100 * time.Millisecond
	// longQueue is the number of prompts that wait from which a turn is overdue sooner: a report takes up to 14 ms, and an engine that
	// waited for each would prefill 7% less.
	longQueue = 5
	// togetherTime is the total time up to which prompts are prefilled together: they pause other streams no longer than one
	// long prompt.
	togetherTime = 80 * time.Millisecond
	// expiryFactor and expiryMargin give the time after which a turn without a report of its end is over.
	expiryFactor = 2
	expiryMargin = 300 * time.Millisecond
	// updateLead is how long before the end of a foretold wait the gateway is told if it goes on.
	updateLead = 15 * time.Millisecond
	// overdueWait is the expected time until a turn ends that has lasted longer than expected.
	overdueWait = 50 * time.Millisecond
	// maxWaiting bounds the requests that wait.
	maxWaiting = 2048
	// paceWeight is the weight of a turn in the average ratio of measured to expected times; minPace and maxPace bound it.
	paceWeight, minPace, maxPace = 0.1, 0.5, 3
	// minPaceShare is the share of its expected time below which a turn was not used, or its prompt was cached.
	minPaceShare = 0.3
)

// Owner identifies a connection of a gateway.
type Owner uint64

// Request asks for a turn.
type Request struct {
	ID      uint64 // unique among those of its owner
	Rank    Rank
	Content uint64    // the same for each attempt of a caller; 0 if unknown
	GiveUp  time.Time // until when the request can wait
}

// Kind is what is decided of a request.
type Kind int

// The kinds of decisions.
const (
	Granted Kind = iota // the request is to be sent now
	Waiting             // the grant is expected after Wait
	Refused             // there is no turn within the time that the request can wait, but after Wait
	Expired             // the end of the turn was not reported in time
)

// Decision is what is decided of a request.
type Decision struct {
	Kind     Kind
	Owner    Owner
	ID       uint64
	Priority int
	Wait     time.Duration // for Granted: that has passed
	Ahead    int           // requests that were ahead of a refused one
	// Position is that of the customer before the decision; set for requests that are granted or get no turn in time.
	Position fairshare.Position
	// ByShare tells that a granted request comes before others only as its customer has received less service.
	ByShare bool
}

type key struct {
	owner Owner
	id    uint64
}

type waiting struct {
	key
	Request
	prefill time.Duration // expected, as asked for; Rank has it at the measured pace
	askedAt time.Time
	arrival uint64    // order of arrival
	toldFor time.Time // when the owner was told to expect the grant; zero if it has not been told yet
}

type turn struct {
	key
	Request
	prefill     time.Duration // expected, as asked for
	grantedAt   time.Time
	beginsAt    time.Time // of the prefill, as expected
	endsAt      time.Time // as expected
	expiresAt   time.Time
	hasFollowed bool      // it was granted before the end of another turn
	aloneUntil  time.Time // begin of the prefill of another that was granted beside it; zero if none was
}

// Queue holds the turns of one engine and the requests that wait for one. It is not safe for use by several goroutines.
type Queue struct {
	limit   int
	waiting []*waiting // in order of rank since the last Advance
	turns   []*turn    // granted and not ended
	returns *Returns
	pace    float64 // moving average of measured to expected times of turns
	// meanError is the moving average of the difference of measured and expected times of turns, at the pace measured before.
	meanError time.Duration
	service   *fairshare.Record // expected prefill time of the turns granted to customers
	arrivals  uint64
	rejected  []Decision // requests beyond maxWaiting
}

// New returns an empty queue that lets limit long prompts be prefilled at a time.
func New(limit int) *Queue {
	return &Queue{limit: limit, returns: NewReturns(), pace: 1, meanError: initialError, service: fairshare.New()}
}

// Ask adds a request; Advance decides on it. A request that is known already is ignored.
func (q *Queue) Ask(owner Owner, r Request, now time.Time) {
	k := key{owner, r.ID}
	if slices.ContainsFunc(q.waiting, func(w *waiting) bool { return w.key == k }) || slices.ContainsFunc(q.turns, func(t *turn) bool { return t.key == k }) {
		return
	}
	if len(q.waiting) >= maxWaiting {
		q.rejected = append(q.rejected, Decision{Kind: Refused, Owner: owner, ID: r.ID, Priority: r.Rank.Priority, Wait: r.GiveUp.Sub(now), Ahead: len(q.waiting)})
		return
	}
	if r.Content != 0 && q.returns.Has(r.Content, now) {
		r.Rank.Returned = true
	}
	q.arrivals++
	prefill := r.Rank.Prefill
	r.Rank.Prefill = transit + q.expected(prefill)
	q.waiting = append(q.waiting, &waiting{key: k, Request: r, prefill: prefill, askedAt: now, arrival: q.arrivals})
}

// End ends a turn, or withdraws a request that waits for one.
func (q *Queue) End(owner Owner, id uint64, now time.Time) {
	k := key{owner, id}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool { return w.key == k })
	q.endTurns(func(t *turn) bool {
		if t.key == k {
			q.measure(t, now)
			q.returnUnused(t, now)
		}
		return t.key == k
	}, now)
}

// Remove ends all turns of an owner and withdraws its requests.
func (q *Queue) Remove(owner Owner, now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool { return w.owner == owner })
	q.endTurns(func(t *turn) bool {
		if t.owner == owner {
			q.returnUnused(t, now)
		}
		return t.owner == owner
	}, now)
}

// returnUnused takes the service of a turn back from its customer if it has ended too early to have been used.
func (q *Queue) returnUnused(t *turn, now time.Time) {
	if took := now.Sub(t.grantedAt) - 2*transit; float64(took) < minPaceShare*float64(t.prefill) {
		q.service.Return(t.Rank.Customer, t.Rank.Service(), t.grantedAt, now)
	}
}

// endTurns removes turns. What was granted before their end is prefilled alone from now on.
func (q *Queue) endTurns(ended func(*turn) bool, now time.Time) {
	before := len(q.turns)
	q.turns = slices.DeleteFunc(q.turns, ended)
	if len(q.turns) == before || len(q.turns) != 1 || !q.turns[0].hasFollowed {
		return
	}
	next := q.turns[0]
	next.hasFollowed = false
	begin := next.grantedAt.Add(transit)
	if together := now.Add(-transit).Sub(begin); together > 0 { // the report of the end has taken that long
		begin = begin.Add(together / 2)
	}
	q.schedule(next, begin)
}

// expected returns the time to prefill a prompt at the measured pace of the engine.
func (q *Queue) expected(prefill time.Duration) time.Duration {
	return time.Duration(float64(prefill) * q.pace)
}

// schedule sets the expected times of a turn whose prefill begins at a time.
func (q *Queue) schedule(t *turn, begin time.Time) {
	expected := q.expected(t.prefill)
	t.beginsAt, t.endsAt = begin, begin.Add(expected)
	t.expiresAt = begin.Add(expiryFactor*expected + expiryMargin)
}

// measure adds a turn that has ended to the average ratio of measured to expected times. While another prompt was prefilled beside
// it, the engine gave each half of its time.
func (q *Queue) measure(t *turn, now time.Time) {
	took := now.Sub(t.beginsAt) - transit
	if together := took - t.aloneUntil.Sub(t.beginsAt); !t.aloneUntil.IsZero() && together > 0 {
		took -= together / 2
	}
	if t.hasFollowed || t.prefill <= 0 || float64(took) < minPaceShare*float64(t.prefill) {
		return
	}
	q.meanError += time.Duration(paceWeight * float64((took-q.expected(t.prefill)).Abs()-q.meanError))
	ratio := min(maxPace, float64(took)/float64(t.prefill))
	q.pace = max(minPace, q.pace+paceWeight*(ratio-q.pace))
}

// Advance grants the turns that are due and returns what has been decided since the last call, and when it is to be called
// again if nothing happens before; zero if nothing is left to decide.
func (q *Queue) Advance(now time.Time) (decisions []Decision, next time.Time) {
	decisions, q.rejected = q.rejected, nil
	q.endTurns(func(t *turn) bool {
		expired := !now.Before(t.expiresAt)
		if expired {
			decisions = append(decisions, Decision{Kind: Expired, Owner: t.owner, ID: t.id, Priority: t.Rank.Priority, Wait: now.Sub(t.grantedAt)})
		}
		return expired
	}, now)
	q.sort(now)
	average := q.service.Average(now)
	for len(q.waiting) > 0 && q.mayGrant(q.waiting[0], now) {
		first := q.waiting[0]
		decisions = append(decisions, Decision{
			Kind: Granted, Owner: first.owner, ID: first.id, Priority: first.Rank.Priority, Wait: now.Sub(first.askedAt),
			Position: average.Position(q.service.Service(first.Rank.Customer, now)), ByShare: q.isFirstByShare(now),
		})
		q.waiting = q.waiting[1:]
		q.grant(first, now)
	}
	decisions = append(decisions, q.predict(now, average)...)
	return decisions, q.nextAdvance(now)
}

// sort puts the waiting requests in the order of their turns.
func (q *Queue) sort(now time.Time) {
	byRank := func(a, b *waiting) int {
		return cmp.Or(a.Rank.Compare(b.Rank, now), cmp.Compare(a.arrival, b.arrival))
	}
	ranks := make([]*Rank, len(q.waiting))
	for _, w := range q.waiting {
		w.Rank = w.Rank.WithoutShare()
	}
	slices.SortFunc(q.waiting, byRank)
	for i, w := range q.waiting {
		ranks[i] = &w.Rank
	}
	if Share(ranks, q.service, now) {
		slices.SortFunc(q.waiting, byRank)
	}
}

// isFirstByShare reports whether another of the waiting requests would be the first without the service of customers.
func (q *Queue) isFirstByShare(now time.Time) bool {
	first := q.waiting[0]
	return slices.ContainsFunc(q.waiting[1:], func(w *waiting) bool {
		return cmp.Or(w.Rank.WithoutShare().Compare(first.Rank.WithoutShare(), now), cmp.Compare(w.arrival, first.arrival)) < 0
	})
}

// mayGrant reports whether a request may be sent now: fewer than limit turns have neither ended nor become overdue and at most
// one more has not ended, or the request and all turns together are short.
func (q *Queue) mayGrant(w *waiting, now time.Time) bool {
	underWay := 0
	total := w.prefill
	for _, t := range q.turns {
		total += t.prefill
		if now.Before(q.overdueAt(t)) {
			underWay++
		}
	}
	return (underWay < q.limit && len(q.turns) <= q.limit) || total <= togetherTime
}

// overdueAt returns when the next turn is granted without a report of the end of this one: the more prompts wait, the sooner.
func (q *Queue) overdueAt(t *turn) time.Time {
	margin := min(errorFactor*q.meanError, time.Duration(overdueShare*float64(q.expected(t.prefill)))+overdueMargin)
	return t.endsAt.Add(margin/time.Duration(max(1, len(q.waiting)-longQueue+1)) - grantLead)
}

// grant gives a request its turn.
func (q *Queue) grant(w *waiting, now time.Time) {
	begin := now.Add(transit)
	for _, t := range q.turns {
		if t.endsAt.After(begin) && len(q.turns) >= q.limit {
			begin = t.endsAt
		}
		if t.aloneUntil.IsZero() {
			t.aloneUntil = now.Add(transit)
		}
	}
	t := &turn{key: w.key, Request: w.Request, prefill: w.prefill, grantedAt: now, hasFollowed: len(q.turns) > 0}
	q.schedule(t, begin)
	q.turns = append(q.turns, t)
	q.service.Add(t.Rank.Customer, t.Rank.Service(), now)
}

// predict refuses the requests that get no turn in time, and returns what others are to be told of their wait. The order of
// q.waiting is that of the turns.
func (q *Queue) predict(now time.Time, average fairshare.Average) []Decision {
	var decisions []Decision
	free := q.freeAt(now)
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if !free.Before(w.GiveUp) {
			decisions = append(decisions, Decision{Kind: Refused, Owner: w.owner, ID: w.id, Priority: w.Rank.Priority, Wait: max(time.Millisecond, free.Sub(now)), Ahead: len(kept), Position: average.Position(q.service.Service(w.Rank.Customer, now))})
			if w.Content != 0 {
				q.returns.Add(w.Content, now)
			}
			continue
		}
		kept = append(kept, w)
		if w.toldFor.IsZero() || !now.Before(w.toldFor.Add(-updateLead)) {
			w.toldFor = free
			if earliest := now.Add(2 * updateLead); free.Before(earliest) {
				w.toldFor = earliest
			}
			decisions = append(decisions, Decision{Kind: Waiting, Owner: w.owner, ID: w.id, Priority: w.Rank.Priority, Wait: w.toldFor.Sub(now), Ahead: len(kept) - 1})
		}
		free = free.Add((transit + q.expected(w.prefill) + transit) / time.Duration(q.limit))
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return decisions
}

// freeAt returns when the next turn is expected to be granted: when the end of the last one is reported.
func (q *Queue) freeAt(now time.Time) time.Time {
	if len(q.turns) < q.limit {
		return now
	}
	free := now
	for _, t := range q.turns {
		reported := t.endsAt.Add(transit)
		if !reported.After(now) {
			reported = now.Add(overdueWait)
		}
		if reported.After(free) {
			free = reported
		}
	}
	return free
}

// nextAdvance returns when the next decision is due; zero if there is nothing left to decide.
func (q *Queue) nextAdvance(now time.Time) time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, t := range q.turns {
		consider(t.expiresAt)
		if len(q.waiting) > 0 {
			consider(q.overdueAt(t))
		}
	}
	for _, w := range q.waiting {
		consider(w.toldFor.Add(-updateLead))
		consider(w.GiveUp)
	}
	return next
}

// Work returns the expected time to prefill the prompts that wait for a turn, and that of those which were granted one and that
// isKnown does not report as known otherwise.
func (q *Queue) Work(isKnown func(owner Owner, grantedAt time.Time) bool) (waits, granted time.Duration) {
	for _, w := range q.waiting {
		waits += w.prefill
	}
	for _, t := range q.turns {
		if !isKnown(t.owner, t.grantedAt) {
			granted += t.prefill
		}
	}
	return waits, granted
}

// Len returns the number of requests that wait and of turns that have not ended.
func (q *Queue) Len() (waits, granted int) { return len(q.waiting), len(q.turns) }

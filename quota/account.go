package quota

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// AskTimeout bounds the time for which a request waits for keepers, and keeperTimeout that for one of them.
	AskTimeout    = 200 * time.Millisecond
	keeperTimeout = 70 * time.Millisecond
	// refusedPause is the least time after a refusal by the keepers for which requests that cost as much are refused without asking again.
	refusedPause = 100 * time.Millisecond
	// A keeper that has not answered is left out for minAbsence, doubled each time up to maxAbsence.
	minAbsence = 500 * time.Millisecond
	maxAbsence = 2 * time.Second
	// maxAttempts bounds the calls for one request.
	maxAttempts = 3 * KeeperCount
	// demandSpan is the time over which the demand is averaged.
	demandSpan = 2 * time.Second
	// aheadSpan is the demand that is held ahead, and minAheadRequests the requests within that time from which on anything is: where
	// fewer come, a grant would mostly end unused.
	aheadSpan        = grantLifetime
	minAheadRequests = 1.0
	// aheadInterval is the least time between calls that no request waits for.
	aheadInterval = 50 * time.Millisecond
	// aheadPartShare bounds what is held ahead as a share of what all keepers hold.
	aheadPartShare = 0.25
	// plentyShare is the share of a keeper's capacity from which on it does not matter how much it has left.
	plentyShare = 0.5
	// returnDelay is how long what is to be returned waits for a call that takes it along.
	returnDelay = 100 * time.Millisecond
	// maxReturnAge is the age up to which something is returned: keepers know their levels for a window.
	maxReturnAge = 5 * time.Second
	// Retry-After is spread by retrySpread, so that callers which were refused together do not return together.
	retrySpread   = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// unreachableRetryAfter is short, as another gateway may reach the keepers.
	unreachableRetryAfter = 200 * time.Millisecond
	// roundingSlack is what may be missing for a request, as a share of its cost: amounts are summed up in floating point.
	roundingSlack = 1e-9
)

// State tells what became of a request.
type State int

// The states of requests. TakeDecided tells what became of requests that have waited.
const (
	Waiting State = iota
	Admitted
	Refused     // the keepers have no room
	Unreachable // no keeper has answered in time
)

// String returns the name of the state, as logs have it.
func (s State) String() string {
	return [...]string{"waiting", "admitted", "refused", "unreachable"}[s]
}

// Request is a request of the customer, charged with its cost once it is admitted.
type Request struct {
	Cost       float64
	State      State
	RetryAfter time.Duration // if it was not admitted
	Balance    float64       // of the account when it was decided
	Asked      int           // calls made for it
	AnswerAge  time.Duration // age of the oldest answer of a keeper that counted for a refusal

	since    time.Time
	payments []payment
}

// payment is a part of a request's cost, taken from one grant.
type payment struct {
	keeper  string
	amount  float64
	askedAt time.Time
}

// Ask is a call to be made to a keeper.
type Ask struct {
	Keeper      string // address
	Reservation Reservation
	Timeout     time.Duration

	askedAt time.Time
	head    *Request // first of the requests that wait for it; nil if none does
}

// Account holds what keepers have granted one gateway for one customer. It asks one keeper at a time; requests that are not covered wait
// for that call together.
type Account struct {
	customer string
	bounds   Bounds
	limit    Limit
	part     part
	keepers  []*keeperView
	grants   []grant
	waiting  []*Request
	decided  []*Request // since TakeDecided
	returns  []refund
	inFlight bool

	demandAt    time.Time
	demandCost  float64 // cost of the requests of the last demandSpan, fading
	demandCount float64 // their number
	askedAt     time.Time

	// Requests that cost refusedCost or more are refused until refusedUntil without a call.
	refusedCost  float64
	refusedUntil time.Time
}

// refund is what is to be given back to a keeper. It waits until due for a call that takes it along.
type refund struct {
	payment
	due time.Time
}

// grant is what is left of one.
type grant struct {
	payment
	ends time.Time
}

// keeperView is what the account knows of a keeper.
type keeperView struct {
	address     string
	since       time.Time // from when on it is known as a keeper
	beside      []string  // the other keepers
	answeredAt  time.Time // zero if it never has
	left        float64   // then
	granted     float64   // fading sum, as of grantedAt
	grantedAt   time.Time
	absentUntil time.Time
	absence     time.Duration
	// It has refused refusedMinimum, to last until refusedUntil.
	refusedMinimum float64
	refusedUntil   time.Time
}

// KeeperSince is a keeper of a customer, with the time from which on this gateway knows it as one.
type KeeperSince struct {
	Address string
	Since   time.Time
}

// NewAccount returns an account without a limit.
func NewAccount(customer string, bounds Bounds) *Account {
	return &Account{customer: customer, bounds: bounds}
}

// SetLimit replaces the limit and the keepers. A lower limit lowers the balance in proportion at once.
func (a *Account) SetLimit(limit Limit, keepers []KeeperSince) {
	old := a.limit
	limit.Keepers = len(keepers)
	if limit == old && slices.EqualFunc(a.keepers, keepers, func(v *keeperView, k KeeperSince) bool { return v.address == k.Address && v.since.Equal(k.Since) }) {
		return
	}
	a.limit, a.part = limit, a.bounds.part(limit)
	views := make([]*keeperView, 0, len(keepers))
	for _, k := range keepers {
		i := slices.IndexFunc(a.keepers, func(v *keeperView) bool { return v.address == k.Address })
		if i >= 0 && a.keepers[i].since.Equal(k.Since) {
			views = append(views, a.keepers[i])
			continue
		}
		views = append(views, &keeperView{address: k.Address, since: k.Since})
	}
	for _, v := range views {
		v.beside = nil
		for _, other := range views {
			if other != v {
				v.beside = append(v.beside, other.address)
			}
		}
	}
	a.keepers = views
	if limit.Version != old.Version {
		a.refusedUntil = time.Time{}
	}
	if old.PerSecond > 0 && limit.PerSecond < old.PerSecond {
		for i := range a.grants {
			a.grants[i].amount *= limit.PerSecond / old.PerSecond
		}
	}
}

// Version returns the version of the routes that the limit is from.
func (a *Account) Version() int64 { return a.limit.Version }

// Begin decides on a request, or has it wait for the calls that Next returns.
func (a *Account) Begin(cost float64, now time.Time) *Request {
	r := &Request{Cost: cost, since: now}
	a.expire(now)
	a.countDemand(cost, now)
	a.waiting = append(a.waiting, r)
	a.settle(now)
	return r
}

// Next returns the call to be made now, if there is one. Done must be called with its answer, or Failed without one.
func (a *Account) Next(now time.Time) (Ask, bool) {
	if a.inFlight {
		return Ask{}, false
	}
	a.expire(now)
	for len(a.waiting) > 0 {
		head := a.waiting[0]
		ask, ok := a.askFor(head, now)
		if ok {
			return ask, true
		}
		a.refuse(head, now)
		a.settle(now)
	}
	return a.askAhead(now)
}

// Done applies a keeper's answer.
func (a *Account) Done(ask Ask, reply Reply, now time.Time) {
	a.inFlight = false
	if v := a.view(ask.Keeper); v != nil {
		v.answeredAt, v.left, v.absentUntil, v.absence = now, reply.Left, time.Time{}, 0
		v.refusedMinimum, v.refusedUntil = 0, time.Time{}
		v.granted, v.grantedAt = v.grantedLately(a.bounds, now)+reply.Granted, now
		if reply.Granted <= 0 {
			v.refusedMinimum, v.refusedUntil = ask.Reservation.Minimum, now.Add(reply.Wait)
		}
	}
	if reply.Granted > 0 {
		a.grants = append(a.grants, grant{payment: payment{keeper: ask.Keeper, amount: reply.Granted, askedAt: ask.askedAt}, ends: ask.askedAt.Add(reply.Lifetime)})
	}
	a.decide(now)
}

// Failed records that a keeper has not answered.
func (a *Account) Failed(ask Ask, now time.Time) {
	a.inFlight = false
	if v := a.view(ask.Keeper); v != nil {
		v.absence = min(max(minAbsence, 2*v.absence), maxAbsence)
		v.absentUntil = now.Add(v.absence)
	}
	a.decide(now)
}

// TakeDecided returns the requests that were decided since the last call.
func (a *Account) TakeDecided() []*Request {
	decided := a.decided
	a.decided = nil
	return decided
}

// Returns gives back calls that only return what is not used, and that no request waits for. Their answers are ignored.
func (a *Account) Returns(now time.Time) []Ask {
	a.expire(now)
	var asks []Ask
	for _, v := range a.keepers {
		due := slices.ContainsFunc(a.returns, func(r refund) bool { return r.keeper == v.address && !now.Before(r.due) })
		if due && !now.Before(v.absentUntil) {
			asks = append(asks, a.ask(v, 0, 0, now))
		}
	}
	return asks
}

// Refund takes back the cost of an admitted request that has not run.
func (a *Account) Refund(r *Request, now time.Time) {
	if r.State != Admitted {
		return
	}
	for _, p := range r.payments {
		if now.Sub(p.askedAt) < grantLifetime {
			a.grants = append(a.grants, grant{payment: p, ends: p.askedAt.Add(grantLifetime)})
			continue
		}
		a.returns = append(a.returns, refund{p, now.Add(returnDelay)})
	}
	r.payments = nil
}

// IsIdle reports whether the account holds nothing and nothing waits, and has seen no request for a time.
func (a *Account) IsIdle(now time.Time) bool {
	a.expire(now)
	return !a.inFlight && len(a.waiting) == 0 && len(a.grants) == 0 && len(a.returns) == 0 && now.Sub(a.demandAt) > time.Minute
}

// Balance returns what the account holds.
func (a *Account) Balance(now time.Time) float64 {
	total := 0.0
	for _, g := range a.grants {
		if now.Before(g.ends) {
			total += g.amount
		}
	}
	return total
}

// expire moves what is left of grants that have ended to what is to be returned, and drops what is too old for that.
func (a *Account) expire(now time.Time) {
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool {
		if now.Before(g.ends) {
			return g.amount <= 0
		}
		if g.amount > 0 {
			a.returns = append(a.returns, refund{g.payment, now.Add(returnDelay)})
		}
		return true
	})
	a.returns = slices.DeleteFunc(a.returns, func(r refund) bool {
		return now.Sub(r.askedAt) > maxReturnAge || a.view(r.keeper) == nil
	})
}

// settle admits the requests that wait and are covered, in their order.
func (a *Account) settle(now time.Time) {
	for len(a.waiting) > 0 && a.pay(a.waiting[0], now) {
		a.decided = append(a.decided, a.waiting[0])
		a.waiting = a.waiting[1:]
	}
}

// decide settles, and refuses what has waited too long.
func (a *Account) decide(now time.Time) {
	a.expire(now)
	a.settle(now)
	for len(a.waiting) > 0 && now.Sub(a.waiting[0].since) >= AskTimeout {
		a.refuse(a.waiting[0], now)
		a.settle(now)
	}
}

// pay charges a request if the balance covers it, from the grants that end first.
func (a *Account) pay(r *Request, now time.Time) bool {
	if !a.covers(r.Cost, now) {
		return false
	}
	slices.SortFunc(a.grants, func(x, y grant) int { return x.ends.Compare(y.ends) })
	missing := r.Cost
	for i := range a.grants {
		g := &a.grants[i]
		amount := min(missing, g.amount)
		if amount <= 0 || !now.Before(g.ends) {
			continue
		}
		g.amount -= amount
		missing -= amount
		r.payments = append(r.payments, payment{keeper: g.keeper, amount: amount, askedAt: g.askedAt})
	}
	r.State, r.Balance = Admitted, a.Balance(now)
	return true
}

// refuse ends the wait of the first request, and remembers the refusal.
func (a *Account) refuse(r *Request, now time.Time) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *Request) bool { return w == r })
	a.decided = append(a.decided, r)
	r.Balance = a.Balance(now)
	reachable := a.reachable(now)
	if len(reachable) == 0 || !slices.ContainsFunc(reachable, func(v *keeperView) bool { return !v.answeredAt.IsZero() }) {
		r.State, r.RetryAfter = Unreachable, spread(unreachableRetryAfter)
		return
	}
	r.State = Refused
	for _, v := range reachable {
		if !v.answeredAt.IsZero() {
			r.AnswerAge = max(r.AnswerAge, now.Sub(v.answeredAt))
		}
	}
	wait := a.waitFor(r.Cost-r.Balance, reachable, now)
	r.RetryAfter = spread(wait)
	if r.Asked > 0 {
		a.refusedCost, a.refusedUntil = r.Cost, now.Add(max(refusedPause, min(wait, time.Second)))
	}
	if len(a.waiting) == 0 {
		a.release(now)
	}
}

// release returns at once what was collected for a request that was then refused: other gateways may use it.
func (a *Account) release(now time.Time) {
	excess := a.Balance(now) - a.aheadTarget(now)
	for i := range a.grants {
		g := &a.grants[i]
		amount := min(excess, g.amount)
		if amount <= 0 {
			continue
		}
		excess -= amount
		g.amount -= amount
		a.returns = append(a.returns, refund{payment{keeper: g.keeper, amount: amount, askedAt: g.askedAt}, now})
	}
}

// spread adds to a time to wait a random part of it.
func spread(wait time.Duration) time.Duration {
	wait = min(wait, maxRetryAfter)
	return wait + rand.N(min(wait, maxRetryAfter)+retrySpread)
}

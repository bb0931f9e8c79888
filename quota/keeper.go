package quota

import (
	"math"
	"time"
)

const (
	// fullShare is the level, as a share of the capacity, from which a request larger than the capacity is granted in debt.
	fullShare = 0.9
	// maxCustomers bounds the memory of a keeper: some 1.4 KB for each customer.
	maxCustomers = 16384
	// A process that was not scheduled for maxTickGap was frozen. It then grants nothing for flushTime, which is longer than gateways wait:
	// calls that it finds were made long ago, by gateways that may have other keepers now.
	maxTickGap = 2 * time.Second
	flushTime  = 250 * time.Millisecond
	// minWait is the shortest wait that a keeper names.
	minWait = 20 * time.Millisecond
)

// Reservation is what a gateway asks a keeper for.
type Reservation struct {
	Customer    string
	Limit       Limit
	Amount      float64       // what is asked for in all
	Minimum     float64       // a smaller grant is of no use
	Returned    float64       // what is given back of earlier grants of this keeper
	ReturnedAge time.Duration // since the oldest of these was asked for
	KeeperFor   time.Duration // how long the gateway has seen this keeper as one of the customer's
	Beside      []string      // the customer's other keepers, as the gateway sees them now
}

// Reply is a keeper's answer.
type Reply struct {
	Granted  float64
	Lifetime time.Duration // of the grant, from the time at which it was asked for
	Wait     time.Duration // until Minimum can be granted, if it was not
	Left     float64       // what the keeper could grant next; negative in debt
}

// Keeper grants its parts of customers' quotas to gateways. A part is a token bucket, which spreads the use over time, and a sliding window
// over what was granted, less what gateways have returned of that, which keeps the bounds.
type Keeper struct {
	bounds    Bounds
	stores    bool // levels of use
	started   time.Time
	tickedAt  time.Time
	thawedAt  time.Time
	customers map[string]*bucket
}

// bucket is a keeper's part of one customer's quota.
type bucket struct {
	limit          Limit
	part           part
	manyKeepersAt  time.Time // when the number of keepers in limit was last named
	level          float64
	at             time.Time // of level
	history        history
	lastReserved   time.Time
	continuousTill time.Time // last time at which this agent is known to have been a keeper for all gateways; zero if never
	levels         *levels   // nil if the keeper stores none
}

// NewKeeper returns a keeper without customers, which started at the given time.
func NewKeeper(bounds Bounds, started time.Time) *Keeper {
	return &Keeper{bounds: bounds, started: started, tickedAt: started, customers: map[string]*bucket{}}
}

// NewStoringKeeper returns a keeper that keeps each customer's use within a stored level. Its owner stores what Changes returns.
func NewStoringKeeper(bounds Bounds, started time.Time) *Keeper {
	k := NewKeeper(bounds, started)
	k.stores = true
	return k
}

// Tick tells the keeper that its process runs. It must be called several times in each maxTickGap.
func (k *Keeper) Tick(now time.Time) {
	if now.Sub(k.tickedAt) > maxTickGap {
		k.thawedAt = now
	}
	k.tickedAt = now
}

// Reserve grants a part of a customer's quota.
func (k *Keeper) Reserve(in Reservation, now time.Time) Reply {
	k.Tick(now)
	if now.Sub(k.thawedAt) < flushTime {
		return Reply{Wait: flushTime}
	}
	b := k.bucket(in, now)
	b.advance(now, k.started)
	b.setLimit(in.Limit, k.bounds, now)
	b.credit(in.Returned, in.ReturnedAge)
	b.lastReserved = now
	ways, continuous := b.ways(in, now)
	b.levels.observeBeside(in.Beside)
	way, granted := b.choose(in, ways)
	reply := Reply{Granted: granted, Lifetime: grantLifetime, Left: way.left - granted}
	if granted > 0 {
		b.history.addGranted(granted)
	} else if in.Amount > 0 {
		reply.Wait = b.wait(in.Minimum, ways)
	}
	b.spend(granted, way, continuous, now)
	if b.levels != nil && in.Amount > 0 {
		b.observeUse(in, &reply, now)
	}
	return reply
}

// bucket returns the bucket of the customer of a reservation. A new one is filled as if the keeper had been empty at its start: what it
// granted before a restart is not known.
func (k *Keeper) bucket(in Reservation, now time.Time) *bucket {
	b := k.customers[in.Customer]
	if b == nil {
		k.evict()
		b = &bucket{limit: in.Limit, part: k.bounds.part(in.Limit), at: now, manyKeepersAt: now}
		b.level = min(b.part.capacity, b.part.rate*now.Sub(k.started).Seconds()-b.part.debt)
		b.history = newHistory(k.bounds.Window + grantLifetime)
		b.history.advance(now.Sub(k.started), b.level)
		if k.stores {
			b.levels = newLevels(b.part, now.Sub(k.started), now)
		}
		k.customers[in.Customer] = b
	}
	return b
}

// evict makes room for a further customer by dropping the one that was asked for the longest time ago.
func (k *Keeper) evict() {
	if len(k.customers) < maxCustomers {
		return
	}
	oldest := ""
	for name, b := range k.customers {
		if oldest == "" || b.lastReserved.Before(k.customers[oldest].lastReserved) {
			oldest = name
		}
	}
	delete(k.customers, oldest)
}

// advance refills the bucket.
func (b *bucket) advance(now, started time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(max(b.level, b.part.capacity), b.level+b.part.rate*elapsed.Seconds())
		b.at = now
		if b.levels != nil {
			b.levels.advance(b.part, elapsed, now)
		}
	}
	b.history.advance(now.Sub(started), b.level)
}

// setLimit takes over the limit of a higher version of the routes, and the highest number of keepers that gateways have lately named: a
// gateway that sees fewer keepers must not raise the part of this one while others still use all of them.
func (b *bucket) setLimit(l Limit, bounds Bounds, now time.Time) {
	next := b.limit
	if l.Version >= b.limit.Version {
		next = l
		next.Keepers = b.limit.Keepers
	}
	switch {
	case l.Keepers >= b.limit.Keepers:
		next.Keepers, b.manyKeepersAt = l.Keepers, now
		b.levels.keepParts(l.Keepers)
	case now.Sub(b.manyKeepersAt) > viewLag && b.levels.allowsParts(l.Keepers):
		next.Keepers = l.Keepers
	}
	if next == b.limit {
		return
	}
	old, ratio := b.part, 1.0
	b.limit, b.part = next, bounds.part(next)
	if old.rate > 0 && b.part.rate != old.rate {
		ratio = b.part.rate / old.rate
		// What was granted counts as the same share of the part. It is scaled back where a limit is raised again, or grants would be forgotten.
		b.history.scale(ratio)
		if b.level < 0 && ratio < 1 {
			b.level *= ratio // a debt takes as long to make up for as before
		}
	}
	b.level = min(b.level, b.part.capacity)
	if b.levels != nil {
		b.levels.setPart(b.part, ratio)
	}
}

// credit adds what a gateway returns of grants that it asked for within the given age. The level is then as if that had not been granted:
// a bucket that was full in the meantime would have been full without the grant, too, and gains nothing.
func (b *bucket) credit(returned float64, age time.Duration) {
	if !(returned > 0) {
		return
	}
	highest, ok := b.history.highest(age)
	if !ok {
		return
	}
	if gained := min(returned, b.part.capacity-highest); gained > 0 {
		b.level += gained
		b.history.raise(age, gained)
	}
	if b.levels != nil {
		first, _ := b.history.firstSlot(age)
		b.levels.credit(b.part, returned, b.history.grantedSince(first))
	}
	b.history.takeBack(age, returned)
}

// historySlots is the number of slots of a history.
const historySlots = 64

// history holds the highest level of a bucket, and what it granted, by slots of time over a span.
type history struct {
	slotLength time.Duration
	index      int64 // of the current slot since the start of the keeper
	elapsed    time.Duration
	level      [historySlots]float64
	grants     [historySlots]float64
}

func newHistory(span time.Duration) history {
	h := history{slotLength: span/(historySlots-1) + 1, index: -1}
	for i := range h.level {
		h.level[i] = math.Inf(-1)
	}
	return h
}

// advance moves on to the time since the keeper's start. The level has not fallen since the last call.
func (h *history) advance(elapsed time.Duration, level float64) {
	h.elapsed = elapsed
	index := int64(elapsed / h.slotLength)
	for from := max(h.index+1, index-historySlots+1); from <= index; from++ {
		h.level[from%historySlots], h.grants[from%historySlots] = level, 0
	}
	h.index = max(h.index, index)
	h.level[h.index%historySlots] = max(h.level[h.index%historySlots], level)
}

func (h *history) addGranted(amount float64) { h.grants[h.index%historySlots] += amount }

// granted returns what was granted within the span.
func (h *history) granted() float64 {
	total := 0.0
	for _, amount := range h.grants {
		total += amount
	}
	return total
}

// grantedSince returns what was granted from a slot on, in the span.
func (h *history) grantedSince(first int64) float64 {
	total := 0.0
	for i := max(first, h.index-historySlots+1, 0); i <= h.index; i++ {
		total += h.grants[i%historySlots]
	}
	return total
}

// takeBack subtracts an amount from what was granted at an age or earlier. It may have been granted later: the sums of spans that end from now
// on are then too high, never too low.
func (h *history) takeBack(age time.Duration, amount float64) {
	first, _ := h.firstSlot(age)
	for i := first; i >= 0 && i > h.index-historySlots && amount > 0; i-- {
		taken := min(amount, h.grants[i%historySlots])
		h.grants[i%historySlots] -= taken
		amount -= taken
	}
}

// waitFor returns the time until an amount of what was granted has left the span.
func (h *history) waitFor(amount float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	for i := max(0, h.index-historySlots+1); i <= h.index; i++ {
		if amount -= h.grants[i%historySlots]; amount <= 0 {
			return time.Duration(i+historySlots)*h.slotLength - h.elapsed
		}
	}
	return historySlots * h.slotLength
}

// firstSlot returns the slot that was current at an age; ok is false if that is before the span.
func (h *history) firstSlot(age time.Duration) (index int64, ok bool) {
	index = max(0, int64((h.elapsed-age)/h.slotLength))
	if h.elapsed < age {
		return 0, false
	}
	return index, h.index-index < historySlots
}

// highest returns the highest level since an age; ok is false if that is not known.
func (h *history) highest(age time.Duration) (level float64, ok bool) {
	first, ok := h.firstSlot(age)
	if !ok {
		return 0, false
	}
	level = math.Inf(-1)
	for i := first; i <= h.index; i++ {
		level = max(level, h.level[i%historySlots])
	}
	return level, true
}

// raise adds to the highest levels since an age.
func (h *history) raise(age time.Duration, amount float64) {
	first, _ := h.firstSlot(age)
	for i := first; i <= h.index; i++ {
		h.level[i%historySlots] += amount
	}
}

// scale multiplies what was granted.
func (h *history) scale(ratio float64) {
	for i := range h.grants {
		h.grants[i] *= ratio
	}
}

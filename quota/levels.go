package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"gypsumbank/quotalevels"
)

const (
	// A keeper in use confirms its claim after confirmInterval and a part of confirmSpread. Until then a keeper that has joined
	// meanwhile keeps it from granting at once after a restart. It is a read alone if none has.
	confirmInterval = 10 * time.Second
	confirmSpread   = 5 * time.Second
	// levelInterval is longer than a window. A level is lowered once the lower one was enough for lowerMargin times the use of one to two of
	// them: use that varies about the bound of a level must not move it each time.
	levelInterval = 10 * time.Second
	lowerMargin   = 1.7
	// The highest level leaves nothing after a restart, and by that margin a burst would keep a customer there for good which uses more than half of
	// its limit. It is lowered once one at least peakSteps below was enough for peakMargin times the use of one to two peakIntervals.
	peakInterval = 5 * time.Second
	peakMargin   = 1.15
	peakSteps    = 2
	// earlyConfirmDelay is the time until a keeper confirms a claim that does not count yet: it must be used more than 4 s after it has joined itself and
	// after another one has, of which it may learn by this write alone.
	earlyConfirmDelay = 4500 * time.Millisecond
	// unusedTime is the time after which an unused keeper no longer confirms.
	unusedTime = time.Minute
	// storeWait is the wait that a keeper names while it waits for the store, for at most maxStoreWait. Then the store counts as unavailable.
	storeWait    = 100 * time.Millisecond
	maxStoreWait = 2 * time.Second
)

// Change is a change of a customer's row that a keeper wants to be stored.
type Change struct {
	Customer string
	Start    bool // the keeper takes its part over
	Joins    bool // the keeper takes over some of the part of another one
	Level    quotalevels.Level
	Parts    int
	UsedAt   time.Time // when a gateway last asked for a part
	Settle   time.Duration
	Beside   []string // the other keepers of all gateways that have asked since the keeper has taken its part over

	takeover int
	moves    bool
}

// Moves reports whether the change moves the level.
func (c Change) Moves() bool { return c.moves }

// Update returns what is to be applied to the row of a keeper with an address.
func (c Change) Update(address string, now time.Time) quotalevels.Update {
	return quotalevels.Update{Address: address, Start: c.Start, Joins: c.Joins, Level: c.Level, Parts: c.Parts, UsedAgo: now.Sub(c.UsedAt), Settle: c.Settle, Beside: c.Beside}
}

// UnsettledRetry returns the time after which a change is tried again that is not stored as another keeper has just started. A level may be raised once
// all gateways use that other keeper.
func (c Change) UnsettledRetry() time.Duration {
	if c.Start || c.Joins {
		return c.Settle
	}
	return viewLag + time.Second
}

// levels is what a keeper that stores levels knows of its use of one customer's part.
type levels struct {
	// fills are buckets of the capacity and the refill that each level allows. With them, what a keeper uses within a level and what the next one
	// then uses of the rest is together what a single keeper could.
	fills   [quotalevels.Count]float64
	inForce quotalevels.Level
	needed  quotalevels.Level // highest since the level was last lowered
	enough  recentLevel       // for the use with lowerMargin
	peak    recentLevel       // for the use with peakMargin
	usedAt  time.Time

	asked  bool     // by a gateway since it has last taken the part over
	beside []string // the other keepers of all gateways that have asked since then

	parts       int // of which the keeper has stored that it holds one; 0 if unknown
	wantedParts int // fewer and larger ones, of which it is to hold one; 0 if none are wanted

	alone      bool      // no other keeper holds the part
	stored     bool      // the row has this keeper since it has last taken the part over
	takeover   int       // number of times that it has
	takenAt    time.Time // when it last has
	takenSlot  int64     // of the history
	changing   bool      // a change is being stored
	retryAt    time.Time
	confirmAt  time.Time // when the claim is to be confirmed
	sharesTill time.Time // until when shareFill holds beside the rule for keepers without a row
	shareLevel quotalevels.Level
	shareFill  float64
	shareSpent float64 // granted by them
}

// newLevels returns the levels of a keeper which started the given time ago and knows nothing of what was granted before. Until its row is stored,
// it is within the lowest level also together with the keeper before it, in debt as at the start of any keeper.
func newLevels(p part, ago time.Duration, now time.Time) *levels {
	l := &levels{takenAt: now, takeover: 1, usedAt: now, enough: recentLevel{length: levelInterval}, peak: recentLevel{length: peakInterval}}
	for i := range l.fills {
		share := quotalevels.Level(i).Share()
		l.fills[i] = min(share*p.capacity, share*p.rate*ago.Seconds()-p.debt)
	}
	return l
}

// advance refills the buckets.
func (l *levels) advance(p part, elapsed time.Duration, now time.Time) {
	for i := range l.fills {
		share := quotalevels.Level(i).Share()
		l.fills[i] = min(max(l.fills[i], share*p.capacity), l.fills[i]+share*p.rate*elapsed.Seconds())
	}
	share := 1 - l.shareLevel.Share()
	if now.Sub(l.takenAt) > viewLag {
		share = 1 // the keeper before no longer grants anything
	}
	l.shareFill = min(max(l.shareFill, share*p.capacity), l.shareFill+share*p.rate*elapsed.Seconds())
}

// grantedBefore returns the bound on what the keeper before has granted within the window that ends now.
func (l *levels) grantedBefore(p part, now time.Time) float64 {
	since := max(0, now.Sub(l.takenAt)-viewLag)
	return l.shareLevel.Share() * max(0, min(p.usable, p.capacity+p.rate*(p.span-since).Seconds()))
}

// spend takes a grant.
func (l *levels) spend(amount float64) {
	for i := range l.fills {
		l.fills[i] -= amount
	}
	l.shareFill -= amount
}

// credit adds what is returned of grants since which at most the given amount was granted. A bucket that may have been full meanwhile gains nothing:
// it was at no time above its present fill and the grants since then.
func (l *levels) credit(p part, returned, since float64) {
	gain := func(fill, share float64) float64 {
		full := share * p.capacity
		return fill + max(0, min(returned, full-min(full, fill+since)))
	}
	for i := range l.fills {
		l.fills[i] = gain(l.fills[i], quotalevels.Level(i).Share())
	}
	l.shareFill = gain(l.shareFill, 1-l.shareLevel.Share())
}

// setPart adapts the buckets to another limit, as that of the whole part is.
func (l *levels) setPart(p part, ratio float64) {
	adapt := func(fill, share float64) float64 {
		if fill < 0 && ratio < 1 {
			fill *= ratio
		}
		return min(fill, share*p.capacity)
	}
	for i := range l.fills {
		l.fills[i] = adapt(l.fills[i], quotalevels.Level(i).Share())
	}
	l.shareFill = adapt(l.shareFill, 1-l.shareLevel.Share())
}

// take begins a takeover: until a gateway that has seen this keeper for a time shows otherwise, another one may have been used in place of it. Until
// the row is stored, both are within the lowest level together, as at the start of the process.
func (l *levels) take(p part, slot int64, seen time.Duration, now time.Time) {
	share := quotalevels.Level(0).Share()
	l.fills[0] = min(l.fills[0], share*p.rate*(seen-viewLag).Seconds()-p.debt)
	l.takeover++
	l.takenAt, l.takenSlot, l.sharesTill, l.shareSpent = now, slot, time.Time{}, 0
	l.inForce, l.stored, l.alone, l.changing, l.retryAt = 0, false, false, false, time.Time{}
	l.asked, l.beside = false, nil
}

// observeBeside records which keepers a gateway has beside this one.
func (l *levels) observeBeside(others []string) {
	switch {
	case l == nil:
	case !l.asked:
		l.asked, l.beside = true, slices.Clone(others)
	default:
		l.beside = slices.DeleteFunc(l.beside, func(other string) bool { return !slices.Contains(others, other) })
	}
}

// takesOver reports whether a gateway that has seen this keeper since a time is one of those from which it has last taken the part over.
func (l *levels) takesOver(since time.Time) bool { return !since.After(l.takenAt.Add(viewLag)) }

// settled reports whether nothing counts any more of what was granted before the takeover of which a gateway tells. It applies to keepers that
// have begun at once, and so are in debt by the rule for others.
func (l *levels) settled(since, now time.Time) bool {
	return l != nil && !l.sharesTill.IsZero() && !now.Before(l.sharesTill) && l.takesOver(since)
}

// takeoverRate returns the refill of a keeper that begins in debt: within the lowest level until its row is stored.
func (l *levels) takeoverRate(p part) float64 {
	if l == nil || l.stored {
		return p.rate
	}
	return quotalevels.Level(0).Share() * p.rate
}

// takeoverLag returns the time for which another keeper may still be used by some gateway, after one has taken up this one.
func (l *levels) takeoverLag() time.Duration {
	if l != nil && l.alone {
		return 0
	}
	return viewLag
}

func (l *levels) spentByShare() float64 {
	if l == nil {
		return 0
	}
	return l.shareSpent
}

// keepParts records that a gateway has named as many keepers as the quota is divided among, or more.
func (l *levels) keepParts(named int) {
	if l == nil {
		return
	}
	l.wantedParts = 0
	if named > l.parts {
		l.parts = 0
	}
}

// allowsParts reports whether the keeper may hold one of fewer and larger parts. As with one that takes the place of another, the row must show it
// first: a keeper that is gone has held a share of that part and may come back.
func (l *levels) allowsParts(named int) bool {
	if l == nil || l.parts == named {
		return true
	}
	l.wantedParts = named
	return false
}

// need records the level that a grant calls for, or a request that the level in force has kept from being granted. Gateways then ask another
// keeper, and the store answers within some 10 ms: to raise earlier would mostly raise for moments that pass, and leave less after a restart.
func (l *levels) need(p part, granted, missing float64) {
	for l.needed < quotalevels.Highest && !l.allows(l.needed, p, granted, missing) {
		l.needed++
	}
	l.enough.current = l.lowest(l.enough.current, p, lowerMargin*granted, missing)
	l.peak.current = l.lowest(l.peak.current, p, peakMargin*granted, missing)
}

// lowest returns the lowest level that allows what was granted and a further grant, at least a given one.
func (l *levels) lowest(least quotalevels.Level, p part, granted, missing float64) quotalevels.Level {
	for least < quotalevels.Highest && !l.allows(least, p, granted, missing) {
		least++
	}
	return least
}

// lowered returns the level that was enough lately, and whether it is so far below the one in force that it is to be stored.
func (l *levels) lowered() (quotalevels.Level, bool) {
	if peak := l.peak.highest(); l.inForce == quotalevels.Highest && peak <= l.inForce-peakSteps {
		return peak, true
	}
	enough := l.enough.highest()
	return enough, enough < l.inForce
}

// allows reports whether a level allows what was granted and a further grant.
func (l *levels) allows(level quotalevels.Level, p part, granted, missing float64) bool {
	return granted+missing <= level.Share()*p.usable && l.fills[level] >= missing
}

// awaitsStore reports whether a keeper that has no room is likely to have some as soon as the store has answered.
func (l *levels) awaitsStore(now time.Time) bool {
	if !l.stored {
		return now.Sub(l.takenAt) < maxStoreWait
	}
	return l.needed > l.inForce
}

// change returns what is to be stored now, if anything is.
func (l *levels) change(now time.Time) (start bool, level quotalevels.Level, due bool) {
	lowered, isLower := l.lowered()
	switch {
	case l.changing || now.Before(l.retryAt):
		return false, 0, false
	case !l.stored:
		return true, l.inForce, now.Sub(l.usedAt) < unusedTime
	case l.needed > l.inForce:
		return false, l.needed, true
	case l.wantedParts > 0:
		return false, l.inForce, true
	case now.Sub(l.usedAt) >= unusedTime:
		return false, 0, false
	case isLower:
		return false, lowered, true
	case !now.Before(l.confirmAt):
		return false, l.inForce, true
	}
	return false, 0, false
}

// Changes returns what is to be stored now. Stored or Failed must be called for each.
func (k *Keeper) Changes(now time.Time) []Change {
	var changes []Change
	for name, b := range k.customers {
		if b.levels == nil {
			continue
		}
		if start, level, due := b.levels.change(now); due {
			joins := !start && b.levels.wantedParts > 0
			parts := b.limit.Keepers
			if joins {
				parts = b.levels.wantedParts
			}
			changes = append(changes, Change{
				Customer: name, Start: start, Joins: joins, Level: level, Parts: parts, UsedAt: b.levels.usedAt,
				Settle: k.bounds.Window + grantLifetime + viewLag + time.Second, Beside: slices.Clone(b.levels.beside),
				takeover: b.levels.takeover, moves: level != b.levels.inForce,
			})
			b.levels.changing = true
			if !start && level < b.levels.inForce {
				b.levels.needed = level
			}
		}
	}
	return changes
}

// IsDue reports whether Changes has one for a customer.
func (k *Keeper) IsDue(customer string, now time.Time) bool {
	b := k.customers[customer]
	if b == nil || b.levels == nil {
		return false
	}
	_, _, due := b.levels.change(now)
	return due
}

// Lower takes a level that is about to be stored into force, if it is below the one in force.
func (k *Keeper) Lower(c Change) {
	if b := k.customers[c.Customer]; b != nil && b.levels.takeover == c.takeover && !c.Start {
		b.levels.inForce = min(b.levels.inForce, c.Level)
	}
}

// Stored records that a change which was begun at a time has been stored.
func (k *Keeper) Stored(c Change, out quotalevels.Outcome, begun, now time.Time) {
	b := k.customers[c.Customer]
	if b == nil || b.levels.takeover != c.takeover {
		return
	}
	l := b.levels
	l.changing, l.inForce = false, out.Level
	if c.Joins && c.Parts == l.wantedParts {
		l.parts, l.wantedParts = c.Parts, 0
	}
	if !c.Start {
		l.confirmAt = now.Add(confirmInterval + time.Duration(now.UnixNano())%confirmSpread)
		if !out.Counts && now.Sub(l.usedAt) < earlyConfirmDelay {
			l.confirmAt = now.Add(earlyConfirmDelay)
		}
		return
	}
	l.stored, l.alone = true, out.Alone
	l.enough.begin(out.Level, now)
	l.peak.begin(out.Level, now)
	l.confirmAt = now.Add(earlyConfirmDelay)
	granted := b.history.grantedSince(l.takenSlot)
	for i := range l.fills {
		l.fills[i] = quotalevels.Level(i).Share()*b.part.capacity - granted
	}
	if out.Shares && out.Level < quotalevels.Highest {
		l.shareLevel, l.sharesTill = out.Level, begun.Add(viewLag+k.bounds.Window+grantLifetime)
		l.shareFill = (1-out.Level.Share())*b.part.capacity - granted
	}
}

// Failed records that a change has not been stored, to be tried again after a time.
func (k *Keeper) Failed(c Change, retry time.Duration, now time.Time) {
	if b := k.customers[c.Customer]; b != nil && b.levels.takeover == c.takeover {
		b.levels.changing, b.levels.retryAt = false, now.Add(retry)
	}
}

// Reconfirm has all claims written again within a time, as the store has come back from an older copy.
func (k *Keeper) Reconfirm(within time.Duration, now time.Time) {
	for _, b := range k.customers {
		if b.levels != nil {
			b.levels.confirmAt = now.Add(rand.N(within))
		}
	}
}

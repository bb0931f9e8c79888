package quota

import "time"

// way is a rule by which a keeper may grant.
type way struct {
	bucket float64 // level of the token bucket of the whole part
	level  float64 // what may be granted of that
	rate   float64 // by which level rises
	room   float64 // in the window
	// left is what gateways are told. It leaves out the level: a keeper of a higher level would be asked more often, and so need a still higher one.
	left   float64
	shares bool // by what the level stored for the keeper before leaves
}

// ways returns the rules that apply, of which the one that grants most counts, and whether this agent is known to have been a keeper for all
// gateways without a break.
func (b *bucket) ways(in Reservation, now time.Time) (ways []way, continuous bool) {
	since := now.Add(-in.KeeperFor)
	continuous = !since.After(b.continuousTill)
	l := b.levels
	if !continuous && l != nil && !l.takesOver(since) {
		l.take(b.part, b.history.index, in.KeeperFor, now)
	}
	if !continuous && l.settled(since, now) {
		continuous = true
		b.level = max(b.level, b.part.capacity-b.history.granted())
	}
	whole := way{bucket: b.level, rate: b.part.rate, room: b.part.usable - b.history.granted()}
	if !continuous {
		// Another keeper may have been used in place of this one until a lag after the gateway has seen this one.
		whole.bucket = min(b.level, l.takeoverRate(b.part)*(in.KeeperFor-l.takeoverLag()).Seconds()-b.part.debt-l.spentByShare())
	}
	whole.level, whole.left = whole.bucket, min(whole.bucket, whole.room)
	if l == nil {
		return []way{whole}, continuous
	}
	share := l.inForce.Share()
	whole.level, whole.rate, whole.room = min(whole.level, l.fills[l.inForce]), share*whole.rate, whole.room-(1-share)*b.part.usable
	ways = []way{whole}
	if now.Before(l.sharesTill) && l.takesOver(since) {
		granted := b.history.grantedSince(l.takenSlot)
		rest := way{bucket: b.level, level: min(l.shareFill, l.fills[l.inForce]), rate: (1 - l.shareLevel.Share()) * b.part.rate, shares: true}
		rest.room = min(b.part.total-l.grantedBefore(b.part, now)-granted, whole.room)
		rest.left = min(rest.level, rest.room)
		ways = append(ways, rest)
	}
	return ways, continuous
}

// choose returns the way that grants most, or has most left if none grants anything.
func (b *bucket) choose(in Reservation, ways []way) (best way, granted float64) {
	for i, w := range ways {
		amount := max(0, b.grantable(in, w))
		if i == 0 || amount > granted || (amount == granted && w.left > best.left) {
			best, granted = w, amount
		}
	}
	return best, granted
}

// grantable returns what a bucket grants. A minimum above what a bucket can hold is granted in debt from a full one.
func (b *bucket) grantable(in Reservation, w way) float64 {
	full := fullShare * b.part.capacity
	switch {
	case in.Minimum > w.room:
		return 0
	case w.level >= in.Minimum:
		return min(in.Amount, w.level, w.room)
	case w.level >= full && in.Minimum > full:
		return in.Minimum
	}
	return 0
}

// spend takes a grant from the buckets.
func (b *bucket) spend(granted float64, w way, continuous bool, now time.Time) {
	switch {
	case granted > 0 && w.shares && !continuous:
		b.level -= granted
		b.levels.shareSpent += granted
	case granted > 0:
		b.level, b.continuousTill = w.bucket-granted, now
	case continuous:
		b.continuousTill = now
	}
	if b.levels != nil {
		b.levels.spend(granted)
	}
}

// observeUse records which level the use calls for, and shortens the wait that a reply names if the store is likely to give room.
func (b *bucket) observeUse(in Reservation, reply *Reply, now time.Time) {
	l := b.levels
	l.usedAt = now
	l.enough.rotate(now)
	l.peak.rotate(now)
	if l.stored {
		l.need(b.part, b.history.granted(), b.missing(in, reply))
	}
	if reply.Granted == 0 && l.awaitsStore(now) {
		reply.Wait = min(reply.Wait, storeWait)
		reply.Left = max(reply.Left, (1-l.inForce.Share())*b.part.capacity) // or gateways would not ask again
	}
}

// missing returns what the level kept from being granted.
func (b *bucket) missing(in Reservation, reply *Reply) float64 {
	left := min(b.level, b.part.usable-b.history.granted())
	if left < in.Minimum-reply.Granted {
		return 0
	}
	if in.Minimum > 0 {
		return max(0, in.Minimum-reply.Granted)
	}
	return max(0, min(in.Amount-reply.Granted, left))
}

// wait returns the time until a minimum can be granted.
func (b *bucket) wait(minimum float64, ways []way) time.Duration {
	shortest := time.Minute
	for _, w := range ways {
		if w.rate <= 0 {
			continue
		}
		seconds := (min(minimum, fullShare*b.part.capacity) - w.level) / w.rate
		window := b.history.waitFor(minimum - w.room)
		shortest = min(shortest, max(minWait, window, time.Duration(min(seconds, 60)*float64(time.Second))))
	}
	return shortest
}

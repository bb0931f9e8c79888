package queue

import (
	"math/bits"
	"time"
)

// full reports whether a newcomer would find no room or wait for too long.
func (q *Queue) full() bool {
	if len(q.waiting) >= q.config.MaxWaiting {
		return true
	}
	if q.config.MaxEstimatedWait == 0 || len(q.waiting) < q.config.Slots {
		return false
	}
	perSecond := float64(q.recent()) / rateWindow.Seconds()
	return float64(len(q.waiting)) > max(perSecond, 1)*q.config.MaxEstimatedWait.Seconds()
}

func (q *Queue) recent() int {
	old := 0
	for old < len(q.completed) && time.Since(q.completed[old]) > rateWindow {
		old++
	}
	q.completed = q.completed[old:]
	return len(q.completed)
}

// displace refuses the latest waiting request of the member that takes most beyond its share of the queue, if the
// newcomer's member takes less than its own.
func (q *Queue) displace(newcomer *waiter) bool {
	if q.config.Policy == FirstCome {
		return false
	}
	held := map[string]int{newcomer.request.Member: 0}
	for _, w := range q.waiting {
		held[w.request.Member]++
	}
	worst, excess := "", 0.0
	for member, count := range held {
		if over := float64(count) - q.fair(member, held, len(q.waiting)); over > excess {
			worst, excess = member, over
		}
	}
	own := newcomer.request.Member
	if worst == "" || worst == own || float64(held[own]) >= q.fair(own, held, len(q.waiting)) {
		return false
	}
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if w := q.waiting[i]; w.request.Member == worst && w.request.AttainedTokens == 0 {
			q.remove(w)
			w.refused <- ErrFull
			return true
		}
	}
	return false
}

// fair returns the part of total that a member's share gives it among the members in held.
func (q *Queue) fair(member string, held map[string]int, total int) float64 {
	var all int64
	for other := range held {
		all += q.share(other)
	}
	return float64(total) * float64(q.share(member)) / float64(all)
}

func (q *Queue) share(member string) int64 { return max(1, q.shares[member]) }

// level lets a member that was idle start beside the others, so that it cannot spend service that it did not use.
func (q *Queue) level(member string) {
	lowest := -1.0
	note := func(other string) {
		if attained := q.attained[other]; other != member && (lowest < 0 || attained < lowest) {
			lowest = attained
		}
	}
	for _, w := range q.waiting {
		if w.request.Member == member {
			return
		}
		note(w.request.Member)
	}
	for slot := range q.running {
		if slot.request.Member == member {
			return
		}
		note(slot.request.Member)
	}
	q.attained[member] = max(q.attained[member], lowest)
}

func (q *Queue) first() *waiter {
	best := q.waiting[0]
	now := time.Now()
	for _, w := range q.waiting[1:] {
		if q.before(w, best, now) {
			best = w
		}
	}
	return best
}

func (q *Queue) before(a, b *waiter, now time.Time) bool {
	if q.config.Policy == FirstCome {
		return a.since.Before(b.since)
	}
	attainedA, attainedB := q.attained[a.request.Member], q.attained[b.request.Member]
	if a.request.Member != b.request.Member && attainedA != attainedB {
		return attainedA < attainedB
	}
	rankA, rankB := a.rank(now), b.rank(now)
	if rankA != rankB {
		return rankA < rankB
	}
	return a.since.Before(b.since)
}

// rank is lower for requests that are to run sooner.
func (w *waiter) rank(now time.Time) float64 {
	aged := float64(now.Sub(w.since) / agingTime)
	return float64(levelOf(w.request.AttainedTokens)) - priorityLevel*float64(w.request.Priority) - aged
}

// levelOf returns the level of a request that has had some tokens of service.
func levelOf(tokens int) int { return bits.Len(uint(tokens / levelTokens)) }

// preempt asks one run to give its slot back if the first waiting request has a better right to it.
func (q *Queue) preempt() {
	if q.config.Policy == FirstCome || len(q.waiting) == 0 || len(q.running) < q.config.Slots {
		return
	}
	w := q.first()
	var victim *Slot
	for slot := range q.running {
		if slot.preempted {
			return
		}
		if q.yields(slot, w) && (victim == nil || slot.request.AttainedTokens > victim.request.AttainedTokens) {
			victim = slot
		}
	}
	if victim != nil {
		victim.preempted = true
		close(victim.Preempted)
	}
}

// yields reports whether a run must give way: to a request of its member that has had less service, or to a member that
// has less than its share of the slots.
func (q *Queue) yields(slot *Slot, w *waiter) bool {
	if slot.request.Exclusive || w.request.Exclusive || time.Since(slot.since) < minimumStint {
		return false
	}
	if slot.request.Member == w.request.Member {
		return levelOf(slot.request.AttainedTokens) > levelOf(w.request.AttainedTokens)
	}
	held := map[string]int{w.request.Member: 0}
	for other := range q.running {
		held[other.request.Member]++
	}
	fair := func(member string) float64 { return q.fair(member, held, q.config.Slots) }
	return float64(held[slot.request.Member]) > fair(slot.request.Member) && float64(held[w.request.Member])+1 <= fair(w.request.Member)
}

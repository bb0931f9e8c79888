package queue

import (
	"math/bits"
	"time"
)

// isFull reports whether the queue is at its limit or a further request would wait for longer than MaxEstimatedWait at
// the rate of recent completions.
func (q *Queue) isFull() bool {
	if len(q.waiting) >= q.config.MaxWaiting {
		return true
	}
	if q.config.MaxEstimatedWait == 0 || len(q.waiting) < q.config.Slots {
		return false
	}
	completionsPerSecond := float64(q.recentCompletions()) / completionWindow.Seconds()
	return float64(len(q.waiting)) > max(completionsPerSecond, 1)*q.config.MaxEstimatedWait.Seconds()
}

// recentCompletions returns the number of requests that finished within completionWindow and forgets earlier ones.
func (q *Queue) recentCompletions() int {
	expired := 0
	for expired < len(q.completedAt) && time.Since(q.completedAt[expired]) > completionWindow {
		expired++
	}
	q.completedAt = q.completedAt[expired:]
	return len(q.completedAt)
}

// evictOverShare makes room in a full queue: it refuses the latest waiting request without service of the member that
// exceeds its share of the queue most, if the incoming request belongs to another member that is below its own share.
// It reports whether it refused one.
func (q *Queue) evictOverShare(incoming *waiter) bool {
	if q.config.Policy == FirstCome {
		return false
	}
	waitingByMember := map[string]int{incoming.request.Member: 0}
	for _, w := range q.waiting {
		waitingByMember[w.request.Member]++
	}
	overMember, largestExcess := "", 0.0
	for member, count := range waitingByMember {
		if excess := float64(count) - q.fairShare(member, waitingByMember, len(q.waiting)); excess > largestExcess {
			overMember, largestExcess = member, excess
		}
	}
	incomingMember := incoming.request.Member
	if overMember == "" || overMember == incomingMember || float64(waitingByMember[incomingMember]) >= q.fairShare(incomingMember, waitingByMember, len(q.waiting)) {
		return false
	}
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if w := q.waiting[i]; w.request.Member == overMember && w.request.AttainedTokens == 0 {
			q.removeWaiter(w)
			w.refused <- ErrFull
			return true
		}
	}
	return false
}

// fairShare returns the part of total that a member is entitled to by its share among the members of countByMember.
func (q *Queue) fairShare(member string, countByMember map[string]int, total int) float64 {
	var totalShares int64
	for other := range countByMember {
		totalShares += q.shareOf(other)
	}
	return float64(total) * float64(q.shareOf(member)) / float64(totalShares)
}

// shareOf returns the share of a member, 1 for one that is not listed.
func (q *Queue) shareOf(member string) int64 { return max(1, q.shares[member]) }

// raiseIdleMember raises the attained service of a member without requests to the lowest among the active members.
// Otherwise a member that was idle for long would take all slots until it had caught up with the others.
func (q *Queue) raiseIdleMember(member string) {
	lowest := -1.0
	recordLowest := func(other string) {
		if attained := q.attainedPerShare[other]; other != member && (lowest < 0 || attained < lowest) {
			lowest = attained
		}
	}
	for _, w := range q.waiting {
		if w.request.Member == member {
			return
		}
		recordLowest(w.request.Member)
	}
	for slot := range q.running {
		if slot.request.Member == member {
			return
		}
		recordLowest(slot.request.Member)
	}
	q.attainedPerShare[member] = max(q.attainedPerShare[member], lowest)
}

// nextWaiter returns the waiting request that gets the next free slot.
func (q *Queue) nextWaiter() *waiter {
	best := q.waiting[0]
	now := time.Now()
	for _, w := range q.waiting[1:] {
		if q.precedes(w, best, now) {
			best = w
		}
	}
	return best
}

// precedes reports whether a gets a slot before b: by the attained service of their members, then by rank, then in
// order of arrival.
func (q *Queue) precedes(a, b *waiter, now time.Time) bool {
	if q.config.Policy == FirstCome {
		return a.enqueuedAt.Before(b.enqueuedAt)
	}
	attainedA, attainedB := q.attainedPerShare[a.request.Member], q.attainedPerShare[b.request.Member]
	if a.request.Member != b.request.Member && attainedA != attainedB {
		return attainedA < attainedB
	}
	rankA, rankB := a.rank(now), b.rank(now)
	if rankA != rankB {
		return rankA < rankB
	}
	return a.enqueuedAt.Before(b.enqueuedAt)
}

// rank orders the requests of one member, the lowest first: by the level of service had so far, minus what the request
// gains by its plan's priority and by the time that it has waited.
func (w *waiter) rank(now time.Time) float64 {
	agedLevels := float64(now.Sub(w.enqueuedAt) / waitPerLevel)
	return float64(serviceLevel(w.request.AttainedTokens)) - levelsPerPriority*float64(w.request.Priority) - agedLevels
}

// serviceLevel returns the level of a request that has had this many tokens.
func serviceLevel(tokens int) int { return bits.Len(uint(tokens / firstLevelTokens)) }

// preempt signals a run to release its slot to the next waiting request: of the runs that may be preempted for it, the
// one that has had most tokens. While one run has yet to release its slot, it signals no other.
func (q *Queue) preempt() {
	if q.config.Policy == FirstCome || len(q.waiting) == 0 || len(q.running) < q.config.Slots {
		return
	}
	w := q.nextWaiter()
	var victim *Slot
	for slot := range q.running {
		if slot.preemptionRequested {
			return
		}
		if q.isPreemptibleFor(slot, w) && (victim == nil || slot.request.AttainedTokens > victim.request.AttainedTokens) {
			victim = slot
		}
	}
	if victim != nil {
		victim.preemptionRequested = true
		close(victim.Preempted)
	}
}

// isPreemptibleFor reports whether a run may be preempted for a waiting request. Within a member, the run must be at a
// higher level of service. Between members, the run's member must hold more than its share of the slots and the other
// member must stay within its share with one slot more.
func (q *Queue) isPreemptibleFor(slot *Slot, w *waiter) bool {
	if slot.request.Exclusive || w.request.Exclusive || time.Since(slot.grantedAt) < minSlotTime {
		return false
	}
	if slot.request.Member == w.request.Member {
		return serviceLevel(slot.request.AttainedTokens) > serviceLevel(w.request.AttainedTokens)
	}
	runningByMember := map[string]int{w.request.Member: 0}
	for other := range q.running {
		runningByMember[other.request.Member]++
	}
	fairSlots := func(member string) float64 { return q.fairShare(member, runningByMember, q.config.Slots) }
	return float64(runningByMember[slot.request.Member]) > fairSlots(slot.request.Member) && float64(runningByMember[w.request.Member])+1 <= fairSlots(w.request.Member)
}

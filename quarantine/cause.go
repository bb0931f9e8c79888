package quarantine

import (
	"slices"
	"time"

	"gypsumbank/request"
)

// blockCauses blocks what enough crashes have in common. Each time it takes the one of the suspects that most crashes have and, of several, the one that
// the fewest requests share, together with all contents that were beside it in a request at each of these crashes: any of them may be the cause,
// and sound requests lack the cause. The crashes that it explains do not count for the others. It returns what is blocked now; the
// caller holds the lock.
func (t *Table) blockCauses(suspects []request.Content, now time.Time) []request.Content {
	blocked := append(t.blockAgain(suspects, now), t.blockTogether(suspects, now)...)
	for range suspects { // each pass explains all crashes of one of them
		cause, ok := t.likelyCause(suspects)
		if !ok {
			break
		}
		crashes := t.crashesOf(cause)
		for _, members := range commonContents([]uint64{cause.Hash}, crashes) {
			blocked = append(blocked, t.block(members, cause.Rank, newEvidence(crashes), now))
		}
	}
	return blocked
}

// blockAgain blocks what was blocked before, and not answered since, and has been in progress at a crash after the end of its block; the
// caller holds the lock.
func (t *Table) blockAgain(suspects []request.Content, now time.Time) []request.Content {
	var blocked []request.Content
	for _, suspect := range suspects {
		for _, key := range append([]uint64{suspect.Hash}, t.sets[suspect.Hash]...) {
			e := t.entries[key]
			if e == nil || !e.blocked || e.blockLeft(now) > 0 {
				continue
			}
			members := e.membersOf(key)
			for _, c := range t.unexplainedCrashes(suspect) {
				if c.hasRequestWith(members) {
					blocked = append(blocked, t.block(members, suspect.Rank, newEvidence([]*crash{c}), now))
					break
				}
			}
		}
	}
	return blocked
}

// likelyCause returns the suspect to block next; the caller holds the lock.
func (t *Table) likelyCause(suspects []request.Content) (cause request.Content, ok bool) {
	most := 0
	counts := make(map[uint64]int, len(suspects))
	for _, content := range suspects {
		count := t.countedCrashes(content)
		if count < t.crashesToBlock(content.Hash) {
			continue
		}
		counts[content.Hash] = count
		if count > most || (count == most && content.Rank > cause.Rank) {
			cause, most = content, count
		}
	}
	// A part that most requests have is in progress at crashes with another cause, too: a rarer one that is always beside it goes first.
	rarer, ofRarer := cause, 0
	for _, content := range suspects {
		if count := counts[content.Hash]; count < most && count > ofRarer && t.isAlwaysBeside(content, cause) {
			rarer, ofRarer = content, count
		}
	}
	return rarer, len(counts) > 0
}

// isAlwaysBeside reports whether each unexplained crash of a content had a request with both it and the other one; the caller holds the lock.
func (t *Table) isAlwaysBeside(content, other request.Content) bool {
	both := []uint64{content.Hash, other.Hash}
	return !slices.ContainsFunc(t.unexplainedCrashes(content), func(c *crash) bool { return !c.hasRequestWith(both) })
}

// countedCrashes returns how many of the crashes of a content that have no cause that is blocked count against it; the caller holds the lock.
func (t *Table) countedCrashes(content request.Content) int {
	return countCrashes(content, t.unexplainedCrashes(content))
}

// countCrashes returns how many crashes count against a content. Against a whole request each of them does, as it is at several targets
// only if it was sent again.
func countCrashes(content request.Content, crashes []*crash) int {
	if content.IsWhole() {
		return len(crashes)
	}
	times := make([]time.Time, 0, len(crashes))
	for _, c := range crashes {
		times = append(times, c.at)
	}
	return countSpaced(times)
}

// unexplainedCrashes returns the crashes that have a content and no cause that is blocked; the caller holds the lock.
func (t *Table) unexplainedCrashes(content request.Content) []*crash {
	runs := t.mentions[content.Hash]
	crashes := make([]*crash, 0, len(runs))
	for _, run := range runs {
		if c := t.crashes[run]; !t.explained(c, content) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// crashesToBlock returns the number of crashes from which on a content is blocked. It is lower for one of several that are blocked together: requests
// that end targets though they lack another of these are the same ones; the caller holds the lock.
func (t *Table) crashesToBlock(hash uint64) int {
	if len(t.sets[hash]) > 0 {
		return crashesToNarrow
	}
	return crashesToBlock
}

// crashesOf returns the crashes that speak against a content. Too few for a block of its own speak against one that is blocked together with others, beside the crashes
// that this block explains; the caller holds the lock.
func (t *Table) crashesOf(cause request.Content) []*crash {
	crashes := t.unexplainedCrashes(cause)
	if countCrashes(cause, crashes) >= crashesToBlock {
		return crashes
	}
	crashes = crashes[:0]
	for _, run := range t.mentions[cause.Hash] {
		crashes = append(crashes, t.crashes[run])
	}
	return crashes
}

// blockTogether has more contents blocked together where all crashes that count have them in common: what was blocked by the reports of one gateway may be
// all that a sound request has in common with the crashes, while other gateways know of the request with the cause; the caller holds the lock.
func (t *Table) blockTogether(suspects []request.Content, now time.Time) []request.Content {
	var blocked []request.Content
	for _, suspect := range suspects {
		for _, key := range append([]uint64{suspect.Hash}, t.sets[suspect.Hash]...) {
			e := t.entries[key]
			if suspect.IsWhole() || e == nil || e.blockLeft(now) == 0 {
				continue
			}
			members, crashes := e.membersOf(key), t.crashesOfRuns(e.evidence.runs)
			lists := slices.DeleteFunc(commonContents(members, crashes), func(list []uint64) bool { return len(list) <= len(members) })
			if len(lists) > 0 {
				blocked = append(blocked, t.retract(key, e, lists, now)...)
			}
		}
	}
	return blocked
}

// crashesOfRuns returns the crashes of runs; nil if it does not know all of them. The caller holds the lock.
func (t *Table) crashesOfRuns(runs []uint64) []*crash {
	var crashes []*crash
	for _, run := range runs {
		c := t.crashes[run]
		if c == nil {
			return nil
		}
		crashes = append(crashes, c)
	}
	return crashes
}

// commonContents returns the contents that a request of each of the crashes has in common, the members included, without whole requests unless they are all. These are
// several lists if more than one request was there each time, and none if a crash has no request with the members.
func commonContents(members []uint64, crashes []*crash) [][]uint64 {
	if len(crashes) == 0 {
		return nil
	}
	first := crashes[0]
	if rank := first.contents[members[0]]; len(members) == 1 && (request.Content{Rank: rank}).IsWhole() {
		return [][]uint64{members}
	}
	var lists [][]uint64
	for _, list := range first.requestsWith(members) {
		list = slices.DeleteFunc(slices.Clone(list), func(hash uint64) bool { return request.Content{Rank: first.contents[hash]}.IsWhole() })
		for _, c := range crashes[1:] {
			list = c.mostInCommon(members, list)
		}
		if len(list) == 0 {
			return nil
		}
		slices.Sort(list)
		lists = addLargest(lists, list)
	}
	return lists
}

// mostInCommon returns the most that a request with the members has in common with a list, which includes these; nil if there is none.
func (c *crash) mostInCommon(members, list []uint64) []uint64 {
	var most []uint64
	for _, contents := range c.requestsWith(members) {
		if both := common(list, contents); len(both) > len(most) {
			most = both
		}
	}
	return most
}

// addLargest adds a list unless another one includes it, and removes those that it includes. Beyond maxCommonLists it adds nothing.
func addLargest(lists [][]uint64, list []uint64) [][]uint64 {
	if slices.ContainsFunc(lists, func(other []uint64) bool { return len(common(list, other)) == len(list) }) {
		return lists
	}
	lists = slices.DeleteFunc(lists, func(other []uint64) bool { return len(common(list, other)) == len(other) })
	if len(lists) >= maxCommonLists {
		return lists
	}
	return append(lists, list)
}

// explained reports whether a crash of a content has a cause that was blocked then or has been blocked since. What is blocked explains no
// crash of a content of another request that may as well be the cause: reports of a crash come from several gateways, so the request that was blocked
// first may have been in progress beside the cause. The caller holds the lock.
func (t *Table) explained(c *crash, content request.Content) bool {
	for hash := range c.contents {
		if t.explains(hash, c, content) {
			return true
		}
		for _, key := range t.sets[hash] {
			if t.explains(key, c, content) {
				return true
			}
		}
	}
	return false
}

// explains reports whether the entry with a key explains a crash of a content; the caller holds the lock.
func (t *Table) explains(key uint64, c *crash, content request.Content) bool {
	e := t.entries[key]
	if e == nil || !e.blocked || !c.at.Before(e.at.Add(e.blockDuration())) {
		return false
	}
	members := e.membersOf(key)
	if !c.hasRequestWith(members) {
		return false
	}
	isBeside := slices.Contains(members, content.Hash) || c.hasRequestWith(append(slices.Clone(members), content.Hash))
	return isBeside || content.Rank < c.highestRank(members) || !t.inAllCrashesOf(members, content.Hash)
}

// highestRank returns the highest rank of the members.
func (c *crash) highestRank(members []uint64) uint32 {
	highest := uint32(0)
	for _, member := range members {
		highest = max(highest, c.contents[member])
	}
	return highest
}

// inAllCrashesOf reports whether a content was in progress at each crash of what is blocked; the caller holds the lock.
func (t *Table) inAllCrashesOf(blocked []uint64, hash uint64) bool {
	for _, run := range t.mentions[blocked[0]] {
		c := t.crashes[run]
		if _, ok := c.contents[hash]; !ok && c.hasRequestWith(blocked) {
			return false
		}
	}
	return true
}

package quarantine

import (
	"slices"
	"time"

	"gypsumbank/request"
)

// crash is the end of one run of a target while requests were in progress there.
type crash struct {
	run      uint64
	at       time.Time
	contents map[uint64]uint32 // rank by hash; those that may be the cause
	requests [][]uint64        // the contents of each request that has two or more of them
	revision uint64            // of the table at the last change
}

// requestsWith returns the contents of each request that had all members, one of which may be all that is known of it; nil if none had.
func (c *crash) requestsWith(members []uint64) [][]uint64 {
	var with [][]uint64
	for _, contents := range c.requests {
		if len(common(members, contents)) == len(members) {
			with = append(with, contents)
		}
	}
	if _, ok := c.contents[members[0]]; ok && with == nil && len(members) == 1 {
		with = [][]uint64{members}
	}
	return with
}

// hasRequestWith reports whether a request had all members.
func (c *crash) hasRequestWith(members []uint64) bool { return c.requestsWith(members) != nil }

// common returns the elements of a that are in b too.
func common(a, b []uint64) []uint64 {
	var both []uint64
	for _, element := range a {
		if slices.Contains(b, element) {
			both = append(both, element)
		}
	}
	return both
}

// addCrash adds requests to the record of a crash, which is new unless another process has told of it. It returns the contents of those that
// the record did not have; the caller holds the lock.
func (t *Table) addCrash(run uint64, requests [][]request.Content, at time.Time) []request.Content {
	t.dropOld()
	c := t.crashes[run]
	if c == nil {
		c = &crash{run: run, at: at, contents: map[uint64]uint32{}}
	}
	var added []request.Content
	for _, contents := range requests {
		added = append(added, t.addRequest(c, run, contents)...)
	}
	if len(added) > 0 {
		t.revision++
		c.revision = t.revision
		t.crashes[run] = c
	}
	return added
}

// addRequest adds a request to the record of a crash, without contents that were answered since. It returns its contents, or nothing if the record has
// them; the caller holds the lock.
func (t *Table) addRequest(c *crash, run uint64, contents []request.Content) []request.Content {
	var kept []request.Content
	hashes := make([]uint64, 0, len(contents))
	isNew := false
	for _, content := range contents {
		_, known := c.contents[content.Hash]
		switch {
		case !known && (len(c.contents) >= maxContentsPerCrash || t.answeredSince(content.Hash, c.at) || t.answered.last(content.Hash).After(c.at)), slices.Contains(hashes, content.Hash):
			continue
		case !known:
			c.contents[content.Hash] = content.Rank
			t.mentions[content.Hash] = append(t.mentions[content.Hash], run)
			isNew = true
		}
		kept = append(kept, content)
		hashes = append(hashes, content.Hash)
	}
	if len(hashes) > 1 && len(c.requests) < maxContentsPerCrash && !c.hasRequestWith(hashes) {
		c.requests = append(c.requests, hashes)
		isNew = true
	}
	if !isNew {
		return nil
	}
	return kept
}

// removeCrash removes the record of a crash; the caller holds the lock.
func (t *Table) removeCrash(run uint64) {
	for hash := range t.crashes[run].contents {
		t.mentions[hash] = slices.DeleteFunc(t.mentions[hash], func(r uint64) bool { return r == run })
		if len(t.mentions[hash]) == 0 {
			delete(t.mentions, hash)
		}
	}
	delete(t.crashes, run)
}

// removeSuspect removes a content from the records of all crashes; the caller holds the lock.
func (t *Table) removeSuspect(hash uint64) {
	for _, run := range t.mentions[hash] {
		t.crashes[run].remove(hash)
	}
	delete(t.mentions, hash)
}

// remove removes a content from the record.
func (c *crash) remove(hash uint64) {
	delete(c.contents, hash)
	for i, contents := range c.requests {
		c.requests[i] = slices.DeleteFunc(contents, func(other uint64) bool { return other == hash })
	}
	c.requests = slices.DeleteFunc(c.requests, func(contents []uint64) bool { return len(contents) < 2 })
}

package promptclass

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minDividedHolders is the number of holders from which they are divided. With one of two for short prompts twice as many long ones were late
// in a simulation, and as many streams paused for over 300 ms.
const minDividedHolders = 3

// Count returns how many of a number of holders are for short prompts: the share rounded to the nearest, halves down, but one at least for
// each class. Fewer than minDividedHolders serve both classes.
func (s Share) Count(holders int) int {
	if s == 0 || holders < minDividedHolders {
		return 0
	}
	nearest := (holders*int(s) + sixths/2 - 1) / sixths
	return max(1, min(holders-1, nearest))
}

// Short returns the holders that are for short prompts, by their ids; empty if the holders are not divided. These are the first in an order
// that is the same for each model, so that an engine for the short prompts of one model is likely to be for those of its others, too.
func Short(ids []string, share Share) map[string]bool {
	count := share.Count(len(ids))
	if count == 0 {
		return nil
	}
	type holder struct {
		id   string
		hash uint64
	}
	ordered := make([]holder, 0, len(ids))
	for _, id := range ids {
		ordered = append(ordered, holder{id, xxhash.Sum64String(id)})
	}
	slices.SortFunc(ordered, func(a, b holder) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	short := make(map[string]bool, count)
	for _, h := range ordered[:count] {
		short[h.id] = true
	}
	return short
}

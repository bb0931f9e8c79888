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
	ordered := slices.Clone(ids)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	short := make(map[string]bool, count)
	for _, id := range ordered[:count] {
		short[id] = true
	}
	return short
}

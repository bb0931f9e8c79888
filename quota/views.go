package quota

import (
	"slices"
	"time"

	"gypsumbank/placement"
)

// maxViews bounds the earlier views that are kept.
const maxViews = 32

// Views holds the agents that a gateway has known, over time.
type Views struct {
	views    []view // the last is in force
	revision int
}

// view is the agents that are known from a time on.
type view struct {
	from   time.Time
	agents []string
}

// Update records the agents that are known now.
func (v *Views) Update(agents []string, now time.Time) {
	if n := len(v.views); n > 0 && slices.Equal(v.views[n-1].agents, agents) {
		return
	}
	v.views = append(v.views, view{now, slices.Clone(agents)})
	v.views = v.views[max(0, len(v.views)-maxViews):]
	v.revision++
}

// Restart forgets all but the agents that are known now, as of now: the gateway may have missed changes.
func (v *Views) Restart(now time.Time) {
	if n := len(v.views); n > 0 {
		v.views = []view{{now, v.views[n-1].agents}}
		v.revision++
	}
}

// Revision returns a number that changes with each change of the views.
func (v *Views) Revision() int { return v.revision }

// Keepers returns the keepers of a customer: the agents of the highest ranks for its name.
func (v *Views) Keepers(customer string) []KeeperSince {
	var keepers []KeeperSince
	for i, past := range slices.Backward(v.views) {
		ranked := placement.RankTargets(customer, past.agents)
		ranked = ranked[:min(KeeperCount, len(ranked))]
		if i == len(v.views)-1 {
			for _, address := range ranked {
				keepers = append(keepers, KeeperSince{Address: address})
			}
		}
		lasting := false
		for k := range keepers {
			unbroken := i == len(v.views)-1 || keepers[k].Since.Equal(v.views[i+1].from)
			if unbroken && slices.Contains(ranked, keepers[k].Address) {
				keepers[k].Since, lasting = past.from, true
			}
		}
		if !lasting {
			break
		}
	}
	return keepers
}

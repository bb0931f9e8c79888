package quota

import (
	"time"

	"gypsumbank/route"
)

const (
	// KeeperCount is the number of agents among which a customer's quota is divided.
	KeeperCount = 3
	// grantLifetime is how long a gateway may use a grant. Gateways count it from the time at which they asked, so that a grant ends
	// everywhere within this time of being made.
	grantLifetime = 400 * time.Millisecond
	// viewLag is how long gateways may differ about which agents are keepers.
	viewLag = 3 * time.Second
	// usableShare is the share of the tolerated excess that is used: the rest covers requests that wait between admission and their begin.
	usableShare = 0.6
	// takeoverShare is the share of the excess that may be used while a keeper takes over from another one or from itself before a restart.
	takeoverShare = 0.95
	// burstShare is the share of the tolerated excess by which a bucket exceeds the burst. It also exceeds it by the refill of burstWindows
	// windows: with bursts of three times the usual use for 3 s, customers stay within their quota over a window, but not over 3 s.
	burstShare   = 0.5
	burstWindows = 0.25
	// maxExtraRate bounds the share by which the refill exceeds the rate. A quota allows its rate and one burst in each window, which a customer
	// that goes on above its rate uses in every window.
	maxExtraRate = 0.15
)

// Bounds tell by how much the use in any window may exceed a quota.
type Bounds struct {
	Window  time.Duration
	Overage float64 // share of the quota
	Slack   float64 // tokens on top of that; it does not apply to quotas that count requests
}

// Limit is a customer's quota as one version of the routes has it.
type Limit struct {
	Version      int64 // of the routes; the highest holds
	PerSecond    float64
	Burst        float64
	CountsTokens bool
	Keepers      int // agents among which it is divided
}

// NewLimit returns the limit of a quota that is divided among the given number of agents.
func NewLimit(version int64, quota route.Quota, keepers int) Limit {
	return Limit{Version: version, PerSecond: quota.PerSecond, Burst: quota.Burst, CountsTokens: quota.Unit == route.Tokens, Keepers: keepers}
}

// part is what one keeper owns of a limit.
type part struct {
	rate     float64 // refill per second
	capacity float64 // what the bucket holds at most
	usable   float64 // bound on what is granted in a window and the lifetime of a grant, less what is returned of it
	// debt is the level at which a keeper begins that does not know what was granted before: with it, the grants of before, at most capacity
	// and the refill, and its own are together within the bound.
	debt float64
	// total is the bound on what this keeper and the one before it grant together in a window and the lifetime of a grant.
	total float64
	span  time.Duration // a window and the lifetime of a grant
}

// part returns what each keeper owns of a limit. What begins to run in a window was granted in that window or in the lifetime of a grant
// before it.
func (b Bounds) part(l Limit) part {
	span := (b.Window + grantLifetime).Seconds()
	quota := l.PerSecond*b.Window.Seconds() + l.Burst
	excess := b.Overage * quota
	if l.CountsTokens {
		excess += b.Slack
	}
	usable := quota + usableShare*excess
	n := float64(max(1, l.Keepers))
	p := part{
		rate:     min(quota/b.Window.Seconds(), (1+maxExtraRate)*l.PerSecond, usable/span) / n,
		capacity: (l.Burst + burstShare*excess + burstWindows*b.Window.Seconds()*l.PerSecond) / n,
		usable:   usable / n,
	}
	p.span = b.Window + grantLifetime
	p.total = (quota + takeoverShare*excess) / n
	p.debt = max(0, p.capacity+p.rate*span-p.total)
	return p
}

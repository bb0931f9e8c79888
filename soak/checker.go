package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Answer is what a caller got for a request that it sent once.
type Answer struct {
	ID     string
	Status int    // 0 without an answer
	Body   string // as far as it came
	Whole  bool   // the answer came to its end
	Want   string // the whole body of a served request
}

// Order is an order as an engine has received it.
type Order struct {
	Engine string
	Run    int64
	Fence  int64
	Taken  bool
	Store  bool // a load that the weight store has to serve
	At     time.Time
}

// Limits are the bounds that a check takes from the operators' document.
type Limits struct {
	LoadsPerSecond float64
	LoadWindow     time.Duration
	LoadBurst      float64
	RetryRatio     float64
	RetryExtra     int
}

// Checker collects what was seen; its methods may be called by several goroutines.
type Checker struct {
	limits Limits

	mu       sync.Mutex
	runs     map[string]int // by request
	once     map[string]bool
	asked    int
	looks    map[string]look // the highest version of the routes that a gateway has answered by
	broken   []string
	answered map[int]int // by status
}

// look is an answer by a version of the routes.
type look struct {
	version int
	done    time.Time
}

// New returns a checker that has seen nothing.
func New(limits Limits) *Checker {
	return &Checker{limits: limits, runs: map[string]int{}, once: map[string]bool{}, looks: map[string]look{}, answered: map[int]int{}}
}

// Asked records that a caller sends a request, which may run only once if once is set.
func (c *Checker) Asked(id string, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	c.once[id] = once
}

// Ran records that a target runs a request.
func (c *Checker) Ran(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if c.once[id] && c.runs[id] > 1 {
		c.breaks("request %s ran %d times", id, c.runs[id])
	}
}

// Answered checks an answer.
func (c *Checker) Answered(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[a.Status]++
	switch {
	case a.Status == 503 && c.runs[a.ID] > 0:
		c.breaks("request %s was refused as not run and ran", a.ID)
	case a.Status == 200 && a.Whole && a.Body != a.Want:
		c.breaks("request %s got the whole body %q, want %q", a.ID, a.Body, a.Want)
	case a.Status == 200 && !a.Whole && len(a.Body) <= len(a.Want) && a.Body != a.Want[:len(a.Body)]:
		c.breaks("request %s got %q, which is no beginning of %q", a.ID, a.Body, a.Want)
	}
}

// Looked checks that a gateway's process answers by no older routes than one of its earlier answers did.
func (c *Checker) Looked(process string, version int, sent, done time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := c.looks[process]
	if version < highest.version && highest.done.Before(sent) {
		c.breaks("%s answers by version %d after version %d", process, version, highest.version)
	}
	if version > highest.version {
		c.looks[process] = look{version, done}
	}
}

// Ordered checks the orders that all engines have received.
func (c *Checker) Ordered(orders []Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	type run struct {
		engine string
		number int64
	}
	fences := map[run]int64{}
	var loads []time.Time
	slices.SortStableFunc(orders, func(a, b Order) int { return a.At.Compare(b.At) })
	for _, o := range orders {
		key := run{o.Engine, o.Run}
		if o.Fence < fences[key] {
			c.breaks("engine %s got an order with fencing number %d after %d", o.Engine, o.Fence, fences[key])
		}
		fences[key] = max(fences[key], o.Fence)
		if o.Taken && o.Store {
			loads = append(loads, o.At)
		}
	}
	c.checkLoads(loads)
}

// checkLoads checks the rate of loads from the weight store in each window; the caller holds the lock.
func (c *Checker) checkLoads(loads []time.Time) {
	const extra = 3 // that the platform allows
	most := c.limits.LoadsPerSecond*c.limits.LoadWindow.Seconds()*c.limits.LoadBurst + extra
	for i, first := range loads {
		n := 0
		for _, at := range loads[i:] {
			if at.Sub(first) < c.limits.LoadWindow {
				n++
			}
		}
		if float64(n) > most {
			c.breaks("%d loads from the weight store within %s, more than %.1f", n, c.limits.LoadWindow, most)
			return
		}
	}
}

// Exited checks how a process ended that was told to stop at a time and had grace for it.
func (c *Checker) Exited(process string, err error, took, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.breaks("%s ended with %v", process, err)
	}
	if took > grace {
		c.breaks("%s took %s to stop, more than %s", process, took, grace)
	}
}

// Broken records a promise that was broken by another check.
func (c *Checker) Broken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks(format, args...)
}

func (c *Checker) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// Report returns the broken promises and how many answers each status had.
func (c *Checker) Report() (broken []string, answered map[int]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := 0
	for _, n := range c.runs {
		runs += max(0, n-1)
	}
	broken = slices.Clone(c.broken)
	if most := c.limits.RetryRatio*float64(c.asked) + float64(c.limits.RetryExtra); float64(runs) > most {
		broken = append(broken, fmt.Sprintf("%d retries for %d requests, more than %.0f", runs, c.asked, most))
	}
	return broken, c.answered
}

package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"gypsumbank/completeness"
)

// Response is the outcome of one request as its caller saw it; the caller never sends a request twice.
type Response struct {
	ID       string
	Status   int    // 0 if no response arrived
	Body     string // the part that arrived
	WantBody string // the complete body that a served request has to get

	Completeness completeness.Completeness // as its framing and its end show
	At           time.Time                 // when it had arrived, or the connection had ended
	CallerLeft   bool                      // the caller did not wait for it any longer
}

// IsServed reports whether the caller got all that the request has to get.
func (r Response) IsServed() bool {
	return r.Status == 200 && r.Completeness != completeness.Broken && r.Body == r.WantBody
}

// Order is an order that an engine has received.
type Order struct {
	Engine          string
	Incarnation     int64
	FencingToken    int64
	Accepted        bool
	FromWeightStore bool // the order loads weights that the weight store has to serve
	ReceivedAt      time.Time
}

// Limits holds the limits on weight loads and retries; a test sets them from the settings that operators deploy.
type Limits struct {
	LoadsPerSecond  float64
	LoadWindow      time.Duration
	LoadBurstFactor float64 // factor by which the loads within LoadWindow may exceed LoadsPerSecond
	RetryRatio      float64 // retries allowed for each request
	RetryExtra      int     // retries allowed on top of the ratio
}

// Checker records requests, runs and responses and collects violations of the guarantees. Its methods are safe for
// concurrent use.
type Checker struct {
	limits Limits

	mu            sync.Mutex
	runsByRequest map[string]int  // by request id
	atMostOnce    map[string]bool // by request id
	requestCount  int
	highestRoutes map[string]routesResponse // by process: the first response that used the highest version of the routes
	violations    []string
	statusCounts  map[int]int // responses by HTTP status
	notices       notices
	cuts          cuts
}

// routesResponse is a response that a gateway routed by a version of the routes.
type routesResponse struct {
	version    int
	receivedAt time.Time
}

// New returns a checker without records.
func New(limits Limits) *Checker {
	return &Checker{limits: limits, runsByRequest: map[string]int{}, atMostOnce: map[string]bool{}, highestRoutes: map[string]routesResponse{}, statusCounts: map[int]int{}, notices: newNotices(), cuts: newCuts()}
}

// RecordRequest records that a caller sends a request. With atMostOnce set, a second run of it is a violation.
func (c *Checker) RecordRequest(id string, atMostOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestCount++
	c.atMostOnce[id] = atMostOnce
}

// RecordRun records that a target starts to run a request and checks that a request which may run at most once has no
// second run.
func (c *Checker) RecordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runsByRequest[id]++
	if c.atMostOnce[id] && c.runsByRequest[id] > 1 {
		c.addViolation("request %s ran %d times", id, c.runsByRequest[id])
	}
}

// CheckResponse checks that a request refused with status 503 has not run so far, and that a body with status 200 is the
// expected one, or a prefix of it if the response broke off.
func (c *Checker) CheckResponse(r Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statusCounts[r.Status]++
	switch {
	case r.Status == 503 && c.runsByRequest[r.ID] > 0:
		c.addViolation("request %s got status 503, which means that it did not run, but it ran", r.ID)
	case r.Status == 200 && r.Completeness == completeness.Whole && r.Body != r.WantBody:
		c.addViolation("request %s got a complete response with body %q, want %q", r.ID, r.Body, r.WantBody)
	case r.Status == 200 && !strings.HasPrefix(r.WantBody, r.Body):
		c.addViolation("request %s got body %q, which is not a prefix of %q", r.ID, r.Body, r.WantBody)
	case r.Status == 200 && r.Completeness == completeness.Unproven && r.Body != r.WantBody, r.Status == 0:
		c.cuts.received = append(c.cuts.received, r)
	}
}

// CheckWholeStream checks that a stream that was framed as complete had all of its events, over all its tries.
func (c *Checker) CheckWholeStream(id string, events, want int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if events != want {
		c.addViolation("stream %s is framed as complete after %d of %d events", id, events, want)
	}
}

// CheckStream checks the data of the events that a caller got of a stream, over all its tries: they must be numbered without a gap
// and from one software version.
func (c *Checker) CheckStream(id string, events []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	firstVersion := ""
	for i, event := range events {
		number, version, _ := strings.Cut(event, "-at-")
		if firstVersion == "" {
			firstVersion = version
		}
		if number != fmt.Sprintf("token-%d", i+1) || version != firstVersion {
			c.addViolation("stream %s: event %d is %q, in a stream of version %s", id, i+1, event, firstVersion)
			return
		}
	}
}

// CheckRoutesVersion checks that a gateway process does not return to older routes: a request sent after the response to an
// earlier one arrived must be routed by the same or a newer version. Requests that overlap in time may differ either way.
func (c *Checker) CheckRoutesVersion(process string, version int, sentAt, receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := c.highestRoutes[process]
	if version < highest.version && highest.receivedAt.Before(sentAt) {
		c.addViolation("%s routed a request by version %d of the routes after version %d", process, version, highest.version)
	}
	if version > highest.version {
		c.highestRoutes[process] = routesResponse{version, receivedAt}
	}
}

// CheckOrders checks, over the orders that all engines have received, that fencing tokens never decrease within one
// incarnation of an engine and that loads from the weight store keep to the rate limit. It sorts orders by time.
func (c *Checker) CheckOrders(orders []Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	type incarnation struct {
		engine string
		number int64
	}
	highestTokens := map[incarnation]int64{}
	var loadTimes []time.Time
	slices.SortStableFunc(orders, func(a, b Order) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	for _, o := range orders {
		key := incarnation{o.Engine, o.Incarnation}
		if o.FencingToken < highestTokens[key] {
			c.addViolation("engine %s received an order with fencing token %d after %d", o.Engine, o.FencingToken, highestTokens[key])
		}
		highestTokens[key] = max(highestTokens[key], o.FencingToken)
		if o.Accepted && o.FromWeightStore {
			loadTimes = append(loadTimes, o.ReceivedAt)
		}
	}
	c.checkLoadRate(loadTimes)
}

// checkLoadRate checks the number of loads from the weight store in the window that starts at each load. The caller holds
// c.mu.
func (c *Checker) checkLoadRate(loadTimes []time.Time) {
	const extraLoads = 3 // loads beyond the limit that the platform accepts within a window
	maxLoads := c.limits.LoadsPerSecond*c.limits.LoadWindow.Seconds()*c.limits.LoadBurstFactor + extraLoads
	for i, windowStart := range loadTimes {
		loads := 0
		for _, loadTime := range loadTimes[i:] {
			if loadTime.Sub(windowStart) < c.limits.LoadWindow {
				loads++
			}
		}
		if float64(loads) > maxLoads {
			c.addViolation("%d loads from the weight store within %s, limit %.1f", loads, c.limits.LoadWindow, maxLoads)
			return
		}
	}
}

// CheckExit checks that a process that received SIGTERM exited without an error and within grace.
func (c *Checker) CheckExit(process string, err error, stopDuration, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.addViolation("%s ended with %v", process, err)
	}
	if stopDuration > grace {
		c.addViolation("%s took %s to stop, limit %s", process, stopDuration, grace)
	}
}

// RecordViolation records a violation that a check outside this package has found.
func (c *Checker) RecordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Report checks the number of retries and returns all violations and the number of responses by HTTP status.
func (c *Checker) Report() (violations []string, statusCounts map[int]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	retries := 0
	for _, n := range c.runsByRequest {
		retries += max(0, n-1)
	}
	violations = append(slices.Clone(c.violations), c.notices.violations()...)
	violations = append(violations, c.cuts.violations(&c.notices, c.atMostOnce)...)
	if maxRetries := c.limits.RetryRatio*float64(c.requestCount) + float64(c.limits.RetryExtra); float64(retries) > maxRetries {
		violations = append(violations, fmt.Sprintf("%d retries for %d requests, limit %.0f", retries, c.requestCount, maxRetries))
	}
	return violations, c.statusCounts
}

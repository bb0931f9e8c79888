package soak_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gypsumbank/completeness"
	"gypsumbank/soak"
)

var (
	startTime = time.Unix(1000, 0)
	limits    = soak.Limits{LoadsPerSecond: 1, LoadWindow: 5 * time.Second, LoadBurstFactor: 1.2, RetryRatio: 0.2, RetryExtra: 2}
)

func atMs(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// recordRest records a refusal and a number of requests of the same process within its rest.
func recordRest(c *soak.Checker, requests int) {
	for i := range requests + 1 {
		c.RecordSender(fmt.Sprint(i), "g-1", atMs(0), 3*time.Second)
		arrival := soak.Arrival{RequestID: fmt.Sprint(i), Target: "t", Run: "t/1", At: atMs(i * 600)}
		if i == 0 {
			arrival.Rest = 3 * time.Second
		}
		c.RecordArrival(arrival)
	}
}

// recordCutAnswer records a request that reached a target and of which its caller got a part, with a status of 0 nothing.
func recordCutAnswer(c *soak.Checker, status int) {
	c.RecordSender("a", "g-1", atMs(10), 3*time.Second)
	c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(20)})
	c.CheckResponse(soak.Response{ID: "a", Status: status, Completeness: completeness.Unproven, Body: "for", WantBody: "for a", At: atMs(30)})
}

// TestCheckerReportsEachViolation feeds the checker one violation at a time, and next to each the closest sequence that is
// allowed.
func TestCheckerReportsEachViolation(t *testing.T) {
	storeLoads := func(n int) []soak.Order {
		var orders []soak.Order
		for i := range n {
			orders = append(orders, soak.Order{Engine: fmt.Sprint("e", i), Accepted: true, FromWeightStore: true, ReceivedAt: atMs(i)})
		}
		return orders
	}
	tests := map[string]struct {
		observe       func(c *soak.Checker)
		wantViolation string // substring of the only reported violation; empty if none may be reported
	}{
		"stream of two software versions": {func(c *soak.Checker) { c.CheckStream("a", []string{"token-1-at-v1", "token-2-at-v2"}) }, "stream a: event 2"},
		"stream with a gap":               {func(c *soak.Checker) { c.CheckStream("a", []string{"token-1-at-v1", "token-3-at-v1"}) }, "stream a: event 2"},
		"stream that breaks off":          {func(c *soak.Checker) { c.CheckStream("a", []string{"token-1-at-v1", "token-2-at-v1"}) }, ""},
		"request to a target that leaves": {func(c *soak.Checker) {
			c.RecordSender("a", "g-1", atMs(0), 3*time.Second)
			c.RecordLeaving("g-1", "t/1", atMs(0))
			c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(2100)})
		}, "request a reached t/1 from g-1 2.1s after"},
		"request to a target that leaves, through another process": {func(c *soak.Checker) {
			c.RecordSender("a", "h-1", atMs(0), 3*time.Second)
			c.RecordLeaving("g-1", "t/1", atMs(0))
			c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(2100)})
		}, ""},
		"request to a target that leaves, after a freeze": {func(c *soak.Checker) {
			c.RecordSender("a", "g-1", atMs(0), 3*time.Second)
			c.RecordLeaving("g-1", "t/1", atMs(0))
			c.RecordDisturbance("g", atMs(100), atMs(1500))
			c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(2100)})
		}, ""},
		"stream framed as complete too early": {func(c *soak.Checker) { c.CheckWholeStream("a", 2, 3) }, "stream a is framed as complete after 2 of 3 events"},
		"answer that its target cut in order": {func(c *soak.Checker) {
			c.RecordCut("a", true)
			recordCutAnswer(c, 200)
		}, ""},
		"answer that its target reset seems to end in order": {func(c *soak.Checker) {
			c.RecordCut("a", false)
			recordCutAnswer(c, 200)
		}, `request a got body "for", which seems to end in order`},
		"answer that a link cut": {func(c *soak.Checker) {
			c.RecordDisturbance("t", atMs(0), atMs(2))
			recordCutAnswer(c, 200)
		}, ""},
		"no answer from a process that stops": {func(c *soak.Checker) {
			c.RecordStop("g-1", atMs(0), 4*time.Second)
			recordCutAnswer(c, 0)
		}, "request a got no answer as g-1 stopped"},
		"no answer from a process that stops, as its target broke off": {func(c *soak.Checker) {
			c.RecordStop("g-1", atMs(0), 4*time.Second)
			c.RecordCut("a", false)
			recordCutAnswer(c, 0)
		}, ""},
		"no answer from a process that was killed while it stopped": {func(c *soak.Checker) {
			c.RecordStop("g-1", atMs(0), 4*time.Second)
			c.RecordDisturbance("g", atMs(1), atMs(2))
			recordCutAnswer(c, 0)
		}, ""},
		"request passed on late in the grace": {func(c *soak.Checker) {
			c.RecordRequest("a", true)
			c.RecordStop("g-1", atMs(0), 4*time.Second)
			c.RecordSender("a", "g-1", atMs(1400), 3*time.Second)
			c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(1410)})
		}, "request a reached t from g-1, sent 1.4s after the signal to stop"},
		"repeatable request passed on late in the grace": {func(c *soak.Checker) {
			c.RecordRequest("a", false)
			c.RecordStop("g-1", atMs(0), 4*time.Second)
			c.RecordSender("a", "g-1", atMs(1400), 3*time.Second)
			c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(1410)})
		}, ""},
		"request read and not answered":                  {func(c *soak.Checker) { recordUnanswered(c, true, false) }, "request a got no answer, but g-1 had read it"},
		"request neither read nor answered":              {func(c *soak.Checker) { recordUnanswered(c, false, false) }, ""},
		"request read and not answered, its caller left": {func(c *soak.Checker) { recordUnanswered(c, true, true) }, ""},
		"request read and not answered, its target broke off": {func(c *soak.Checker) {
			c.RecordCut("a", false)
			recordUnanswered(c, true, false)
		}, ""},
		"request read and not answered, its target disturbed": {func(c *soak.Checker) {
			c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(5)})
			c.RecordDisturbance("t", atMs(5), atMs(6))
			recordUnanswered(c, true, false)
		}, ""},
		"request read and not answered, its target calm": {func(c *soak.Checker) {
			c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(5)})
			recordUnanswered(c, true, false)
		}, "request a got no answer, but g-1 had read it"},
		"request read and not answered, its process killed": {func(c *soak.Checker) {
			c.RecordDisturbance("g", atMs(5), atMs(6))
			recordUnanswered(c, true, false)
		}, ""},
		"request passed on early in the grace": {func(c *soak.Checker) {
			c.RecordRequest("a", true)
			c.RecordStop("g-1", atMs(0), 4*time.Second)
			c.RecordSender("a", "g-1", atMs(900), 3*time.Second)
			c.RecordArrival(soak.Arrival{RequestID: "a", Target: "t", Run: "t/1", At: atMs(1910)})
		}, ""},
		"three requests within a rest": {func(c *soak.Checker) { recordRest(c, 3) }, "t/1 got 3 requests from g-1 within a rest of 3s"},
		"two requests within a rest":   {func(c *soak.Checker) { recordRest(c, 2) }, ""},
		"a request that ends targets": {func(c *soak.Checker) {
			c.RecordSender("a", "g-1", atMs(0), 3*time.Second)
			for i := range 7 {
				c.RecordEnd("content", "a", atMs(i/3*3100))
			}
		}, "7 targets ended under content, 4 of them late"},
		"a request that ends targets is stopped in time": {func(c *soak.Checker) {
			c.RecordSender("a", "g-1", atMs(0), 3*time.Second)
			for i := range 9 {
				c.RecordEnd("content", "a", atMs(i*360))
			}
		}, ""},
		"at-most-once request run twice": {func(c *soak.Checker) { c.RecordRequest("a", true); c.RecordRun("a"); c.RecordRun("a") }, "request a ran 2 times"},
		"repeatable request run twice":   {func(c *soak.Checker) { c.RecordRequest("a", false); c.RecordRun("a"); c.RecordRun("a") }, ""},
		"request refused with status 503 but run": {func(c *soak.Checker) {
			c.RecordRequest("a", true)
			c.RecordRun("a")
			c.CheckResponse(soak.Response{ID: "a", Status: 503})
		}, "got status 503, which means that it did not run, but it ran"},
		"request refused with status 503 and not run": {func(c *soak.Checker) {
			c.RecordRequest("a", true)
			c.CheckResponse(soak.Response{ID: "a", Status: 503})
		}, ""},
		"request run and answered with status 502": {func(c *soak.Checker) {
			c.RecordRequest("a", true)
			c.RecordRun("a")
			c.CheckResponse(soak.Response{ID: "a", Status: 502})
		}, ""},
		"response of another request": {func(c *soak.Checker) {
			c.CheckResponse(soak.Response{ID: "a", Status: 200, Completeness: completeness.Whole, Body: "for b", WantBody: "for a"})
		}, "complete response with body"},
		"truncated response reported as complete": {func(c *soak.Checker) {
			c.CheckResponse(soak.Response{ID: "a", Status: 200, Completeness: completeness.Whole, Body: "for", WantBody: "for a"})
		}, "complete response with body"},
		"partial response": {func(c *soak.Checker) {
			c.CheckResponse(soak.Response{ID: "a", Status: 200, Body: "for", WantBody: "for a"})
		}, ""},
		"partial response with a missing byte": {func(c *soak.Checker) {
			c.CheckResponse(soak.Response{ID: "a", Status: 200, Body: "foa", WantBody: "for a"})
		}, "not a prefix"},
		"return to older routes": {func(c *soak.Checker) {
			c.CheckRoutesVersion("g", 2, atMs(0), atMs(1))
			c.CheckRoutesVersion("g", 1, atMs(2), atMs(3))
		}, "version 1 of the routes after version 2"},
		"older routes in an overlapping request": {func(c *soak.Checker) {
			c.CheckRoutesVersion("g", 2, atMs(0), atMs(5))
			c.CheckRoutesVersion("g", 1, atMs(2), atMs(3))
		}, ""},
		"older routes in another process": {func(c *soak.Checker) {
			c.CheckRoutesVersion("g", 2, atMs(0), atMs(1))
			c.CheckRoutesVersion("h", 1, atMs(2), atMs(3))
		}, ""},
		"decreasing fencing token": {func(c *soak.Checker) {
			c.CheckOrders([]soak.Order{{Engine: "e", FencingToken: 2, ReceivedAt: atMs(0)}, {Engine: "e", FencingToken: 1, ReceivedAt: atMs(1)}})
		}, "fencing token 1 after 2"},
		"lower fencing token in another incarnation": {func(c *soak.Checker) {
			c.CheckOrders([]soak.Order{{Engine: "e", FencingToken: 2, ReceivedAt: atMs(0)}, {Engine: "e", Incarnation: 1, FencingToken: 1, ReceivedAt: atMs(1)}})
		}, ""},
		"loads above the rate limit":     {func(c *soak.Checker) { c.CheckOrders(storeLoads(10)) }, "loads from the weight store"},
		"loads within the allowed burst": {func(c *soak.Checker) { c.CheckOrders(storeLoads(9)) }, ""},
		"too many retries": {func(c *soak.Checker) {
			for i := range 10 {
				id := fmt.Sprint(i)
				c.RecordRequest(id, false)
				c.RecordRun(id)
				c.RecordRun(id)
			}
		}, "10 retries for 10 requests"},
		"exit with an error":   {func(c *soak.Checker) { c.CheckExit("g", errors.New("exit 1"), 0, time.Second) }, "exit 1"},
		"exit after the grace": {func(c *soak.Checker) { c.CheckExit("g", nil, 2*time.Second, time.Second) }, "took 2s to stop"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := soak.New(limits)
			test.observe(c)
			violations, _ := c.Report()
			switch {
			case test.wantViolation == "" && len(violations) > 0:
				t.Errorf("reported %v, want no violation", violations)
			case test.wantViolation != "" && (len(violations) != 1 || !strings.Contains(violations[0], test.wantViolation)):
				t.Errorf("reported %v, want one violation that contains %q", violations, test.wantViolation)
			}
		})
	}
}

// recordUnanswered records a request without an answer, which its process has read or not.
func recordUnanswered(c *soak.Checker, read, callerLeft bool) {
	c.RecordRequest("a", false)
	c.RecordSender("a", "g-1", atMs(0), 3*time.Second)
	c.CheckResponse(soak.Response{ID: "a", At: atMs(10), CallerLeft: callerLeft})
	c.CheckUnanswered(func(process, requestID string) bool { return read && process == "g-1" && requestID == "a" })
}

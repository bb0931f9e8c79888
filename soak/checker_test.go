package soak_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gypsumbank/soak"
)

var (
	start  = time.Unix(1000, 0)
	limits = soak.Limits{LoadsPerSecond: 1, LoadWindow: 5 * time.Second, LoadBurst: 1.2, RetryRatio: 0.2, RetryExtra: 2}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestEachFaultIsFound puts in one fault at a time, and what is allowed beside it.
func TestEachFaultIsFound(t *testing.T) {
	loads := func(n int) []soak.Order {
		var orders []soak.Order
		for i := range n {
			orders = append(orders, soak.Order{Engine: fmt.Sprint("e", i), Taken: true, Store: true, At: at(i)})
		}
		return orders
	}
	tests := map[string]struct {
		see  func(c *soak.Checker)
		want string // part of what is reported; nothing is broken if empty
	}{
		"run twice":            {func(c *soak.Checker) { c.Asked("a", true); c.Ran("a"); c.Ran("a") }, "request a ran 2 times"},
		"repeatable run twice": {func(c *soak.Checker) { c.Asked("a", false); c.Ran("a"); c.Ran("a") }, ""},
		"refused and run":      {func(c *soak.Checker) { c.Asked("a", true); c.Ran("a"); c.Answered(soak.Answer{ID: "a", Status: 503}) }, "refused as not run and ran"},
		"refused, not run":     {func(c *soak.Checker) { c.Asked("a", true); c.Answered(soak.Answer{ID: "a", Status: 503}) }, ""},
		"lost and run":         {func(c *soak.Checker) { c.Asked("a", true); c.Ran("a"); c.Answered(soak.Answer{ID: "a", Status: 502}) }, ""},
		"another's answer": {func(c *soak.Checker) {
			c.Answered(soak.Answer{ID: "a", Status: 200, Whole: true, Body: "for b", Want: "for a"})
		}, "whole body"},
		"short answer that looks whole": {func(c *soak.Checker) {
			c.Answered(soak.Answer{ID: "a", Status: 200, Whole: true, Body: "for", Want: "for a"})
		}, "whole body"},
		"cut answer":                     {func(c *soak.Checker) { c.Answered(soak.Answer{ID: "a", Status: 200, Body: "for", Want: "for a"}) }, ""},
		"cut answer with a gap":          {func(c *soak.Checker) { c.Answered(soak.Answer{ID: "a", Status: 200, Body: "foa", Want: "for a"}) }, "no beginning"},
		"routes go back":                 {func(c *soak.Checker) { c.Looked("g", 2, at(0), at(1)); c.Looked("g", 1, at(2), at(3)) }, "version 1 after version 2"},
		"routes of answers that overlap": {func(c *soak.Checker) { c.Looked("g", 2, at(0), at(5)); c.Looked("g", 1, at(2), at(3)) }, ""},
		"routes of another process":      {func(c *soak.Checker) { c.Looked("g", 2, at(0), at(1)); c.Looked("h", 1, at(2), at(3)) }, ""},
		"old fencing number": {func(c *soak.Checker) {
			c.Ordered([]soak.Order{{Engine: "e", Fence: 2, At: at(0)}, {Engine: "e", Fence: 1, At: at(1)}})
		}, "fencing number 1 after 2"},
		"fencing numbers of another run": {func(c *soak.Checker) {
			c.Ordered([]soak.Order{{Engine: "e", Fence: 2, At: at(0)}, {Engine: "e", Run: 1, Fence: 1, At: at(1)}})
		}, ""},
		"loads too fast":     {func(c *soak.Checker) { c.Ordered(loads(10)) }, "loads from the weight store"},
		"loads in the burst": {func(c *soak.Checker) { c.Ordered(loads(9)) }, ""},
		"too many retries": {func(c *soak.Checker) {
			for i := range 10 {
				id := fmt.Sprint(i)
				c.Asked(id, false)
				c.Ran(id)
				c.Ran(id)
			}
		}, "10 retries for 10 requests"},
		"exit with an error": {func(c *soak.Checker) { c.Exited("g", errors.New("exit 1"), 0, time.Second) }, "exit 1"},
		"slow exit":          {func(c *soak.Checker) { c.Exited("g", nil, 2*time.Second, time.Second) }, "took 2s to stop"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := soak.New(limits)
			test.see(c)
			broken, _ := c.Report()
			switch {
			case test.want == "" && len(broken) > 0:
				t.Errorf("reported %v", broken)
			case test.want != "" && (len(broken) != 1 || !strings.Contains(broken[0], test.want)):
				t.Errorf("reported %v, want %q", broken, test.want)
			}
		})
	}
}

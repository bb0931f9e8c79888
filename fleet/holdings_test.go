package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/registry"
	"gypsumbank/route"
)

// TestHoldingsOnlyMoveOn has an engine change what it holds with each order. Its agent reports, or is silent; a report of an earlier connection
// arrives late. The registry lists the engine with what it held when it last wrote its entry and, as agents relay the list, without.
// What the gateway believes it to hold must not go back.
func TestHoldingsOnlyMoveOn(t *testing.T) {
	const (
		entryLifetime     = 3600 * time.Millisecond // after which the store removes an entry that is not written again
		connectionTimeout = 1500 * time.Millisecond // after which a silent connection to an agent is closed
	)
	rapid.Check(t, func(t *rapid.T) {
		f := New("a")
		f.SetServices(map[string]route.Service{"llm": {Name: "llm", Engine: &route.Engine{}}})
		now, writtenAt, reportedAt := start, start, time.Time{}
		orders, written, reported := 0, 0, 0 // accepted so far, as the registry's entry shows, and as the last report did
		models := func(orders int) []registry.Model { return []registry.Model{{Name: fmt.Sprintf("m%04d", orders)}} }
		entry := func(models []registry.Model) []registry.Target {
			return []registry.Target{{ID: "e1", Service: "llm", Address: "10.0.0.1:80", AvailabilityZone: "a", Slots: 8, Models: models}}
		}
		report := func(orders int) {
			f.Observe("e1", Observation{Report: registry.Report{Sequence: int64(orders), Models: models(orders)}, Host: "10.0.0.1"}, now)
		}
		f.UpdateTargets(entry(models(0)), false, now)
		newest := ""
		t.Repeat(map[string]func(*rapid.T){
			"the engine accepts an order": func(*rapid.T) { orders++ },
			"the entry is written":        func(*rapid.T) { written, writtenAt = orders, now },
			"the gateway reads the list": func(*rapid.T) {
				if now.Sub(writtenAt) < entryLifetime {
					f.UpdateTargets(entry(models(written)), false, now)
				}
			},
			"an agent relays the list": func(*rapid.T) { f.UpdateTargets(entry(nil), false, now) },
			"the agent reports": func(*rapid.T) {
				reported, reportedAt = orders, now
				report(reported)
			},
			"a report of an earlier connection arrives": func(t *rapid.T) {
				if now.Sub(reportedAt) < connectionTimeout {
					report(rapid.IntRange(0, reported).Draw(t, "orders"))
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				held := f.states["e1"].held(now)
				if len(held) != 1 || held[0].Name < newest {
					t.Fatalf("the engine is believed to hold %v after %s", held, newest)
				}
				newest = held[0].Name
			},
		})
	})
}

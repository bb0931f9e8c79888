package fleet

import (
	"maps"
	"testing"

	"gypsumbank/registry"
	"gypsumbank/route"
)

// relist replaces the models that a fleet's service lists.
func relist(f *Fleet, change func(models map[string]route.Model)) {
	engine := *f.services[service].Engine
	engine.Models = maps.Clone(engine.Models)
	change(engine.Models)
	f.SetServices(map[string]route.Service{service: {Name: service, Engine: &engine}})
}

// TestHeldModelsTakeRoomWhateverTheRoutesListNow guards against loads that are planned beyond the memory of an engine, since what it holds
// counts as nothing, or as less than it is, once a version of the routes lists it no more or with another size. A retired model goes
// first.
func TestHeldModelsTakeRoomWhateverTheRoutesListNow(t *testing.T) {
	resize := func(name string, weightMB float64) func(map[string]route.Model) {
		return func(models map[string]route.Model) {
			m := models[name]
			m.WeightMB = weightMB
			models[name] = m
		}
	}
	cases := map[string]struct {
		held      []string
		change    func(models map[string]route.Model)
		restarted bool // the gateway, after the change
		wantEvict string
		wantNone  bool
	}{
		"nothing changes, there is room":       {[]string{"x1", "x2"}, resize("x1", 70), false, "", false},
		"a held model is retired":              {[]string{"x1", "x2", "old"}, func(m map[string]route.Model) { delete(m, "old") }, false, "old", false},
		"a held model is retired, room enough": {[]string{"x1", "old"}, func(m map[string]route.Model) { delete(m, "old") }, false, "", false},
		"a retired model, after a start":       {[]string{"x1", "x2", "old"}, func(m map[string]route.Model) { delete(m, "old") }, true, "old", false},
		"a retired model and room, by a guess": {[]string{"x1", "old"}, func(m map[string]route.Model) { delete(m, "old") }, true, "old", false},
		"a held model shrinks":                 {[]string{"x1", "x2", "x3"}, resize("x3", 1), false, "x1", false},
		"a held model grows":                   {[]string{"x1", "x2"}, resize("x2", 140), false, "x1", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(c.held)
			for _, only := range c.held {
				if only != "x1" && only != "old" { // so that x1 is the first choice among those that are listed
					f.RecordDemand(service, shortRequest(only), start)
				}
			}
			if c.restarted {
				targets := f.Targets()
				relist(f, c.change)
				services := f.services
				f = New("a")
				f.SetServices(services)
				f.UpdateTargets(targets, false, start)
				f.Observe("e0", newObservation(registry.Report{Born: 1, Models: targets[0].Models}), start)
			} else {
				relist(f, c.change)
			}
			f.RecordDemand(service, shortRequest("new"), start)
			placement, ok := f.Plan(service, start)
			if ok == c.wantNone || placement.Evict != c.wantEvict {
				t.Errorf("placement %+v, %v, want one that evicts %q", placement, ok, c.wantEvict)
			}
		})
	}
}

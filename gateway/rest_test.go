package gateway_test

import (
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// TestTargetThatWantsARestGetsNoMore guards against requests to a target that has refused one with the time for which it wants none.
// Targets with room serve them, it gets requests again after its rest, and where all rest, callers are told so at once.
func TestTargetThatWantsARestGetsNoMore(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		service   string
		targets   int
		resting   int
		rest      time.Duration
		storeAway bool
	}{
		"one of four plain":               {service: "plain", targets: 4, resting: 1, rest: 3 * time.Second},
		"one of four engines":             {service: "engine", targets: 4, resting: 1, rest: 3 * time.Second},
		"two of four plain, store away":   {service: "plain", targets: 4, resting: 2, rest: 1500 * time.Millisecond, storeAway: true},
		"two of four engines, store away": {service: "engine", targets: 4, resting: 2, rest: 1500 * time.Millisecond, storeAway: true},
		"all plain":                       {service: "plain", targets: 2, resting: 2, rest: 3 * time.Second},
		"all engines":                     {service: "engine", targets: 2, resting: 2, rest: 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newNoticeDeployment(t, c.service, c.targets)
			d.sendFor(500*time.Millisecond, c.service)
			if c.storeAway {
				d.store.SetFault(site.Down)
			}
			d.takeCounts()
			for _, o := range d.targets[:c.resting] {
				o.set(false, c.rest)
			}
			d.sendFor(6*time.Second, c.service)
			for _, o := range d.targets[:c.resting] {
				if most := o.mostWithinARest(); most > restSendsAllowed {
					t.Errorf("%s: %d requests of one gateway within a rest, %d are allowed", o.id, most, restSendsAllowed)
				}
				o.set(false, 0)
			}
			sent, served, slowest := d.takeCounts()
			if c.resting < c.targets && served*100 < sent*98 {
				t.Errorf("%d of %d requests were served though other targets have room", served, sent)
			}
			if slowest > 2200*time.Millisecond {
				t.Errorf("a caller waited for %s", slowest)
			}
			ended := time.Now()
			d.sendFor(c.rest+time.Second, c.service)
			d.takeCounts()
			d.sendFor(time.Second, c.service)
			if sent, served, _ := d.takeCounts(); served*100 < sent*98 {
				t.Errorf("%d of %d requests were served after the rest", served, sent)
			}
			if first := d.targets[0]; first.refused() > 0 && first.arrivedSince(ended) == 0 {
				t.Error("the preferred target got no request after its rest")
			}
		})
	}
}

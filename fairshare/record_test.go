package fairshare

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestServiceDecays guards against service that is held against a customer for good, and against a claim that grows with the time for
// which a customer is idle: all that an idle customer gains is bounded by what a busy one has recorded.
func TestServiceDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	for range 600 {
		r.Add(1, 100*time.Millisecond, now)
		now = now.Add(100 * time.Millisecond)
	}
	if busy := r.Service(1, now); busy > DecayTime || busy < DecayTime*9/10 {
		t.Errorf("%s recorded of a customer that kept the engine busy for a minute, want up to %s", busy, DecayTime)
	}
	if idle := r.Service(2, now); idle != 0 {
		t.Errorf("%s recorded of an idle customer, want none and no credit", idle)
	}
	if left := r.Service(1, now.Add(4*DecayTime)); left > DecayTime/50 {
		t.Errorf("%s recorded of a customer that has been idle for %s", left, 4*DecayTime)
	}
	if later, earlier := r.Service(1, now), r.Service(1, now.Add(-time.Hour)); earlier > later+200*time.Millisecond {
		t.Errorf("%s recorded after the clock was set back, %s before", earlier, later)
	}
}

// TestReturnedServiceLeavesNothing guards against customers that are charged for turns which they have not used, and against credit
// from service that is returned after it has decayed.
func TestReturnedServiceLeavesNothing(t *testing.T) {
	granted := time.Unix(1000, 0)
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 10 * time.Second} {
		r := New()
		r.Add(1, time.Second, granted)
		r.Add(2, time.Second, granted)
		r.Return(1, time.Second, granted, granted.Add(after))
		if left := r.Service(1, granted.Add(after)); left != 0 || r.Len() != 1 {
			t.Errorf("%s left after all was returned %s later, %d customers recorded", left, after, r.Len())
		}
	}
}

// TestSmallServiceAddsUp guards against a customer of many short prompts, or of a large weight, that is never charged as each grant is below what
// counts as service.
func TestSmallServiceAddsUp(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	const each = negligible / 2
	for range 1000 {
		r.Add(1, each, now)
	}
	if service := r.Service(1, now); service != 1000*each {
		t.Errorf("%s recorded of 1000 grants of %s at one time, want all", service, each)
	}
}

// TestCustomersAreBounded guards against a record that grows with the names in requests, and against one that forgets the busiest
// customer for them.
func TestCustomersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Add(1, 3*time.Second, now)
	for i := range Customer(10 * MaxCustomers) {
		r.Add(2+i, 50*time.Millisecond, now)
		if r.Len() > MaxCustomers {
			t.Fatalf("%d customers recorded, want at most %d", r.Len(), MaxCustomers)
		}
	}
	if service := r.Service(1, now); service != 3*time.Second {
		t.Errorf("%s recorded of the busiest customer, want 3s", service)
	}
}

// TestServiceIsNeitherLostNorMadeUp adds and returns service of several customers in any order. What is recorded must lie between nothing
// and what was granted.
func TestServiceIsNeitherLostNorMadeUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type grant struct {
			customer Customer
			service  time.Duration
			at       time.Time
		}
		r, now := New(), time.Unix(1000, 0)
		var grants []grant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			if len(grants) > 0 && rapid.Bool().Draw(t, "returns") {
				i := rapid.IntRange(0, len(grants)-1).Draw(t, "grant")
				r.Return(grants[i].customer, grants[i].service, grants[i].at, now)
				grants = append(grants[:i], grants[i+1:]...)
			} else {
				g := grant{Customer(rapid.IntRange(0, 4).Draw(t, "customer")), time.Duration(rapid.IntRange(1, 1000).Draw(t, "service")) * time.Millisecond, now}
				r.Add(g.customer, g.service, now)
				grants = append(grants, g)
			}
			for c := range Customer(5) {
				want := 0.0
				for _, g := range grants {
					if g.customer == c {
						want += float64(g.service) * decay(now.Sub(g.at))
					}
				}
				// Amounts below negligible are dropped, once for each step at most.
				if got := float64(r.Service(c, now)); got < 0 || got > want+float64(60*negligible) || got < want-float64(60*negligible) {
					t.Fatalf("customer %d: %.0f ns recorded, want %.0f", c, got, want)
				}
			}
		}
	})
}

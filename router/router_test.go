package router_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumbank/allowance"
	"gypsumbank/roster"
	"gypsumbank/router"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

// newRouter returns a router over targets of which every tenth holds the model. Each ten targets in turn are in zone z0
// or z1.
func newRouter(t testing.TB, targets int, config router.Config) (*router.Router, *allowance.List) {
	t.Helper()
	list, err := allowance.New("allowances", []byte("version = 0\n[model m]\nmemory-mib = 10\n"))
	if err != nil {
		t.Fatal(err)
	}
	vms := roster.New()
	var listed []vmlist.VM
	for i := range targets {
		listed = append(listed, vmlist.VM{Name: fmt.Sprintf("t%04d", i), AvailabilityZone: fmt.Sprint("z", i/10%2), Role: vmlist.RoleModel})
	}
	vms.Update(listed)
	r := router.New(config, vms)
	for i, vm := range listed {
		hint := &wire.Hint{Slots: 16, TargetUp: true, MemoryBytes: 1 << 30}
		if i%10 == 0 {
			hint.Resident = []string{"m"}
		}
		r.ObserveHint(vm.Name, hint)
	}
	return r, list
}

func recordGaps(r *router.Router, name string, gap time.Duration) {
	for range 30 {
		r.ObserveTokenGap(name, gap)
	}
}

func TestPick(t *testing.T) {
	costConfig := router.Config{Zone: "z0", Policy: router.Cost, AvoidSlow: true}
	tests := map[string]struct {
		zone         string
		setUp        func(r *router.Router)
		tried        map[string]bool
		holdersFull  bool
		wantTarget   string
		wantMayLoad  bool
		wantNoTarget bool
	}{
		"prefers the holder in the entry's zone z0": {
			setUp:      func(*router.Router) {},
			wantTarget: "t0000",
		},
		"prefers the holder in the entry's zone z1": {
			zone:       "z1",
			setUp:      func(*router.Router) {},
			wantTarget: "t0010",
		},
		"allows a load when no holder is left": {
			setUp:       func(*router.Router) {},
			tried:       map[string]bool{"t0000": true, "t0010": true},
			wantMayLoad: true,
		},
		"prefers the holder with less load": {
			setUp: func(r *router.Router) {
				for range 8 {
					r.BeginAttempt("t0000")
				}
			},
			wantTarget: "t0010",
		},
		"avoids a slow holder": {
			setUp: func(r *router.Router) {
				recordGaps(r, "t0000", 60*time.Millisecond)
				recordGaps(r, "t0010", 20*time.Millisecond)
				recordGaps(r, "t0001", 20*time.Millisecond)
			},
			wantTarget: "t0010",
		},
		"skips a holder that was tried": {
			setUp:      func(*router.Router) {},
			tried:      map[string]bool{"t0000": true},
			wantTarget: "t0010",
		},
		"avoids an unreachable holder": {
			setUp:      func(r *router.Router) { r.MarkUnreachable("t0000") },
			wantTarget: "t0010",
		},
		"allows no load while holders are full": {
			setUp:        func(*router.Router) {},
			tried:        map[string]bool{"t0000": true, "t0010": true},
			holdersFull:  true,
			wantNoTarget: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			config := costConfig
			if test.zone != "" {
				config.Zone = test.zone
			}
			r, list := newRouter(t, 20, config)
			test.setUp(r)
			choice, err := r.Pick(list, router.Request{Model: "m"}, test.tried, test.holdersFull)
			if test.wantNoTarget != (err != nil) {
				t.Fatalf("unexpected outcome of Pick: error %v", err)
			}
			wrongTarget := test.wantTarget != "" && choice.VM.Name != test.wantTarget
			if !test.wantNoTarget && (wrongTarget || choice.MayLoad != test.wantMayLoad) {
				t.Errorf("got choice %+v, want target %s", choice, test.wantTarget)
			}
		})
	}
}

func TestSlownessFallsWhenTargetRecovers(t *testing.T) {
	r, _ := newRouter(t, 20, router.Config{Zone: "z0", Policy: router.Cost, AvoidSlow: true})
	recordGaps(r, "t0010", 20*time.Millisecond)
	recordGaps(r, "t0001", 20*time.Millisecond)
	recordGaps(r, "t0000", 60*time.Millisecond)
	if slowness := r.Slowness("t0000"); slowness < router.SlownessThreshold {
		t.Fatalf("slowness %g of a target with three times the token gap of the others is below the threshold", slowness)
	}
	recordGaps(r, "t0000", 20*time.Millisecond)
	recordGaps(r, "t0000", 20*time.Millisecond)
	time.Sleep(150 * time.Millisecond)
	if slowness := r.Slowness("t0000"); slowness > router.SlownessThreshold {
		t.Errorf("slowness is still %g after the target became as fast as the others", slowness)
	}
}

// BenchmarkCapacityPick measures the time to choose a target for various numbers of targets.
func BenchmarkCapacityPick(b *testing.B) {
	for _, targets := range []int{100, 200, 425, 850, 1700} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r, list := newRouter(b, targets, router.Config{Zone: "z0", Policy: router.Cost, AvoidSlow: true})
			for i := range targets {
				recordGaps(r, fmt.Sprintf("t%04d", i), 20*time.Millisecond)
			}
			for b.Loop() {
				if _, err := r.Pick(list, router.Request{Model: "m"}, nil, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

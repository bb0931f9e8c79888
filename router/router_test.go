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

// pool returns a router over targets of which every tenth holds the model; the first ten are in z0, the next in z1.
func pool(t testing.TB, targets int, config router.Config) (*router.Router, *allowance.List) {
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

func pace(r *router.Router, name string, gap time.Duration) {
	for range 30 {
		r.ObserveTokenGap(name, gap)
	}
}

func TestPick(t *testing.T) {
	ours := router.Config{Zone: "z0", Policy: router.Cost, AvoidSlow: true}
	tests := map[string]struct {
		zone    string
		prepare func(r *router.Router)
		tried   map[string]bool
		full    bool
		want    string
		mayLoad bool
		none    bool
	}{
		"the holder in the zone": {
			prepare: func(*router.Router) {},
			want:    "t0000",
		},
		"the holder in the other zone": {
			zone:    "z1",
			prepare: func(*router.Router) {},
			want:    "t0010",
		},
		"a target without the model, which may load it": {
			prepare: func(*router.Router) {},
			tried:   map[string]bool{"t0000": true, "t0010": true},
			mayLoad: true,
		},
		"the holder with less load": {
			prepare: func(r *router.Router) {
				for range 8 {
					r.BeginAttempt("t0000")
				}
			},
			want: "t0010",
		},
		"not a slow holder": {
			prepare: func(r *router.Router) {
				pace(r, "t0000", 60*time.Millisecond)
				pace(r, "t0010", 20*time.Millisecond)
				pace(r, "t0001", 20*time.Millisecond)
			},
			want: "t0010",
		},
		"not a holder that was tried": {
			prepare: func(*router.Router) {},
			tried:   map[string]bool{"t0000": true},
			want:    "t0010",
		},
		"not a holder that cannot be reached": {
			prepare: func(r *router.Router) { r.MarkUnreachable("t0000") },
			want:    "t0010",
		},
		"no load while holders are full": {
			prepare: func(*router.Router) {},
			tried:   map[string]bool{"t0000": true, "t0010": true},
			full:    true,
			none:    true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			config := ours
			if test.zone != "" {
				config.Zone = test.zone
			}
			r, list := pool(t, 20, config)
			test.prepare(r)
			choice, err := r.Pick(list, router.Request{Model: "m"}, test.tried, test.full)
			if test.none != (err != nil) {
				t.Fatalf("error %v", err)
			}
			wrong := test.want != "" && choice.VM.Name != test.want
			if !test.none && (wrong || choice.MayLoad != test.mayLoad) {
				t.Errorf("%+v, want %s", choice, test.want)
			}
		})
	}
}

func TestSlowTargetsGetWorkAgain(t *testing.T) {
	r, _ := pool(t, 20, router.Config{Zone: "z0", Policy: router.Cost, AvoidSlow: true})
	pace(r, "t0010", 20*time.Millisecond)
	pace(r, "t0001", 20*time.Millisecond)
	pace(r, "t0000", 60*time.Millisecond)
	if slow := r.Slowness("t0000"); slow < router.SlownessThreshold {
		t.Fatalf("slowness %g", slow)
	}
	pace(r, "t0000", 20*time.Millisecond)
	pace(r, "t0000", 20*time.Millisecond)
	time.Sleep(150 * time.Millisecond)
	if slow := r.Slowness("t0000"); slow > router.SlownessThreshold {
		t.Errorf("slowness %g after it is as fast as the others again", slow)
	}
}

// BenchmarkCapacityPick measures the choice of a target over their number.
func BenchmarkCapacityPick(b *testing.B) {
	for _, targets := range []int{100, 200, 425, 850, 1700} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r, list := pool(b, targets, router.Config{Zone: "z0", Policy: router.Cost, AvoidSlow: true})
			for i := range targets {
				pace(r, fmt.Sprintf("t%04d", i), 20*time.Millisecond)
			}
			for b.Loop() {
				if _, err := r.Pick(list, router.Request{Model: "m"}, nil, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

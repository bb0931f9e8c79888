package idempotency

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"gypsumbank/service"
	"gypsumbank/settings"
	"gypsumbank/standin/fault"
	standin "gypsumbank/standin/table"
	"gypsumbank/table"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
)

const tableTimeout = 30 * time.Millisecond

// fleet is the replicas of one service before one table, in a time that the test moves.
type fleet struct {
	server  *standin.Server
	address string
	now     time.Time
	listed  map[string]bool
	alive   map[string]*replica
	next    uint64
	runs    map[string]int
}

// replica is one incarnation with the calls that it was allowed to run and has not run yet.
type replica struct {
	registry *Registry
	held     map[string]Run
}

func newFleet(t interface{ Fatal(...any) }) *fleet {
	f := &fleet{
		server: standin.New(1e6, 1e6, 1),
		now:    time.Unix(1_700_000_000, 0),
		listed: map[string]bool{},
		alive:  map[string]*replica{},
		runs:   map[string]int{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.server.Start(listener)
	f.address = listener.Addr().String()
	return f
}

func (f *fleet) start(name string) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f.next++
	config := settings.Sidecar{Service: "ledger", KeyRetention: time.Hour, OpaqueRetryWindow: 15 * time.Minute}
	r := New(table.New(f.address, tableTimeout), config, name, f.next, f.vms, timeline.New(16, time.Now), logrus.NewEntry(logger))
	r.now = func() time.Time { return f.now }
	f.alive[name] = &replica{registry: r, held: map[string]Run{}}
	f.listed[name] = true
}

func (f *fleet) vms() []vmlist.VM {
	var vms []vmlist.VM
	for name, listed := range f.listed {
		if listed {
			vms = append(vms, vmlist.VM{Name: name, Role: vmlist.RoleService, Service: "ledger"})
		}
	}
	return vms
}

// tick moves time on by half a second and lets every replica do what it does at such intervals.
func (f *fleet) tick(times int) {
	for range times {
		f.now = f.now.Add(tickInterval)
		for _, r := range f.alive {
			r.registry.tick(context.Background())
		}
	}
}

func (f *fleet) key(id string) Key { return NewKey("customer", id) }

// begin sends a call to a replica and keeps it, if it may run, for run to carry out.
func (f *fleet) begin(name, id string) Decision {
	r, ok := f.alive[name]
	if !ok {
		return NotReady{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*tableTimeout)
	defer cancel()
	decision := r.registry.Begin(ctx, f.key(id), 1)
	if run, ok := decision.(Run); ok {
		r.held[id] = run
	}
	return decision
}

// deliver sends a call to every replica, as an entry that looks for the owner does, and returns the one that may run it.
func (f *fleet) deliver(id string) (string, bool) {
	for _, name := range []string{"a", "b"} {
		if _, ok := f.begin(name, id).(Run); ok {
			return name, true
		}
	}
	return "", false
}

func (f *fleet) run(name, id string, err error) {
	r := f.alive[name]
	run, ok := r.held[id]
	if !ok {
		return
	}
	if !errors.Is(err, service.ErrNotSent) {
		f.runs[id]++
	}
	delete(r.held, id)
	r.registry.Finish(context.Background(), run, service.Answer{Status: 201}, err)
}

// kill ends an incarnation at any point: calls that it was running may have run.
func (f *fleet) kill(name string, ran bool) {
	if r, ok := f.alive[name]; ok && ran {
		for id := range r.held {
			f.runs[id]++
		}
	}
	delete(f.alive, name)
}

func (f *fleet) outage(faults fault.Faults) { f.server.Faults().Put(faults) }

// TestCallsRunAtMostOnce lets replicas die, restart and leave and the table fail or lose answers, while callers send
// every call again through any replica.
func TestCallsRunAtMostOnce(t *testing.T) {
	names := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		defer f.server.Close()
		for _, name := range names {
			f.start(name)
		}
		f.tick(8)
		name := rapid.SampledFrom(names)
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("event-", rapid.IntRange(0, 1).Draw(t, "event")) })
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) { f.deliver(id.Draw(t, "id")) },
			"send and run": func(t *rapid.T) {
				event := id.Draw(t, "id")
				if to, ok := f.deliver(event); ok {
					f.run(to, event, nil)
				}
			},
			"run": func(t *rapid.T) {
				to := name.Draw(t, "to")
				if _, ok := f.alive[to]; ok {
					f.run(to, id.Draw(t, "id"), rapid.SampledFrom([]error{nil, service.ErrNotSent, service.ErrNoAnswer}).Draw(t, "error"))
				}
			},
			"replace": func(t *rapid.T) {
				who := name.Draw(t, "who")
				f.kill(who, rapid.Bool().Draw(t, "ran"))
				f.start(who)
				f.tick(2)
			},
			"long outage": func(*rapid.T) {
				f.outage(fault.Faults{Refuse: true})
				f.tick(int(tablelessAfter/tickInterval) + 4)
			},
			"gone": func(t *rapid.T) {
				who := name.Draw(t, "who")
				f.kill(who, rapid.Bool().Draw(t, "ran"))
				f.listed[who] = false
				f.tick(50)
			},
			"kill": func(t *rapid.T) { f.kill(name.Draw(t, "who"), rapid.Bool().Draw(t, "ran")) },
			"restart": func(t *rapid.T) {
				who := name.Draw(t, "who")
				if _, ok := f.alive[who]; !ok {
					f.start(who)
				}
			},
			"unlist": func(t *rapid.T) {
				who := name.Draw(t, "who")
				_, running := f.alive[who]
				f.listed[who] = running
			},
			"wait":         func(t *rapid.T) { f.tick(rapid.IntRange(1, 60).Draw(t, "ticks")) },
			"table down":   func(*rapid.T) { f.outage(fault.Faults{Refuse: true}) },
			"answers lost": func(*rapid.T) { f.outage(fault.Faults{LoseAnswer: 0.7}) },
			"table up": func(*rapid.T) {
				f.outage(fault.Faults{})
				f.tick(2)
			},
			"": func(t *rapid.T) {
				for event, runs := range f.runs {
					if runs > 1 {
						t.Fatalf("%s ran %d times", event, runs)
					}
				}
			},
		})
	})
}

func TestFirstCallsRunWhileTheTableIsDown(t *testing.T) {
	f := newFleet(t)
	defer f.server.Close()
	f.start("a")
	f.tick(8)
	f.outage(fault.Faults{Refuse: true})
	f.tick(1)
	if decision, ok := f.begin("a", "early").(NotReady); !ok {
		t.Errorf("a call without a claim, before a later owner could tell from the heartbeat: %#v", decision)
	}
	f.tick(int(tablelessAfter/tickInterval) + 2)
	if _, ok := f.begin("a", "sale").(Run); !ok {
		t.Fatal("a first call was not run while the table was down")
	}
	f.run("a", "sale", nil)
	if _, ok := f.begin("a", "sale").(Replay); !ok {
		t.Error("a repeated call was not answered from the first run")
	}
	f.kill("a", false)
	f.start("a")
	f.outage(fault.Faults{})
	f.tick(8)
	if decision, ok := f.begin("a", "sale").(Unknown); !ok {
		t.Errorf("a call that a dead incarnation ran without a claim: %#v", decision)
	}
	if decision, ok := f.begin("a", uuidAt(f.now.Add(time.Minute))).(Run); !ok {
		t.Errorf("a key made after the loss: %#v", decision)
	}
}

// uuidAt returns a UUID of version 7 with the given time.
func uuidAt(at time.Time) string {
	millis := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000000", millis>>16, millis&0xffff)
}

func TestKeysByAge(t *testing.T) {
	f := newFleet(t)
	defer f.server.Close()
	f.start("a")
	f.tick(8)
	tests := map[string]struct {
		age  time.Duration
		runs bool
	}{
		"just made":            {0, true},
		"within the retention": {59 * time.Minute, true},
		"expired":              {61 * time.Minute, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			decision := f.begin("a", uuidAt(f.now.Add(-test.age)))
			if _, ok := decision.(Run); ok != test.runs {
				t.Errorf("%#v", decision)
			}
			if _, unknown := decision.(Unknown); unknown == test.runs {
				t.Errorf("%#v", decision)
			}
		})
	}
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	f := newFleet(t)
	defer f.server.Close()
	f.start("a")
	f.tick(8)
	if _, ok := f.begin("a", "sale").(Run); !ok {
		t.Fatal("not run")
	}
	f.run("a", "sale", nil)
	decision := f.alive["a"].registry.Begin(t.Context(), f.key("sale"), 2)
	if _, ok := decision.(Mismatch); !ok {
		t.Errorf("%#v", decision)
	}
}

func TestReplicasShareAndHandOverSlots(t *testing.T) {
	f := newFleet(t)
	defer f.server.Close()
	f.start("a")
	f.tick(8)
	if owned := f.alive["a"].registry.OwnedSlots(); owned != SlotCount {
		t.Fatalf("a alone owns %d slots", owned)
	}
	if _, ok := f.begin("a", "sale").(Run); !ok {
		t.Fatal("not run")
	}
	f.run("a", "sale", nil)
	f.start("b")
	f.tick(20)
	a, b := f.alive["a"].registry.OwnedSlots(), f.alive["b"].registry.OwnedSlots()
	if a+b != SlotCount || b < SlotCount/4 {
		t.Fatalf("a owns %d slots, b owns %d", a, b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := f.alive["a"].registry.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	f.kill("a", false)
	f.listed["a"] = false
	f.tick(8)
	if owned := f.alive["b"].registry.OwnedSlots(); owned != SlotCount {
		t.Errorf("b owns %d slots after a has left", owned)
	}
	if decision, ok := f.begin("b", "sale").(Replay); !ok || decision.Answer == nil {
		t.Errorf("a call that a ran: %#v", decision)
	}
}

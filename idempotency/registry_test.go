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

// cluster is a set of replicas of one service that share a table, with a simulated clock.
type cluster struct {
	server          *standin.Server
	address         string
	now             time.Time
	listed          map[string]bool
	running         map[string]*replica
	lastIncarnation uint64
	runs            map[string]int // how often each call ran, by key
}

// replica is one running incarnation of a replica.
type replica struct {
	registry *Registry
	allowed  map[string]Run // calls that may run and have not been finished, by key
}

func newCluster(t interface{ Fatal(...any) }) *cluster {
	c := &cluster{
		server:  standin.New(1e6, 1e6, 1),
		now:     time.Unix(1_700_000_000, 0),
		listed:  map[string]bool{},
		running: map[string]*replica{},
		runs:    map[string]int{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.server.Start(listener)
	c.address = listener.Addr().String()
	return c
}

func (c *cluster) start(name string) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c.lastIncarnation++
	config := settings.Sidecar{Service: "ledger", KeyRetention: time.Hour, OpaqueRetryWindow: 15 * time.Minute}
	r := New(table.New(c.address, tableTimeout), config, name, c.lastIncarnation, c.vms, timeline.New(16, time.Now), logrus.NewEntry(logger))
	r.now = func() time.Time { return c.now }
	c.running[name] = &replica{registry: r, allowed: map[string]Run{}}
	c.listed[name] = true
}

func (c *cluster) vms() []vmlist.VM {
	var vms []vmlist.VM
	for name, listed := range c.listed {
		if listed {
			vms = append(vms, vmlist.VM{Name: name, Role: vmlist.RoleService, Service: "ledger"})
		}
	}
	return vms
}

// advance runs the given number of control intervals: it moves the clock and runs one step of every replica's control
// loop.
func (c *cluster) advance(times int) {
	for range times {
		c.now = c.now.Add(controlInterval)
		for _, r := range c.running {
			r.registry.tick(context.Background())
		}
	}
}

func (c *cluster) key(id string) Key { return NewKey("customer", id) }

// begin sends a call to a replica. If the call may run, it is kept for finish.
func (c *cluster) begin(name, id string) Decision {
	r, ok := c.running[name]
	if !ok {
		return NotReady{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*tableTimeout)
	defer cancel()
	decision := r.registry.Begin(ctx, c.key(id), 1)
	if run, ok := decision.(Run); ok {
		r.allowed[id] = run
	}
	return decision
}

// sendToAny sends a call to one replica after another, as an entry does that looks for the owner, until one may run it.
// It returns the name of that replica.
func (c *cluster) sendToAny(id string) (string, bool) {
	for _, name := range []string{"a", "b"} {
		if _, ok := c.begin(name, id).(Run); ok {
			return name, true
		}
	}
	return "", false
}

// finish ends a call that begin kept, if there is one. The call counts as run unless err is service.ErrNotSent.
func (c *cluster) finish(name, id string, err error) {
	r := c.running[name]
	run, ok := r.allowed[id]
	if !ok {
		return
	}
	if !errors.Is(err, service.ErrNotSent) {
		c.runs[id]++
	}
	delete(r.allowed, id)
	r.registry.Finish(context.Background(), run, service.Answer{Status: 201}, err)
}

// stopReplica ends an incarnation without a drain. With ran set, the calls that it was allowed to run count as run.
func (c *cluster) stopReplica(name string, ran bool) {
	if r, ok := c.running[name]; ok && ran {
		for id := range r.allowed {
			c.runs[id]++
		}
	}
	delete(c.running, name)
}

func (c *cluster) setFaults(faults fault.Faults) { c.server.Faults().Put(faults) }

// TestCallsRunAtMostOnce guards against calls that run twice because an owner or the table has lost their record.
// Replicas crash, restart and leave and the table fails or loses answers, in random order, while callers send every
// call again through any replica.
func TestCallsRunAtMostOnce(t *testing.T) {
	names := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		defer c.server.Close()
		for _, name := range names {
			c.start(name)
		}
		c.advance(8)
		name := rapid.SampledFrom(names)
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("event-", rapid.IntRange(0, 1).Draw(t, "event")) })
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) { c.sendToAny(id.Draw(t, "id")) },
			"send and run": func(t *rapid.T) {
				callID := id.Draw(t, "id")
				if replicaName, ok := c.sendToAny(callID); ok {
					c.finish(replicaName, callID, nil)
				}
			},
			"run": func(t *rapid.T) {
				replicaName := name.Draw(t, "replica")
				if _, ok := c.running[replicaName]; ok {
					c.finish(replicaName, id.Draw(t, "id"), rapid.SampledFrom([]error{nil, service.ErrNotSent, service.ErrNoAnswer}).Draw(t, "error"))
				}
			},
			"replace": func(t *rapid.T) {
				replicaName := name.Draw(t, "replica")
				c.stopReplica(replicaName, rapid.Bool().Draw(t, "ran"))
				c.start(replicaName)
				c.advance(2)
			},
			"long outage": func(*rapid.T) {
				c.setFaults(fault.Faults{Refuse: true})
				c.advance(int(unclaimedRunsAfter/controlInterval) + 4)
			},
			"gone": func(t *rapid.T) {
				replicaName := name.Draw(t, "replica")
				c.stopReplica(replicaName, rapid.Bool().Draw(t, "ran"))
				c.listed[replicaName] = false
				c.advance(50)
			},
			"kill": func(t *rapid.T) { c.stopReplica(name.Draw(t, "replica"), rapid.Bool().Draw(t, "ran")) },
			"restart": func(t *rapid.T) {
				replicaName := name.Draw(t, "replica")
				if _, ok := c.running[replicaName]; !ok {
					c.start(replicaName)
				}
			},
			"unlist": func(t *rapid.T) {
				replicaName := name.Draw(t, "replica")
				_, running := c.running[replicaName]
				c.listed[replicaName] = running
			},
			"wait":         func(t *rapid.T) { c.advance(rapid.IntRange(1, 60).Draw(t, "ticks")) },
			"table down":   func(*rapid.T) { c.setFaults(fault.Faults{Refuse: true}) },
			"answers lost": func(*rapid.T) { c.setFaults(fault.Faults{LoseAnswer: 0.7}) },
			"table up": func(*rapid.T) {
				c.setFaults(fault.Faults{})
				c.advance(2)
			},
			"": func(t *rapid.T) {
				for callID, runs := range c.runs {
					if runs > 1 {
						t.Fatalf("call %s ran %d times", callID, runs)
					}
				}
			},
		})
	})
}

// TestFirstCallsRunWhileTheTableIsDown checks that calls run without a claim once the heartbeat is old, but not before,
// and that the next incarnation, which finds no claim of such a call, does not run it again.
func TestFirstCallsRunWhileTheTableIsDown(t *testing.T) {
	c := newCluster(t)
	defer c.server.Close()
	c.start("a")
	c.advance(8)
	c.setFaults(fault.Faults{Refuse: true})
	c.advance(1)
	if decision, ok := c.begin("a", "early").(NotReady); !ok {
		t.Errorf("decision about a call without a claim while the heartbeat is recent: %#v, want NotReady", decision)
	}
	c.advance(int(unclaimedRunsAfter/controlInterval) + 2)
	if _, ok := c.begin("a", "sale").(Run); !ok {
		t.Fatal("a first call may not run though the table has been down for long")
	}
	c.finish("a", "sale", nil)
	if _, ok := c.begin("a", "sale").(Replay); !ok {
		t.Error("a repeated call did not get the answer of the first run")
	}
	c.stopReplica("a", false)
	c.start("a")
	c.setFaults(fault.Faults{})
	c.advance(8)
	if decision, ok := c.begin("a", "sale").(Unknown); !ok {
		t.Errorf("decision about a call that an earlier incarnation ran without a claim: %#v, want Unknown", decision)
	}
	if decision, ok := c.begin("a", uuidv7(c.now.Add(time.Minute))).(Run); !ok {
		t.Errorf("decision about a key made after the takeover: %#v, want Run", decision)
	}
}

// uuidv7 returns a UUID of version 7 with the given time.
func uuidv7(createdAt time.Time) string {
	unixMS := createdAt.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000000", unixMS>>16, unixMS&0xffff)
}

func TestKeysOlderThanRetentionDoNotRun(t *testing.T) {
	c := newCluster(t)
	defer c.server.Close()
	c.start("a")
	c.advance(8)
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
			decision := c.begin("a", uuidv7(c.now.Add(-test.age)))
			if _, ok := decision.(Run); ok != test.runs {
				t.Errorf("wrong decision about a key of this age: %#v", decision)
			}
			if _, unknown := decision.(Unknown); unknown == test.runs {
				t.Errorf("wrong decision about a key of this age: %#v", decision)
			}
		})
	}
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	c := newCluster(t)
	defer c.server.Close()
	c.start("a")
	c.advance(8)
	if _, ok := c.begin("a", "sale").(Run); !ok {
		t.Fatal("the first call with the key may not run")
	}
	c.finish("a", "sale", nil)
	decision := c.running["a"].registry.Begin(t.Context(), c.key("sale"), 2)
	if _, ok := decision.(Mismatch); !ok {
		t.Errorf("decision about a key that was used for another request: %#v, want Mismatch", decision)
	}
}

// TestReplicasShareAndHandOverSlots checks that a second replica gets its part of the slots and, after the first one
// has drained, all of them with their records.
func TestReplicasShareAndHandOverSlots(t *testing.T) {
	c := newCluster(t)
	defer c.server.Close()
	c.start("a")
	c.advance(8)
	if owned := c.running["a"].registry.OwnedSlots(); owned != SlotCount {
		t.Fatalf("the only replica owns %d slots", owned)
	}
	if _, ok := c.begin("a", "sale").(Run); !ok {
		t.Fatal("the first call with the key may not run")
	}
	c.finish("a", "sale", nil)
	c.start("b")
	c.advance(20)
	a, b := c.running["a"].registry.OwnedSlots(), c.running["b"].registry.OwnedSlots()
	if a+b != SlotCount || b < SlotCount/4 {
		t.Fatalf("replica a owns %d slots and replica b %d", a, b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := c.running["a"].registry.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	c.stopReplica("a", false)
	c.listed["a"] = false
	c.advance(8)
	if owned := c.running["b"].registry.OwnedSlots(); owned != SlotCount {
		t.Errorf("replica b owns %d slots after replica a has left", owned)
	}
	if decision, ok := c.begin("b", "sale").(Replay); !ok || decision.Answer == nil {
		t.Errorf("decision of replica b about a call that replica a ran: %#v, want Replay with an answer", decision)
	}
}

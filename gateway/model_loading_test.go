package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/agent"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
)

// startAgent runs the engine's agent until the returned function is called.
func (d *testDeployment) startAgent() (stop func()) {
	config := &settings.Config{
		Node:   settings.Node{Name: "agent-1", AvailabilityZone: "zone-a"},
		Agent:  settings.Agent{Listen: net.JoinHostPort("127.0.0.1", strconv.Itoa(d.agentPort)), Target: d.engineTarget.Address(), Service: "engine"},
		Store:  settings.Store{Address: d.store.Address()},
		Bounds: settings.Bounds{LoadWindow: 5 * time.Second, LoadBurst: 1.1},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- agent.New(config, log.WithField("test", d.t.Name())).Run(ctx) }()
	return func() {
		cancel()
		if err := <-runErr; err != nil {
			d.t.Error(err)
		}
	}
}

func TestModelsAndAdaptersAreLoadedOnDemand(t *testing.T) {
	tests := map[string]struct {
		model       string
		lostAnswers int  // orders that the engine carries out without a response
		slotsFull   bool // all adapter slots of the engine are taken
		wantOrders  []string
	}{
		"loaded model":            {model: "m1"},
		"adapter":                 {model: "m1/a1", wantOrders: []string{"loading m1/a1"}},
		"model":                   {model: "m2", wantOrders: []string{"loading m2/"}},
		"adapter, responses lost": {model: "m1/a1", lostAnswers: 2, wantOrders: []string{"loading m1/a1"}},
		"adapter, slots full":     {model: "m3/a1", slotsFull: true, wantOrders: []string{"unloading m3/a8", "loading m3/a1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			if test.slotsFull {
				d.engineTarget.Load("m3", "a8", "a9")
			}
			d.engineTarget.LoseOrderAnswers(test.lostAnswers)
			d.store.Put("servers", "e1", d.engineTarget.RegistryEntry("engine", "ready"))
			defer d.startAgent()()
			time.Sleep(1500 * time.Millisecond)
			response, body, err := d.roundTrip(getRequest("/stream/a", "X-Gypsumbank-Model: "+test.model))
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("response %v %q, %v; want 200", response, body, err)
			}
			var accepted []string
			for _, o := range d.engineTarget.Orders() {
				if o.Holder != "agent-1" || o.Fence != firstFence {
					t.Errorf("order has holder %q and fencing number %d, want agent-1 and %d", o.Holder, o.Fence, firstFence)
				}
				if o.Accepted {
					accepted = append(accepted, o.Op+" "+o.Model+"/"+o.Adapter)
				}
			}
			if len(accepted) != len(test.wantOrders) {
				t.Fatalf("orders %v, want %v", accepted, test.wantOrders)
			}
			for i := range accepted {
				if accepted[i] != test.wantOrders[i] && accepted[i] != "unloading m3/a9" { // both have been idle for the same time
					t.Errorf("orders %v, want %v", accepted, test.wantOrders)
				}
			}
		})
	}
}

// firstFence is the first fencing number of the first epoch of the store.
const firstFence = 1 << 20

// TestRestartedTargetReloadsItsModels restarts an engine that holds two models, with or without its agent. Both models must
// be loaded again from its disk without a request for them, and none from the weight store if the disk is new.
func TestRestartedTargetReloadsItsModels(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ restartAgent, clearDisk bool }{
		"engine alone":           {},
		"engine and its agent":   {restartAgent: true},
		"engine with a new disk": {clearDisk: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.engineTarget.Load("m2")
			stop := d.startAgent()
			time.Sleep(7500 * time.Millisecond)
			if test.restartAgent {
				stop()
			}
			if test.clearDisk {
				d.engineTarget.ClearDisk()
			}
			d.engineTarget.Restart()
			if test.restartAgent {
				stop = d.startAgent()
			}
			defer stop()
			time.Sleep(1500 * time.Millisecond)
			loads := map[string]int{}
			for _, o := range d.engineTarget.Orders() {
				if o.Accepted && o.Op == "loading" {
					loads[o.Model]++
				}
			}
			want := 1
			if test.clearDisk {
				want = 0
			}
			if loads["m1"] != want || loads["m2"] != want || len(loads) != 2*want {
				t.Errorf("loads %v, want %d each of m1 and m2", loads, want)
			}
		})
	}
}

// TestFencingNumberRises restarts the agent. Its orders must carry a higher fencing number than before, and it must send none
// while the store that keeps the number is unavailable.
func TestFencingNumberRises(t *testing.T) {
	d := newDeployment(t)
	stop := d.startAgent()
	time.Sleep(1500 * time.Millisecond)
	if _, _, err := d.roundTrip(getRequest("/stream/a", "X-Gypsumbank-Model: m1/a1")); err != nil {
		t.Fatal(err)
	}
	stop()
	d.store.SetFault(site.Down)
	defer d.startAgent()()
	time.Sleep(time.Second)
	if response, _, err := d.roundTrip(getRequest("/stream/a", "X-Gypsumbank-Model: m1/a2")); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %v, %v; want 503, since no order may be sent without a fencing number", response, err)
	}
	d.store.SetFault(site.NoFault)
	time.Sleep(1500 * time.Millisecond)
	if response, _, err := d.roundTrip(getRequest("/stream/a", "X-Gypsumbank-Model: m1/a2")); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("response %v, %v after the store is available again, want 200", response, err)
	}
	orders := d.engineTarget.Orders()
	if len(orders) != 2 || orders[0].Fence != firstFence || orders[1].Fence != firstFence+1 {
		t.Errorf("orders %+v, want fencing numbers %d and the next", orders, firstFence)
	}
}

// TestLoadedModelIsNotLoadedAgain requests a model after several states of its agent, of which only the first lists the
// models that the engine holds.
func TestLoadedModelIsNotLoadedAgain(t *testing.T) {
	d := newDeployment(t)
	stop := d.startAgent()
	defer stop()
	time.Sleep(1500 * time.Millisecond)
	response, _, err := d.roundTrip(getRequest("/stream/a", m1Header))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("response %v, %v; want 200", response, err)
	}
	for _, entry := range d.logHook.AllEntries() {
		if entry.Message == "model load begins" {
			t.Errorf("a model that the engine already holds is loaded: %v", entry.Data)
		}
	}
}

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

// startAgent runs an agent beside the engine until the returned function is called.
func (d *deployment) startAgent() (stop func()) {
	config := &settings.Config{
		Node:   settings.Node{Name: "agent-1", AvailabilityZone: "zone-a"},
		Agent:  settings.Agent{Listen: net.JoinHostPort("127.0.0.1", strconv.Itoa(d.agentPort)), Target: d.engine.Address(), Service: "engine"},
		Store:  settings.Store{Address: d.store.Address()},
		Bounds: settings.Bounds{LoadWindow: 5 * time.Second, LoadBurst: 1.1},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- agent.New(config, log.WithField("test", d.t.Name())).Run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			d.t.Error(err)
		}
	}
}

func TestModelsAndAdaptersAreLoadedForRequests(t *testing.T) {
	tests := map[string]struct {
		model  string
		lost   int  // orders without an answer
		full   bool // all places for adapters are taken
		orders []string
	}{
		"held model":              {model: "m1"},
		"adapter":                 {model: "m1/a1", orders: []string{"loading m1/a1"}},
		"model":                   {model: "m2", orders: []string{"loading m2/"}},
		"adapter, answers lost":   {model: "m1/a1", lost: 2, orders: []string{"loading m1/a1"}},
		"adapter of a full place": {model: "m3/a1", full: true, orders: []string{"unloading m3/a8", "loading m3/a1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			if test.full {
				d.engine.Load("m3", "a8", "a9")
			}
			d.engine.LoseOrders(test.lost)
			d.store.Put("servers", "e1", d.engine.Entry("engine", "ready"))
			defer d.startAgent()()
			time.Sleep(1500 * time.Millisecond)
			response, body, err := d.ask(get("/stream/a", "X-Gypsumbank-Model: "+test.model))
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("answer %v %q, %v", response, body, err)
			}
			var taken []string
			for _, o := range d.engine.Orders() {
				if o.Holder != "agent-1" || o.Fence != 1 {
					t.Errorf("order of holder %q with fencing number %d", o.Holder, o.Fence)
				}
				if o.Taken {
					taken = append(taken, o.Op+" "+o.Model+"/"+o.Adapter)
				}
			}
			if len(taken) != len(test.orders) {
				t.Fatalf("orders %v, want %v", taken, test.orders)
			}
			for i := range taken {
				if taken[i] != test.orders[i] && taken[i] != "unloading m3/a9" { // both have been idle for as long
					t.Errorf("orders %v, want %v", taken, test.orders)
				}
			}
		})
	}
}

// TestRestartedTargetTakesItsModelsBack restarts an engine that holds two models, with its agent or without; nobody asks
// for either model meanwhile, and the weight store is not needed.
func TestRestartedTargetTakesItsModelsBack(t *testing.T) {
	tests := map[string]struct{ agentToo, newDisk bool }{
		"engine alone":           {},
		"engine and its agent":   {agentToo: true},
		"engine with a new disk": {newDisk: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			d.engine.Load("m2")
			stop := d.startAgent()
			time.Sleep(7500 * time.Millisecond)
			if test.agentToo {
				stop()
			}
			if test.newDisk {
				d.engine.ClearDisk()
			}
			d.engine.Restart()
			if test.agentToo {
				stop = d.startAgent()
			}
			defer stop()
			time.Sleep(1500 * time.Millisecond)
			loads := map[string]int{}
			for _, o := range d.engine.Orders() {
				if o.Taken && o.Op == "loading" {
					loads[o.Model]++
				}
			}
			want := 1
			if test.newDisk {
				want = 0
			}
			if loads["m1"] != want || loads["m2"] != want || len(loads) != 2*want {
				t.Errorf("loads %v, want %d of m1 and of m2", loads, want)
			}
		})
	}
}

// TestFencingNumberRises restarts the agent; its orders must bear a higher number than before, and none may be given
// while the store that keeps the number is away.
func TestFencingNumberRises(t *testing.T) {
	d := deploy(t)
	stop := d.startAgent()
	time.Sleep(1500 * time.Millisecond)
	if _, _, err := d.ask(get("/stream/a", "X-Gypsumbank-Model: m1/a1")); err != nil {
		t.Fatal(err)
	}
	stop()
	d.store.SetFault(site.Down)
	defer d.startAgent()()
	time.Sleep(time.Second)
	if response, _, err := d.ask(get("/stream/a", "X-Gypsumbank-Model: m1/a2")); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answer %v, %v; no order may be given without a fencing number", response, err)
	}
	d.store.SetFault(site.NoFault)
	time.Sleep(1500 * time.Millisecond)
	if response, _, err := d.ask(get("/stream/a", "X-Gypsumbank-Model: m1/a2")); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("answer %v, %v after the store is back", response, err)
	}
	orders := d.engine.Orders()
	if len(orders) != 2 || orders[0].Fence != 1 || orders[1].Fence != 2 {
		t.Errorf("orders %+v, want fencing numbers 1 and 2", orders)
	}
}

// TestHeldModelStaysKnown asks for a model after several states of its agent, of which only the first tells what is held.
func TestHeldModelStaysKnown(t *testing.T) {
	d := deploy(t)
	stop := d.startAgent()
	defer stop()
	time.Sleep(1500 * time.Millisecond)
	response, _, err := d.ask(get("/stream/a", modelHeader))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("answer %v, %v", response, err)
	}
	for _, line := range d.lines.AllEntries() {
		if line.Message == "model load begins" {
			t.Errorf("a model that is held is loaded: %v", line.Data)
		}
	}
}

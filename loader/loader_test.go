package loader_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/allowance"
	client "gypsumbank/engine"
	"gypsumbank/loader"
	"gypsumbank/placement"
	"gypsumbank/settings"
	"gypsumbank/standin/engine"
	"gypsumbank/standin/fault"
	"gypsumbank/timeline"
)

const (
	modelMiB  = 10
	targetMiB = 30
	models    = 6
)

// pool is a set of loaders, each with an engine, that ask one another before they unload a copy.
type pool struct {
	list    *allowance.List
	names   []string
	loaders map[string]*loader.Loader
	engines map[string]*engine.Server
}

func newPool(t *testing.T, checksFence bool) *pool {
	t.Helper()
	var text strings.Builder
	text.WriteString("version = 0\n")
	for i := range models {
		fmt.Fprintf(&text, "[model m%d]\nmemory-mib = %d\n", i, modelMiB)
	}
	list, err := allowance.New("allowances", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	p := &pool{list: list, names: []string{"a", "b", "c"}, loaders: map[string]*loader.Loader{}, engines: map[string]*engine.Server{}}
	for _, name := range p.names {
		p.add(t, name, checksFence)
	}
	return p
}

func (p *pool) add(t *testing.T, name string, checksFence bool) {
	t.Helper()
	server := engine.New(engine.Config{MemoryBytes: targetMiB << 20, Slots: 8, StepBase: time.Millisecond, ChecksFence: checksFence, Seed: 1})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Start(listener)
	t.Cleanup(server.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	config := settings.Sidecar{MemoryBytes: targetMiB << 20, ChecksFence: checksFence, OrderLifetime: 100 * time.Millisecond, OrderTimeout: 300 * time.Millisecond}
	inputs := loader.Inputs{
		Target:     name,
		Allowances: func() *allowance.List { return p.list },
		Targets:    func() []string { return p.names },
		HeldByPeer: func(ctx context.Context, model string, version uint32) (bool, error) {
			return p.heldByHigherRank(ctx, name, model, version)
		},
	}
	l := loader.New(config, inputs, client.New(listener.Addr().String()), timeline.New(0, time.Now), logrus.NewEntry(logger))
	p.loaders[name], p.engines[name] = l, server
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	})
}

// heldByHigherRank reports whether a target that ranks higher for the model than the named one holds it.
func (p *pool) heldByHigherRank(ctx context.Context, name, model string, version uint32) (bool, error) {
	for _, peer := range p.names {
		if !placement.RanksHigher(model, peer, name) {
			continue
		}
		if held, err := p.loaders[peer].Holds(ctx, model, version); err == nil && held {
			return true, nil
		}
	}
	return false, nil
}

// unheldModel returns the name of a listed model that no engine holds, or an empty string.
func (p *pool) unheldModel() string {
	held := map[string]bool{}
	for _, server := range p.engines {
		for _, name := range server.Residents() {
			held[name] = true
		}
	}
	for _, model := range p.list.Models() {
		if !held[model.Name] {
			return model.Name
		}
	}
	return ""
}

// TestLastCopyIsNeverDropped requests random models from random targets, so that they unload others, while orders are
// delayed and lost. It guards against two targets that unload their copies of a model at the same time, each relying on
// the other's.
func TestLastCopyIsNeverDropped(t *testing.T) {
	tests := map[string]bool{"fences checked": true, "fences ignored": false}
	for name, checksFence := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(t, checksFence)
			deadline := time.Now().Add(20 * time.Second)
			for p.unheldModel() != "" {
				if time.Now().After(deadline) {
					t.Fatalf("no engine has loaded %s within 20 s", p.unheldModel())
				}
				time.Sleep(10 * time.Millisecond)
			}
			for _, server := range p.engines {
				server.Faults().Put(fault.Faults{LateOrderMS: 10, LoseOrder: 0.05})
			}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for caller := range 6 {
				callers.Add(1)
				go func() {
					defer callers.Done()
					p.acquireAtRandom(rand.New(rand.NewPCG(1, uint64(caller))), stop)
				}()
			}
			watchUntil := time.Now().Add(4 * time.Second)
			for time.Now().Before(watchUntil) {
				if model := p.unheldModel(); model != "" {
					t.Errorf("no engine holds %s any more", model)
					break
				}
				time.Sleep(time.Millisecond)
			}
			close(stop)
			callers.Wait()
			p.checkLoads(t)
		})
	}
}

// checkLoads checks that no order exceeded an engine's memory and that there were enough loads to cause unloads.
func (p *pool) checkLoads(t *testing.T) {
	t.Helper()
	loads := 0
	for name, server := range p.engines {
		if server.Violations() > 0 {
			t.Errorf("%s: %d orders exceeded the engine's memory", name, server.Violations())
		}
		loads += server.ModelLoads()
	}
	if loads <= models*2 {
		t.Errorf("only %d loads: too few to show that copies were unloaded", loads)
	}
}

// acquireAtRandom acquires and releases leases on random models at random targets until stop is closed.
func (p *pool) acquireAtRandom(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		target := p.loaders[p.names[rng.IntN(len(p.names))]]
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		lease, err := target.Acquire(ctx, fmt.Sprintf("m%d", rng.IntN(models)), "", true)
		if err == nil {
			time.Sleep(time.Duration(rng.IntN(5)) * time.Millisecond)
			target.Release(lease)
		}
		cancel()
	}
}

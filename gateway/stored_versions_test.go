package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
	"gypsumbank/versionrow"
)

// powerCutGroup is two gateways before engines with agents, all of which can be started again with empty memories.
type powerCutGroup struct {
	*gatewayGroup
	engines map[string]*site.Target
	agents  []func()
}

// newPowerCutGroup starts engines of the given software versions at loopback addresses from 127.0.1.first on, with their agents and two
// gateways, and waits until the versions are stored.
func newPowerCutGroup(t *testing.T, first int, versions ...string) *powerCutGroup {
	p := &powerCutGroup{gatewayGroup: newGatewayGroup(t), engines: map[string]*site.Target{}}
	for i, version := range versions {
		id := fmt.Sprintf("e%d-%s", i, version)
		engine := site.NewTargetAt(fmt.Sprintf("127.0.1.%d:0", first+i), id, breakingStream(version))
		t.Cleanup(engine.Close)
		engine.Load("m1")
		p.engines[id] = engine
		p.register(id, version)
	}
	p.startAgents()
	p.startGateway(0)
	p.startGateway(1)
	time.Sleep(1500 * time.Millisecond)
	return p
}

func (p *powerCutGroup) register(id, version string) {
	entry := p.engines[id].RegistryEntry("engine", "ready")
	entry["version"] = version
	p.store.Put("servers", id, entry)
}

func (p *powerCutGroup) startAgents() {
	p.agents = nil
	for id, engine := range p.engines {
		p.agents = append(p.agents, p.startAgent(id, engine))
	}
}

// cutPower stops all gateways and agents.
func (p *powerCutGroup) cutPower() {
	for _, stop := range append(p.stops[:2:2], p.agents...) {
		stop()
	}
}

// startAll starts all agents and gateways again.
func (p *powerCutGroup) startAll() {
	p.startAgents()
	p.startGateway(0)
	p.startGateway(1)
}

// TestStreamsGoOnAfterAPowerCut guards against streams that gateways refuse after all gateways and agents have lost what they
// knew, although all targets have been of one software version, and against streams that go on at another version.
func TestStreamsGoOnAfterAPowerCut(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		versions []string
		young    bool                   // the store has just begun
		disturb  func(p *powerCutGroup) // while all gateways and agents are off
		restart  func(p *powerCutGroup) // nil: startAll
		wentOn   bool
	}{
		"one version":                 {versions: []string{"v1", "v1"}, wentOn: true},
		"one version, new deployment": {versions: []string{"v1", "v1"}, young: true, wentOn: true},
		"two versions":                {versions: []string{"v1", "v2"}},
		"another has just left, new deployment": {versions: []string{"v1", "v2"}, young: true, disturb: func(p *powerCutGroup) {
			p.store.Remove("servers", "e1-v2")
			p.engines["e1-v2"].Close()
		}},
		"another has just left": {versions: []string{"v1", "v2"}, disturb: func(p *powerCutGroup) {
			p.store.Remove("servers", "e1-v2")
			p.engines["e1-v2"].Close()
		}},
		"another has joined meanwhile": {versions: []string{"v1", "v1"}, disturb: func(p *powerCutGroup) { p.register("e1-v1", "v2") }},
		"row is missing":               {versions: []string{"v1", "v1"}, disturb: func(p *powerCutGroup) { p.store.Remove(versionrow.Table, versionrow.Key) }},
		"row is spoiled": {versions: []string{"v1", "v1"}, disturb: func(p *powerCutGroup) {
			p.store.Put(versionrow.Table, versionrow.Key, []any{"format", 1})
		}},
		"row is of a later release": {versions: []string{"v1", "v1"}, disturb: func(p *powerCutGroup) {
			p.store.Put(versionrow.Table, versionrow.Key, map[string]any{"format": 2, "epoch": 1})
		}},
		"store has come back from a copy": {versions: []string{"v1", "v1"}, disturb: func(p *powerCutGroup) {
			p.store.Restore(p.store.Snapshot(), "op", "servers")
		}},
		"no agent comes back": {versions: []string{"v1", "v1"}, wentOn: true, restart: func(p *powerCutGroup) {
			p.startGateway(0)
			p.startGateway(1)
		}},
		"store away after the start": {versions: []string{"v1", "v1"}, restart: func(p *powerCutGroup) {
			p.startAll()
			p.store.SetFault(site.Down)
		}},
	}
	first := 10
	for name, c := range cases {
		addresses := first
		first += 2
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPowerCutGroup(t, addresses, c.versions...)
			if answer := p.sendTo(0, streamRequest("begun")); versionsOf(answer) == "" {
				t.Fatalf("stream did not begin: %q", answer)
			}
			if !c.young {
				p.store.AdvanceClock(2 * time.Minute)
			}
			p.cutPower()
			if c.disturb != nil {
				c.disturb(p)
			}
			p.stops, p.gateways = nil, nil
			if c.restart != nil {
				c.restart(p)
			} else {
				p.startAll()
			}
			for i := range 8 {
				request := streamRequest(fmt.Sprint("again", i), "Last-Event-Id: 2") // as callers do that name no earlier request
				answer := p.sendTo(i%2, request)
				if wentOn := strings.Contains(answer, "token-6-at-v1"); wentOn != c.wentOn {
					t.Errorf("stream %d went on: %v, want %v: %q", i, wentOn, c.wentOn, answer)
				}
			}
		})
	}
}

// TestStoredVersionsCostOneReadAStart guards against calls of the store for software versions while none changes.
func TestStoredVersionsCostOneReadAStart(t *testing.T) {
	t.Parallel()
	p := newPowerCutGroup(t, 60, "v1", "v1")
	time.Sleep(6 * time.Second) // until the last read of what was written at the start
	reads, writes := p.store.RowCalls(versionrow.Table)
	time.Sleep(3 * time.Second)
	if r, w := p.store.RowCalls(versionrow.Table); r != reads || w != writes {
		t.Errorf("%d reads and %d writes while no version changed", r-reads, w-writes)
	}
	p.replaceGateways(2)
	for i := range 20 {
		if answer := p.sendTo(i%2, streamRequest(fmt.Sprint("again", i), "Last-Event-Id: 2")); !strings.Contains(answer, "token-6-at-v1") {
			t.Errorf("stream %d did not go on: %q", i, answer)
		}
	}
	if r, w := p.store.RowCalls(versionrow.Table); r-reads > 2 || w != writes {
		t.Errorf("%d reads and %d writes at the start of two gateways, want at most one read each", r-reads, w-writes)
	}
	p.register("e1-v1", "v2")
	time.Sleep(2 * time.Second)
	if _, w := p.store.RowCalls(versionrow.Table); w == writes || w > writes+2 {
		t.Errorf("%d writes for a version that has appeared, want one of each agent at most", w-writes)
	}
}

package residency_test

import (
	"errors"
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/engine"
	"gypsumbank/fence"
	"gypsumbank/residency"
)

const (
	size     = 100
	lifetime = 10 * time.Second
)

// order is a load or unload on its way to the engine.
type order struct {
	key    residency.Key
	bytes  uint64
	fence  uint64
	unload bool
	due    time.Time
	answer func(error)
}

// accelerator is an engine that takes orders late, loses some and gets some twice.
type accelerator struct {
	checks     bool
	fence      uint64
	held       map[residency.Key]uint64
	violations int
}

func (a *accelerator) take(o order) error {
	if a.checks && o.fence < a.fence {
		return engine.ErrFenced
	}
	a.fence = max(a.fence, o.fence)
	if o.unload {
		delete(a.held, o.key)
		return nil
	}
	if _, ok := a.held[o.key]; ok {
		return nil
	}
	used := uint64(0)
	for _, bytes := range a.held {
		used += bytes
	}
	if used+o.bytes > size {
		a.violations++
		return engine.ErrNoMemory
	}
	a.held[o.key] = o.bytes
	return nil
}

func (a *accelerator) residents() []engine.Resident {
	var list []engine.Resident
	for key, bytes := range a.held {
		list = append(list, engine.Resident{Kind: key.Kind, Name: key.Name, Version: key.Version, Bytes: bytes})
	}
	return list
}

// machine is one sidecar incarnation after another before one accelerator.
type machine struct {
	now    time.Time
	target *accelerator
	memory *residency.Map
	fence  fence.Token
	way    []order
	life   int
}

func (m *machine) start() {
	m.life++
	m.memory = residency.New(size, m.target.checks, lifetime)
	if m.target.checks {
		m.fence = fence.New(m.target.fence, m.now)
		m.target.fence = uint64(m.fence)
	}
	m.memory.Adopt(m.target.residents(), m.now)
}

func (m *machine) send(o order, delay time.Duration, lost, twice bool) {
	life := m.life
	memory := m.memory
	m.fence = m.fence.Next()
	o.fence = uint64(m.fence)
	o.due = m.now.Add(delay)
	o.answer = func(err error) {
		if life != m.life {
			return
		}
		switch {
		case err == nil && o.unload:
			memory.Unloaded(o.key, m.now)
		case err == nil:
			memory.Loaded(o.key, m.now)
		case o.unload:
			memory.Keep(o.key)
		default:
			memory.Refused(o.key, m.now)
		}
	}
	if lost {
		o.answer = func(error) {}
		memory.MarkUnknown(o.key, m.now)
	}
	m.way = append(m.way, o)
	if twice {
		again := o
		again.due = m.now.Add(lifetime - time.Millisecond)
		again.answer = func(error) {}
		m.way = append(m.way, again)
	}
}

// advance moves time on and delivers what is due, in order.
func (m *machine) advance(by time.Duration) {
	until := m.now.Add(by)
	sort.SliceStable(m.way, func(i, j int) bool { return m.way[i].due.Before(m.way[j].due) })
	for len(m.way) > 0 && !m.way[0].due.After(until) {
		o := m.way[0]
		m.way = m.way[1:]
		m.now = o.due
		o.answer(m.target.take(o))
	}
	m.now = until
}

// TestMemoryIsNeverOvercommitted lets orders be lost, late and repeated while the sidecar dies and is replaced, before
// engines that check fencing numbers and ones that ignore them.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: time.Unix(1000, 0), target: &accelerator{
			checks: rapid.Bool().Draw(t, "checks fence"),
			held:   map[residency.Key]uint64{},
		}}
		m.start()
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) {
				key := residency.Key{Kind: engine.KindModel, Name: fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "model")), Version: 1}
				bytes := rapid.Uint64Range(20, 60).Draw(t, "bytes")
				err := m.memory.Reserve(key, bytes, m.now)
				if err != nil && !errors.Is(err, residency.ErrNoMemory) && !errors.Is(err, residency.ErrBusy) && !errors.Is(err, residency.ErrQuarantine) {
					t.Fatal(err)
				}
				if err == nil {
					m.send(order{key: key, bytes: bytes}, delay(t), rapid.Bool().Draw(t, "answer lost"), rapid.Bool().Draw(t, "twice"))
				}
			},
			"unload": func(t *rapid.T) {
				for _, key := range m.memory.Idle() {
					if m.memory.Unload(key) == nil {
						m.send(order{key: key, unload: true}, delay(t), rapid.Bool().Draw(t, "answer lost"), false)
						return
					}
				}
			},
			"wait": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond) },
			"poll": func(*rapid.T) {
				if m.target.checks && m.memory.HasUnknown() {
					m.fence = m.fence.Next()
					m.target.fence = uint64(m.fence)
					m.memory.Fenced(m.now)
				}
				m.memory.Reconcile(m.target.residents(), m.now, m.now)
			},
			"kill": func(*rapid.T) { m.start() },
			"": func(t *rapid.T) {
				if m.target.violations > 0 {
					t.Fatalf("an order would have overrun the memory: %v", m.target.held)
				}
			},
		})
	})
}

func delay(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, int(lifetime.Milliseconds())-1).Draw(t, "delay ms")) * time.Millisecond
}

// TestLateStateDoesNotMakeRoom has a state from before an unload arrive after it, which counts the dropped item once more.
func TestLateStateDoesNotMakeRoom(t *testing.T) {
	model := func(name string) residency.Key { return residency.Key{Kind: engine.KindModel, Name: name, Version: 1} }
	now := time.Unix(1000, 0)
	memory := residency.New(size, false, lifetime)
	memory.Adopt([]engine.Resident{{Kind: engine.KindModel, Name: "a", Version: 1, Bytes: 60}}, now)
	now = now.Add(lifetime)
	memory.Reconcile([]engine.Resident{{Kind: engine.KindModel, Name: "a", Version: 1, Bytes: 60}}, now, now)
	asked := now.Add(time.Second)
	now = asked.Add(time.Millisecond)
	if err := memory.Unload(model("a")); err != nil {
		t.Fatal(err)
	}
	memory.Unloaded(model("a"), now)
	if err := memory.Reserve(model("b"), 60, now); err != nil {
		t.Fatal(err)
	}
	memory.Reconcile([]engine.Resident{{Kind: engine.KindModel, Name: "a", Version: 1, Bytes: 60}}, asked, now)
	memory.Loaded(model("b"), now)
	now = now.Add(time.Millisecond)
	memory.Reconcile([]engine.Resident{{Kind: engine.KindModel, Name: "b", Version: 1, Bytes: 60}}, now.Add(time.Millisecond), now)
	if err := memory.Reserve(model("a"), 60, now); !errors.Is(err, residency.ErrNoMemory) {
		t.Errorf("reserve beside what is loaded: %v", err)
	}
}

package turns

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/fairshare"
)

// queueMachine has gateways ask for turns, end them, disconnect, and freeze, which reports no ends.
type queueMachine struct {
	queue   *Queue
	now     time.Time
	nextID  uint64
	open    map[key]time.Time // requests that wait, with the time until when they can
	granted map[key]bool
	frozen  map[Owner]bool
}

// apply records what the queue decides at a time.
func (m *queueMachine) apply(t *rapid.T) {
	decisions, next := m.queue.Advance(m.now)
	for _, d := range decisions {
		k := key{d.Owner, d.ID}
		_, isOpen := m.open[k]
		switch d.Kind {
		case Granted:
			if !isOpen {
				t.Fatalf("grant of %v, which does not wait", k)
			}
			delete(m.open, k)
			m.granted[k] = true
		case Refused:
			if !isOpen {
				t.Fatalf("refusal of %v, which does not wait", k)
			}
			delete(m.open, k)
		case Waiting:
			if !isOpen || d.Wait <= 0 {
				t.Fatalf("wait %s foretold to %v, which waits: %v", d.Wait, k, isOpen)
			}
		case Expired:
			if !m.granted[k] {
				t.Fatalf("end of the turn of %v, which has none", k)
			}
			delete(m.granted, k)
		}
	}
	if waits, turns := m.queue.Len(); waits != len(m.open) || turns != len(m.granted) {
		t.Fatalf("queue has %d waits and %d turns, want %d and %d", waits, turns, len(m.open), len(m.granted))
	}
	if len(m.granted) > Limit+1 {
		t.Fatalf("%d turns at a time", len(m.granted))
	}
	if len(m.open)+len(m.granted) > 0 && !next.After(m.now) {
		t.Fatal("the queue is not called again though something is left to decide")
	}
	for k, until := range m.open {
		if m.now.After(until) {
			t.Fatalf("%v waits beyond its time", k)
		}
	}
}

// pass lets time pass, with the calls that the queue asks for.
func (m *queueMachine) pass(t *rapid.T, d time.Duration) {
	for end := m.now.Add(d); ; {
		_, next := m.queue.Advance(m.now) // has nothing new to decide
		if next.IsZero() || next.After(end) {
			m.now = end
			return
		}
		m.now = next
		m.apply(t)
	}
}

// TestTurnsAreNeverLost has gateways ask, end, withdraw, disconnect and freeze in any order. Every request must be granted or refused
// within the time that it can wait, there must never be more turns than permitted, and all turns must be free in the end.
func TestTurnsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueMachine{queue: New(Limit), now: time.Unix(1000, 0), open: map[key]time.Time{}, granted: map[key]bool{}, frozen: map[Owner]bool{}}
		owners := rapid.IntRange(1, 29).Draw(t, "gateways")
		drawOwner := func(t *rapid.T) Owner { return Owner(rapid.IntRange(1, owners).Draw(t, "gateway")) }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				owner := drawOwner(t)
				m.nextID++
				wait := time.Duration(rapid.IntRange(0, 12000).Draw(t, "wait")) * time.Millisecond
				objective := time.Duration(rapid.IntRange(-1000, 8000).Draw(t, "objective")) * time.Millisecond
				prefill := time.Duration(rapid.IntRange(90, 1000).Draw(t, "prefill")) * time.Millisecond
				m.queue.Ask(owner, Request{
					ID: m.nextID, Content: uint64(rapid.IntRange(0, 5).Draw(t, "content")), GiveUp: m.now.Add(wait),
					Rank: Rank{Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Objective: m.now.Add(objective), Prefill: prefill, Customer: fairshare.Customer(rapid.IntRange(0, 3).Draw(t, "customer"))},
				}, m.now)
				m.open[key{owner, m.nextID}] = m.now.Add(wait)
				m.apply(t)
			},
			"end": func(t *rapid.T) {
				for k := range m.granted {
					if !m.frozen[k.owner] {
						m.queue.End(k.owner, k.id, m.now)
						delete(m.granted, k)
						break
					}
				}
				m.apply(t)
			},
			"withdraw": func(t *rapid.T) {
				for k := range m.open {
					m.queue.End(k.owner, k.id, m.now)
					delete(m.open, k)
					break
				}
				m.apply(t)
			},
			"disconnect": func(t *rapid.T) {
				owner := drawOwner(t)
				m.queue.Remove(owner, m.now)
				for k := range m.open {
					if k.owner == owner {
						delete(m.open, k)
					}
				}
				for k := range m.granted {
					if k.owner == owner {
						delete(m.granted, k)
					}
				}
				m.apply(t)
			},
			"freeze": func(t *rapid.T) { owner := drawOwner(t); m.frozen[owner] = !m.frozen[owner] },
			"pass": func(t *rapid.T) {
				m.pass(t, time.Duration(rapid.IntRange(1, 2000).Draw(t, "time"))*time.Millisecond)
			},
		})
		m.pass(t, time.Minute)
		if waits, turns := m.queue.Len(); waits+turns > 0 {
			t.Fatalf("%d requests wait and %d turns have not ended after a minute without gateways", waits, turns)
		}
	})
}

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
	capacityBytes = 100
	orderLifetime = 10 * time.Second
)

// order is a load or unload in flight to the engine.
type order struct {
	key       residency.Key
	bytes     uint64
	fence     uint64
	unload    bool
	arrivesAt time.Time
	answer    func(error)
}

// accelerator is a model of an engine; checksFence makes it refuse orders with old fencing numbers.
type accelerator struct {
	checksFence bool
	fence       uint64
	heldBytes   map[residency.Key]uint64
	violations  int
}

func (a *accelerator) execute(o order) error {
	if a.checksFence && o.fence < a.fence {
		return engine.ErrFenced
	}
	a.fence = max(a.fence, o.fence)
	if o.unload {
		delete(a.heldBytes, o.key)
		return nil
	}
	if _, ok := a.heldBytes[o.key]; ok {
		return nil
	}
	usedBytes := uint64(0)
	for _, bytes := range a.heldBytes {
		usedBytes += bytes
	}
	if usedBytes+o.bytes > capacityBytes {
		a.violations++
		return engine.ErrNoMemory
	}
	a.heldBytes[o.key] = o.bytes
	return nil
}

func (a *accelerator) residents() []engine.Resident {
	var list []engine.Resident
	for key, bytes := range a.heldBytes {
		list = append(list, engine.Resident{Kind: key.Kind, Name: key.Name, Version: key.Version, Bytes: bytes})
	}
	return list
}

// simulation runs successive sidecar incarnations against one accelerator, on a virtual clock. Orders may be delayed
// and repeated, and their answers lost.
type simulation struct {
	now         time.Time
	engine      *accelerator
	tracker     *residency.Tracker
	fence       fence.Token
	inFlight    []order
	incarnation int
}

// start replaces the sidecar by a new incarnation; orders of earlier ones stay in flight.
func (s *simulation) start() {
	s.incarnation++
	s.tracker = residency.New(capacityBytes, s.engine.checksFence, orderLifetime)
	if s.engine.checksFence {
		s.fence = fence.New(s.engine.fence, s.now)
		s.engine.fence = uint64(s.fence)
	}
	s.tracker.Adopt(s.engine.residents(), s.now)
}

// send puts an order in flight. A repeat arrives just before the end of the order's lifetime and gets no answer.
func (s *simulation) send(o order, delay time.Duration, answerLost, repeated bool) {
	incarnation := s.incarnation
	tracker := s.tracker
	s.fence = s.fence.Next()
	o.fence = uint64(s.fence)
	o.arrivesAt = s.now.Add(delay)
	o.answer = func(err error) {
		if incarnation != s.incarnation {
			return
		}
		switch {
		case err == nil && o.unload:
			tracker.ConfirmUnload(o.key, s.now)
		case err == nil:
			tracker.ConfirmLoad(o.key, s.now)
		case o.unload:
			tracker.CancelUnload(o.key)
		default:
			tracker.LoadRefused(o.key, s.now)
		}
	}
	if answerLost {
		o.answer = func(error) {}
		tracker.MarkUnknown(o.key, s.now)
	}
	s.inFlight = append(s.inFlight, o)
	if repeated {
		repeat := o
		repeat.arrivesAt = s.now.Add(orderLifetime - time.Millisecond)
		repeat.answer = func(error) {}
		s.inFlight = append(s.inFlight, repeat)
	}
}

// advance advances the clock and delivers the orders that arrive meanwhile, by time of arrival.
func (s *simulation) advance(duration time.Duration) {
	until := s.now.Add(duration)
	sort.SliceStable(s.inFlight, func(i, j int) bool { return s.inFlight[i].arrivesAt.Before(s.inFlight[j].arrivesAt) })
	for len(s.inFlight) > 0 && !s.inFlight[0].arrivesAt.After(until) {
		o := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.now = o.arrivesAt
		o.answer(s.engine.execute(o))
	}
	s.now = until
}

// TestMemoryIsNeverOvercommitted delays and repeats orders, loses answers and restarts the sidecar, on engines with and
// without checks of fencing numbers. It guards against a load order, also one of an earlier incarnation, that arrives
// when its memory has been given to another item.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Unix(1000, 0), engine: &accelerator{
			checksFence: rapid.Bool().Draw(t, "checks fence"),
			heldBytes:   map[residency.Key]uint64{},
		}}
		s.start()
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) {
				key := residency.Key{Kind: engine.KindModel, Name: fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "model")), Version: 1}
				bytes := rapid.Uint64Range(20, 60).Draw(t, "bytes")
				err := s.tracker.Reserve(key, bytes, s.now)
				if err != nil && !errors.Is(err, residency.ErrNoMemory) && !errors.Is(err, residency.ErrBusy) && !errors.Is(err, residency.ErrQuarantine) {
					t.Fatal(err)
				}
				if err == nil {
					s.send(order{key: key, bytes: bytes}, drawDelay(t), rapid.Bool().Draw(t, "answer lost"), rapid.Bool().Draw(t, "repeated"))
				}
			},
			"unload": func(t *rapid.T) {
				for _, key := range s.tracker.Idle() {
					if s.tracker.BeginUnload(key) == nil {
						s.send(order{key: key, unload: true}, drawDelay(t), rapid.Bool().Draw(t, "answer lost"), false)
						return
					}
				}
			},
			"wait": func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond) },
			"poll": func(*rapid.T) {
				if s.engine.checksFence && s.tracker.HasUnknown() {
					s.fence = s.fence.Next()
					s.engine.fence = uint64(s.fence)
					s.tracker.MarkFenced(s.now)
				}
				s.tracker.Reconcile(s.engine.residents(), s.now, s.now)
			},
			"kill": func(*rapid.T) { s.start() },
			"": func(t *rapid.T) {
				if s.engine.violations > 0 {
					t.Fatalf("a load order exceeded the accelerator's memory, which holds %v", s.engine.heldBytes)
				}
			},
		})
	})
}

func drawDelay(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, int(orderLifetime.Milliseconds())-1).Draw(t, "delay ms")) * time.Millisecond
}

// TestStaleStateDoesNotFreeMemory applies a state that was requested before an unload and arrives after it, so that the
// tracker counts the unloaded item again. When a later state lacks that item, its memory must not count as free for a
// new load, as another item has taken it.
func TestStaleStateDoesNotFreeMemory(t *testing.T) {
	modelKey := func(name string) residency.Key { return residency.Key{Kind: engine.KindModel, Name: name, Version: 1} }
	now := time.Unix(1000, 0)
	tracker := residency.New(capacityBytes, false, orderLifetime)
	tracker.Adopt([]engine.Resident{{Kind: engine.KindModel, Name: "a", Version: 1, Bytes: 60}}, now)
	now = now.Add(orderLifetime)
	tracker.Reconcile([]engine.Resident{{Kind: engine.KindModel, Name: "a", Version: 1, Bytes: 60}}, now, now)
	askedAt := now.Add(time.Second)
	now = askedAt.Add(time.Millisecond)
	if err := tracker.BeginUnload(modelKey("a")); err != nil {
		t.Fatal(err)
	}
	tracker.ConfirmUnload(modelKey("a"), now)
	if err := tracker.Reserve(modelKey("b"), 60, now); err != nil {
		t.Fatal(err)
	}
	tracker.Reconcile([]engine.Resident{{Kind: engine.KindModel, Name: "a", Version: 1, Bytes: 60}}, askedAt, now)
	tracker.ConfirmLoad(modelKey("b"), now)
	now = now.Add(time.Millisecond)
	tracker.Reconcile([]engine.Resident{{Kind: engine.KindModel, Name: "b", Version: 1, Bytes: 60}}, now.Add(time.Millisecond), now)
	if err := tracker.Reserve(modelKey("a"), 60, now); !errors.Is(err, residency.ErrNoMemory) {
		t.Errorf("reserving memory that a loaded item uses: got error %v, want ErrNoMemory", err)
	}
}

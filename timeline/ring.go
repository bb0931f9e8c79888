package timeline

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumbank/wire"
)

// Kind names the kind of an event.
type Kind string

// The kinds of events.
const (
	RequestAccepted   Kind = "request-accepted"
	RequestRouted     Kind = "request-routed"
	RequestRefused    Kind = "request-refused"
	RequestRetried    Kind = "request-retried"
	RequestResumed    Kind = "request-resumed"
	RequestMoved      Kind = "request-moved"
	RequestFinished   Kind = "request-finished"
	RequestFailed     Kind = "request-failed"
	RequestCancelled  Kind = "request-cancelled"
	CopyAsked         Kind = "copy-asked"
	CallRun           Kind = "call-run"
	CallReplayed      Kind = "call-replayed"
	CallUnknown       Kind = "call-unknown"
	OrderSent         Kind = "order-sent"
	OrderTaken        Kind = "order-taken"
	OrderRefused      Kind = "order-refused"
	OrderLost         Kind = "order-lost"
	ModelLoaded       Kind = "model-loaded"
	ModelDropped      Kind = "model-dropped"
	EditSeen          Kind = "edit-seen"
	EditInForce       Kind = "edit-in-force"
	TargetDown        Kind = "target-down"
	TargetUp          Kind = "target-up"
	TargetLeaving     Kind = "target-leaving"
	SuspectSeen       Kind = "suspect-seen"
	StoreDown         Kind = "store-down"
	StoreUp           Kind = "store-up"
	SlotsTaken        Kind = "slots-taken"
	ProcessStarted    Kind = "process-started"
	ProcessStopping   Kind = "process-stopping"
	counterBits            = 12
	maxDrift               = time.Minute
	defaultRingLength      = 8192
)

// Event is one recorded event; empty fields do not apply.
type Event struct {
	Kind      Kind
	RequestID string
	Customer  string
	Target    string
	Model     string
	Detail    string
}

// Ring keeps the latest events under a hybrid logical clock, so that a cause sorts before its effect across processes.
type Ring struct {
	mu       sync.Mutex
	events   []*wire.Event
	next     uint64
	clock    uint64
	capacity uint64
	now      func() time.Time
}

// New returns a ring for the given number of events, or a default if length is zero, that reads the time from now.
func New(length int, now func() time.Time) *Ring {
	if length <= 0 {
		length = defaultRingLength
	}
	return &Ring{events: make([]*wire.Event, length), capacity: uint64(length), now: now}
}

// Add records an event and returns its clock.
func (r *Ring) Add(event Event) uint64 {
	metrics.GetOrCreateCounter(`gypsumbank_events_total{kind="` + string(event.Kind) + `"}`).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	clock := r.tick()
	r.events[r.next%r.capacity] = &wire.Event{
		Sequence:  r.next + 1,
		Clock:     clock,
		Kind:      string(event.Kind),
		RequestId: event.RequestID,
		Customer:  event.Customer,
		Target:    event.Target,
		Model:     event.Model,
		Detail:    event.Detail,
	}
	r.next++
	return clock
}

// NextClock advances the clock and returns it, to be sent with a message.
func (r *Ring) NextClock() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Observe moves the clock past that of a received message, unless that is further ahead than clocks may differ.
func (r *Ring) Observe(clock uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clock <= ClockOf(r.now().Add(maxDrift)) {
		r.clock = max(r.clock, clock)
	}
}

// After returns the events with a higher sequence number and how many of those were overwritten.
func (r *Ring) After(sequence uint64) (events []*wire.Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := uint64(0)
	if r.next > r.capacity {
		first = r.next - r.capacity
	}
	if sequence < first {
		dropped = first - sequence
		sequence = first
	}
	for i := sequence; i < r.next; i++ {
		events = append(events, r.events[i%r.capacity])
	}
	return events, dropped
}

// Time returns the physical part of a clock.
func Time(clock uint64) time.Time { return time.UnixMicro(int64(clock >> counterBits)) }

// ClockOf returns the clock of a time without any event.
func ClockOf(at time.Time) uint64 { return uint64(at.UnixMicro()) << counterBits }

func (r *Ring) tick() uint64 {
	physical := ClockOf(r.now())
	r.clock = max(r.clock+1, physical)
	return r.clock
}

package timeline

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumbank/wire"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events and the parameters of the ring.
const (
	RequestAccepted  Kind = "request-accepted"
	RequestRouted    Kind = "request-routed"
	RequestRefused   Kind = "request-refused"
	RequestRetried   Kind = "request-retried"
	RequestResumed   Kind = "request-resumed"
	RequestMoved     Kind = "request-moved"
	RequestFinished  Kind = "request-finished"
	RequestFailed    Kind = "request-failed"
	RequestCancelled Kind = "request-cancelled"
	CopyAsked        Kind = "copy-asked"
	CallRun          Kind = "call-run"
	CallReplayed     Kind = "call-replayed"
	CallUnknown      Kind = "call-unknown"
	OrderSent        Kind = "order-sent"
	OrderTaken       Kind = "order-taken"
	OrderRefused     Kind = "order-refused"
	OrderLost        Kind = "order-lost"
	ModelLoaded      Kind = "model-loaded"
	ModelDropped     Kind = "model-dropped"
	EditSeen         Kind = "edit-seen"
	EditInForce      Kind = "edit-in-force"
	TargetDown       Kind = "target-down"
	TargetUp         Kind = "target-up"
	TargetLeaving    Kind = "target-leaving"
	SuspectSeen      Kind = "suspect-seen"
	StoreDown        Kind = "store-down"
	StoreUp          Kind = "store-up"
	SlotsTaken       Kind = "slots-taken"
	ProcessStarted   Kind = "process-started"
	ProcessStopping  Kind = "process-stopping"

	counterBits     = 12          // lowest bits of a clock value, which count events within a microsecond
	maxClockSkew    = time.Minute // a clock further ahead of the time than this is ignored
	defaultCapacity = 8192        // events that a ring keeps
)

// Event is an event to record; fields that do not apply to its kind are empty.
type Event struct {
	Kind      Kind
	RequestID string
	Customer  string
	Target    string
	Model     string
	Detail    string
}

// Ring keeps the latest events. It stamps them with a hybrid logical clock, so that a cause sorts before its effect
// even if they are recorded by different processes.
type Ring struct {
	mu       sync.Mutex
	events   []*wire.Event
	recorded uint64 // number of events recorded so far, which is also the sequence number of the latest
	clock    uint64 // microseconds since 1970 in the upper bits, a counter in the lowest counterBits
	capacity uint64
	now      func() time.Time
}

// New returns a ring that keeps capacity events, or a default number if capacity is not positive, and reads the time
// from now.
func New(capacity int, now func() time.Time) *Ring {
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return &Ring{events: make([]*wire.Event, capacity), capacity: uint64(capacity), now: now}
}

// Add records an event, counts it by kind in the metrics and returns its clock.
func (r *Ring) Add(event Event) uint64 {
	metrics.GetOrCreateCounter(`gypsumbank_events_total{kind="` + string(event.Kind) + `"}`).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	clock := r.advanceClock()
	r.events[r.recorded%r.capacity] = &wire.Event{
		Sequence:  r.recorded + 1,
		Clock:     clock,
		Kind:      string(event.Kind),
		RequestId: event.RequestID,
		Customer:  event.Customer,
		Target:    event.Target,
		Model:     event.Model,
		Detail:    event.Detail,
	}
	r.recorded++
	return clock
}

// NextClock advances the clock and returns the value to send with a message.
func (r *Ring) NextClock() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advanceClock()
}

// Observe advances the clock to that of a received message, unless that is more than maxClockSkew ahead of the time.
func (r *Ring) Observe(clock uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clock <= ClockOf(r.now().Add(maxClockSkew)) {
		r.clock = max(r.clock, clock)
	}
}

// After returns the kept events whose sequence numbers are above sequence, and how many such events were overwritten.
func (r *Ring) After(sequence uint64) (events []*wire.Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := uint64(0)
	if r.recorded > r.capacity {
		oldest = r.recorded - r.capacity
	}
	if sequence < oldest {
		dropped = oldest - sequence
		sequence = oldest
	}
	for i := sequence; i < r.recorded; i++ {
		events = append(events, r.events[i%r.capacity])
	}
	return events, dropped
}

// Time returns the physical part of a clock value as a time.
func Time(clock uint64) time.Time { return time.UnixMicro(int64(clock >> counterBits)) }

// ClockOf returns the lowest clock value of a time.
func ClockOf(at time.Time) uint64 { return uint64(at.UnixMicro()) << counterBits }

// advanceClock moves the clock to the present time, or up by one if it is there or ahead already.
func (r *Ring) advanceClock() uint64 {
	physical := ClockOf(r.now())
	r.clock = max(r.clock+1, physical)
	return r.clock
}

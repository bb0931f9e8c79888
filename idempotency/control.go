package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gypsumbank/table"
)

const (
	tickInterval = 500 * time.Millisecond
	// goneAfter is the time for which an owner must be missing from the list of VMs before it counts as gone.
	goneAfter = 20 * time.Second
	// settleTime is the time for which a replica must be listed before slots are handed over to it.
	settleTime  = 2 * time.Second
	listPage    = 500
	expireEvery = time.Minute
)

// control is the state of the control loop; only that loop uses it.
type control struct {
	heartbeatVersion   uint64
	lastHeartbeat      time.Time
	heartbeatKnown     bool // the predecessor's heartbeat has been read
	heartbeatUncertain bool // a write failed, so a read must succeed before the next
	predecessor        *heartbeat
	lastExpire         time.Time
	firstSeen          map[string]time.Time
	missing            map[string]time.Time
}

func newControl() control {
	return control{firstSeen: map[string]time.Time{}, missing: map[string]time.Time{}}
}

// ownership is the durable assignment of a service's slots.
type ownership struct {
	Slots [SlotCount]owner `json:"slots"`
}

type owner struct {
	Target      string `json:"target,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	UncleanMS   int64  `json:"unclean-ms,omitempty"` // time of the last takeover that may have lost records
}

type heartbeat struct {
	Incarnation uint64 `json:"incarnation"`
	AtMS        int64  `json:"at-ms"`
}

// Run takes, keeps and hands over slots until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Drain refuses new calls, makes all records durable and gives all slots up; it returns ctx's error if that took too
// long.
func (r *Registry) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	for {
		if r.idle() && r.flushPending(ctx) && r.giveUp(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("hand over idempotency keys: %w", ctx.Err())
		case <-time.After(tickInterval / 5):
		}
	}
}

// OwnedSlots returns the number of slots that this target owns and has loaded.
func (r *Registry) OwnedSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, own := range r.owned {
		if own.loaded {
			count++
		}
	}
	return count
}

func (r *Registry) tick(ctx context.Context) {
	r.observe()
	r.renew(ctx)
	r.flushPending(ctx)
	r.expire()
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if !draining {
		r.assign(ctx)
	}
}

func (r *Registry) observe() {
	now := r.now()
	listed := map[string]bool{}
	for _, vm := range r.vms() {
		listed[vm.Name] = true
		if _, ok := r.control.firstSeen[vm.Name]; !ok {
			r.control.firstSeen[vm.Name] = now
		}
		delete(r.control.missing, vm.Name)
	}
	if len(listed) == 0 {
		r.control.missing = map[string]time.Time{}
		return
	}
	r.mu.Lock()
	owners := r.owners
	r.mu.Unlock()
	for _, name := range owners {
		if _, since := r.control.missing[name]; name != "" && !listed[name] && !since {
			r.control.missing[name] = now
		}
	}
}

// renew writes the heartbeat from which a later owner tells until when calls ran only with claims.
func (r *Registry) renew(ctx context.Context) {
	if r.now().Sub(r.control.lastHeartbeat) < renewInterval {
		return
	}
	if (!r.control.heartbeatKnown || r.control.heartbeatUncertain) && !r.readHeartbeat(ctx) {
		return
	}
	sent := r.now()
	r.mu.Lock()
	r.renewed = sent
	r.mu.Unlock()
	value, _ := json.Marshal(heartbeat{Incarnation: r.incarnation, AtMS: sent.UnixMilli()})
	put := table.Put{Key: r.heartbeatKey(r.target), Value: value, IfVersion: r.control.heartbeatVersion}
	if err := r.table.Write(ctx, table.Transaction{Puts: []table.Put{put}}); err != nil {
		r.control.heartbeatUncertain = true
		return
	}
	r.control.heartbeatUncertain = !r.readHeartbeat(ctx)
	r.control.lastHeartbeat = sent
}

func (r *Registry) readHeartbeat(ctx context.Context) bool {
	item, err := r.table.Get(ctx, r.heartbeatKey(r.target))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return false
	}
	r.control.heartbeatVersion = item.Version
	if !r.control.heartbeatKnown && err == nil {
		var last heartbeat
		if err := json.Unmarshal(item.Value, &last); err != nil {
			r.log.WithError(err).Error("heartbeat cannot be read")
		}
		r.control.predecessor = &last
	}
	r.control.heartbeatKnown = true
	return true
}

func (r *Registry) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for number := range r.owned {
		if r.runningIn(number) {
			return false
		}
	}
	return true
}

func (r *Registry) runningIn(number int) bool {
	for _, known := range r.records {
		if known.slot == number && known.status == started && !known.inherited {
			return true
		}
	}
	return false
}

func (r *Registry) flushPending(ctx context.Context) bool {
	r.mu.Lock()
	waiting := make([]*record, 0, len(r.pending))
	for _, known := range r.pending {
		waiting = append(waiting, known)
	}
	r.mu.Unlock()
	for _, known := range waiting {
		r.flush(ctx, known)
		if !r.table.Up() {
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) == 0
}

func (r *Registry) flushSlots(ctx context.Context, given []int) bool {
	return len(given) == 0 || r.flushPending(ctx)
}

func (r *Registry) expire() {
	now := r.now()
	if now.Sub(r.control.lastExpire) < expireEvery {
		return
	}
	r.control.lastExpire = now
	r.mu.Lock()
	defer r.mu.Unlock()
	for hash, known := range r.records {
		if known.status != started && now.Sub(known.touched) > r.config.KeyRetention {
			delete(r.records, hash)
		}
	}
}

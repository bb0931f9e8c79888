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
	controlInterval = 500 * time.Millisecond
	// missingOwnerTimeout is the time for which an owner must be missing from the list of VMs before its slots are taken.
	missingOwnerTimeout = 20 * time.Second
	// minListedTime is the time for which a replica must be listed before slots are handed over to it.
	minListedTime  = 2 * time.Second
	claimsPerPage  = 500 // read from the table in one call
	expireInterval = time.Minute
)

// controlState is the state of the control loop, which only the goroutine of that loop may use.
type controlState struct {
	heartbeatVersion     uint64
	lastHeartbeatAt      time.Time
	predecessorRead      bool       // predecessorHeartbeat has been read, even if there was none
	heartbeatUncertain   bool       // heartbeatVersion may be out of date, so it must be read before the next write
	predecessorHeartbeat *heartbeat // last one of the target's earlier incarnation; nil if there was none
	lastExpiryAt         time.Time
	firstListedAt        map[string]time.Time // by replica
	missingSince         map[string]time.Time // by owner that is not listed
}

func newControlState() controlState {
	return controlState{firstListedAt: map[string]time.Time{}, missingSince: map[string]time.Time{}}
}

// slotAssignment is the stored assignment of a service's slots to replicas; a slot without an owner has an empty
// target.
type slotAssignment struct {
	Slots [SlotCount]slotOwner `json:"slots"`
}

type slotOwner struct {
	Target                string `json:"target,omitempty"`
	Incarnation           uint64 `json:"incarnation,omitempty"`
	UncleanTakeoverUnixMS int64  `json:"unclean-ms,omitempty"` // Unix time of the last takeover after which claims may be missing; 0 if none
}

// heartbeat is the time that an owner renews in the table; while it is recent, the owner runs calls only with claims.
type heartbeat struct {
	Incarnation uint64 `json:"incarnation"`
	AtUnixMS    int64  `json:"at-ms"`
}

// Run takes slots, renews the heartbeat, writes pending records and hands slots over until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
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

// Drain refuses new calls, waits for running ones, writes all pending records to the table and releases all slots. It
// returns an error that wraps that of ctx if ctx ends first.
func (r *Registry) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	for {
		if r.idle() && r.flushPending(ctx) && r.releaseSlots(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("hand over idempotency keys to other replicas: %w", ctx.Err())
		case <-time.After(controlInterval / 5):
		}
	}
}

// OwnedSlots returns the number of slots that this target owns and for which it accepts calls.
func (r *Registry) OwnedSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, owned := range r.ownedSlots {
		if owned.loaded {
			count++
		}
	}
	return count
}

func (r *Registry) tick(ctx context.Context) {
	r.observeReplicas()
	r.renewHeartbeat(ctx)
	r.flushPending(ctx)
	r.expireRecords()
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if !draining {
		r.updateAssignment(ctx)
	}
}

// observeReplicas notes when replicas were first listed and since when owners are missing from the list. An empty list
// says nothing about any replica, so it resets the times of missing owners.
func (r *Registry) observeReplicas() {
	now := r.now()
	listed := map[string]bool{}
	for _, vm := range r.listReplicas() {
		listed[vm.Name] = true
		if _, ok := r.control.firstListedAt[vm.Name]; !ok {
			r.control.firstListedAt[vm.Name] = now
		}
		delete(r.control.missingSince, vm.Name)
	}
	if len(listed) == 0 {
		r.control.missingSince = map[string]time.Time{}
		return
	}
	r.mu.Lock()
	owners := r.slotOwners
	r.mu.Unlock()
	for _, name := range owners {
		if _, alreadyMissing := r.control.missingSince[name]; name != "" && !listed[name] && !alreadyMissing {
			r.control.missingSince[name] = now
		}
	}
}

// renewHeartbeat writes the heartbeat from which a later owner sees until when calls ran only with claims.
func (r *Registry) renewHeartbeat(ctx context.Context) {
	if r.now().Sub(r.control.lastHeartbeatAt) < heartbeatInterval {
		return
	}
	if (!r.control.predecessorRead || r.control.heartbeatUncertain) && !r.readOwnHeartbeat(ctx) {
		return
	}
	sentAt := r.now()
	r.mu.Lock()
	r.lastHeartbeatSentAt = sentAt
	r.mu.Unlock()
	value, _ := json.Marshal(heartbeat{Incarnation: r.incarnation, AtUnixMS: sentAt.UnixMilli()})
	put := table.Put{Key: r.heartbeatKey(r.target), Value: value, IfVersion: r.control.heartbeatVersion}
	if err := r.table.Write(ctx, table.Transaction{Puts: []table.Put{put}}); err != nil {
		r.control.heartbeatUncertain = true
		return
	}
	r.control.heartbeatUncertain = !r.readOwnHeartbeat(ctx)
	r.control.lastHeartbeatAt = sentAt
}

// readOwnHeartbeat reads the version of this target's heartbeat and, the first time, the heartbeat of its earlier
// incarnation. It reports whether the table answered.
func (r *Registry) readOwnHeartbeat(ctx context.Context) bool {
	item, err := r.table.Get(ctx, r.heartbeatKey(r.target))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return false
	}
	r.control.heartbeatVersion = item.Version
	if !r.control.predecessorRead && err == nil {
		var predecessor heartbeat
		if err := json.Unmarshal(item.Value, &predecessor); err != nil {
			r.log.WithError(err).Error("heartbeat of the earlier incarnation cannot be decoded")
		}
		r.control.predecessorHeartbeat = &predecessor
	}
	r.control.predecessorRead = true
	return true
}

// idle reports whether no call is running in any owned slot.
func (r *Registry) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for slotNumber := range r.ownedSlots {
		if r.callRunningIn(slotNumber) {
			return false
		}
	}
	return true
}

// callRunningIn reports whether a call is running in a slot; a record from the table is no call of this incarnation.
func (r *Registry) callRunningIn(slotNumber int) bool {
	for _, rec := range r.records {
		if rec.slot == slotNumber && rec.status == statusStarted && !rec.fromTable {
			return true
		}
	}
	return false
}

// flushPending writes the pending records to the table and reports whether none is left.
func (r *Registry) flushPending(ctx context.Context) bool {
	r.mu.Lock()
	toFlush := make([]*record, 0, len(r.pending))
	for _, rec := range r.pending {
		toFlush = append(toFlush, rec)
	}
	r.mu.Unlock()
	for _, rec := range toFlush {
		r.flushRecord(ctx, rec)
		if !r.table.Up() {
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) == 0
}

// flushBeforeHandover writes the pending records if slots are to be released, so that their next owner finds them, and
// reports whether none is left.
func (r *Registry) flushBeforeHandover(ctx context.Context, closed []int) bool {
	return len(closed) == 0 || r.flushPending(ctx)
}

// expireRecords drops records that are older than the retention of keys, unless their call may still be running.
func (r *Registry) expireRecords() {
	now := r.now()
	if now.Sub(r.control.lastExpiryAt) < expireInterval {
		return
	}
	r.control.lastExpiryAt = now
	r.mu.Lock()
	defer r.mu.Unlock()
	for hash, rec := range r.records {
		if rec.status != statusStarted && now.Sub(rec.updatedAt) > r.config.KeyRetention {
			delete(r.records, hash)
		}
	}
}

package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gypsumbank/placement"
	"gypsumbank/table"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
)

// updateAssignment takes the slots that this target should own, releases those that another replica should own, and
// brings the owned slots in line with the assignment in the table. Before slots are released, they are closed for new
// calls and all records are written.
func (r *Registry) updateAssignment(ctx context.Context) {
	current, version, ok := r.readAssignment(ctx)
	if !ok {
		return
	}
	next := current
	if !r.control.predecessorRead {
		return
	}
	taken := r.takeFreeSlots(ctx, &next)
	closed := r.closeSlotsForHandover(&next)
	if len(taken) == 0 && len(closed) == 0 {
		r.adoptAssignment(ctx, current)
		return
	}
	if !r.flushBeforeHandover(ctx, closed) {
		r.reopenSlots(closed)
		return
	}
	err := r.writeAssignment(ctx, next, version)
	if errors.Is(err, table.ErrUnavailable) {
		// The write may have taken effect, so the closed slots stay closed until the assignment has been read again.
		return
	}
	if errors.Is(err, table.ErrConflict) {
		r.reopenSlots(closed)
		return
	}
	r.adoptAssignment(ctx, next)
}

// takeFreeSlots makes this target the owner, in next, of the slots of its own earlier incarnations and of slots without
// a running owner for which it is the preferred replica: those that were released and those whose owner is gone. It
// returns the numbers of these slots.
func (r *Registry) takeFreeSlots(ctx context.Context, next *slotAssignment) []int {
	preferredReplica := r.preferredReplicaBySlot()
	var taken []int
	for slotNumber := range next.Slots {
		owner := &next.Slots[slotNumber]
		if owner.Target == r.target && owner.Incarnation == r.incarnation {
			continue
		}
		preferredHere := preferredReplica(slotNumber) == r.target
		switch {
		case owner.Target == "" && preferredHere:
		case owner.Target == r.target && owner.Incarnation < r.incarnation:
			owner.UncleanTakeoverUnixMS = r.uncleanTakeoverUnixMS(ctx, owner.Target, owner.UncleanTakeoverUnixMS)
		case preferredHere && r.ownerGone(owner.Target):
			owner.UncleanTakeoverUnixMS = r.uncleanTakeoverUnixMS(ctx, owner.Target, owner.UncleanTakeoverUnixMS)
		default:
			continue
		}
		owner.Target, owner.Incarnation = r.target, r.incarnation
		taken = append(taken, slotNumber)
	}
	return taken
}

// uncleanTakeoverUnixMS returns the present time if the earlier owner may have run calls without claims, else the time
// of the previous unclean takeover. The earlier owner may have done so if its last heartbeat is absent, unreadable or,
// allowing for clock skew, older than unclaimedRunsAfter.
func (r *Registry) uncleanTakeoverUnixMS(ctx context.Context, target string, previousUnixMS int64) int64 {
	now := r.now()
	lastHeartbeat := r.control.predecessorHeartbeat
	if target != r.target {
		lastHeartbeat = r.readHeartbeatOf(ctx, target)
	}
	if lastHeartbeat == nil || now.Sub(time.UnixMilli(lastHeartbeat.AtUnixMS)) >= unclaimedRunsAfter-clockSkew {
		return now.UnixMilli()
	}
	return previousUnixMS
}

// readHeartbeatOf returns the last heartbeat of a target, or nil if it cannot be read or decoded.
func (r *Registry) readHeartbeatOf(ctx context.Context, target string) *heartbeat {
	item, err := r.table.Get(ctx, r.heartbeatKey(target))
	if err != nil {
		return nil
	}
	var lastHeartbeat heartbeat
	if err := json.Unmarshal(item.Value, &lastHeartbeat); err != nil {
		return nil
	}
	return &lastHeartbeat
}

// closeSlotsForHandover closes the owned slots for which another replica is preferred and in which no call is running.
// It removes the owner from next and returns the numbers of these slots.
func (r *Registry) closeSlotsForHandover(next *slotAssignment) []int {
	preferredReplica := r.preferredReplicaBySlot()
	r.mu.Lock()
	defer r.mu.Unlock()
	var closed []int
	for slotNumber := range next.Slots {
		owner := &next.Slots[slotNumber]
		if owner.Target != r.target || owner.Incarnation != r.incarnation {
			continue
		}
		owned, ok := r.ownedSlots[slotNumber]
		preferred := preferredReplica(slotNumber)
		if !ok || preferred == "" || preferred == r.target || r.callRunningIn(slotNumber) {
			continue
		}
		owned.loaded = false
		owner.Target, owner.Incarnation = "", 0
		closed = append(closed, slotNumber)
	}
	return closed
}

// reopenSlots accepts calls again for slots that were closed but not released.
func (r *Registry) reopenSlots(closed []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, slotNumber := range closed {
		if owned, ok := r.ownedSlots[slotNumber]; ok {
			owned.loaded = true
		}
	}
}

// preferredReplicaBySlot returns a function from a slot to the replica that ranks highest for it among this target and
// the replicas that have been listed for minListedTime and are not leaving. The result may be empty.
func (r *Registry) preferredReplicaBySlot() func(int) string {
	var names []string
	for _, vm := range r.listReplicas() {
		listedLongEnough := r.now().Sub(r.control.firstListedAt[vm.Name]) >= minListedTime
		if !vm.Leaving && (listedLongEnough || vm.Name == r.target) {
			names = append(names, vm.Name)
		}
	}
	return func(slotNumber int) string {
		best := ""
		for _, name := range names {
			if best == "" || placement.RanksHigher(slotName(r.config.Service, slotNumber), name, best) {
				best = name
			}
		}
		return best
	}
}

// PreferredReplica returns the replica in vms that most likely owns the slot of a key, for callers that do not know the
// owner. The result is empty if every replica is leaving.
func PreferredReplica(service string, key Key, vms []vmlist.VM) string {
	best := ""
	for _, vm := range vms {
		if !vm.Leaving && (best == "" || placement.RanksHigher(slotName(service, key.Slot()), vm.Name, best)) {
			best = vm.Name
		}
	}
	return best
}

// slotName returns the name by which replicas are ranked for a slot.
func slotName(service string, slotNumber int) string {
	return fmt.Sprintf("%s/%02d", service, slotNumber)
}

// ownerGone reports whether an owner has been missing from the list of VMs for so long that its slots may be taken.
func (r *Registry) ownerGone(target string) bool {
	since, ok := r.control.missingSince[target]
	return ok && r.now().Sub(since) >= missingOwnerTimeout
}

// adoptAssignment brings the owned slots in line with the assignment in the table. It loads the claims of slots that
// are new or closed and forgets slots that have another owner.
func (r *Registry) adoptAssignment(ctx context.Context, current slotAssignment) {
	r.mu.Lock()
	var toLoad []int
	for slotNumber, owner := range current.Slots {
		r.slotOwners[slotNumber] = owner.Target
		ownedHere := owner.Target == r.target && owner.Incarnation == r.incarnation
		owned, ok := r.ownedSlots[slotNumber]
		switch {
		case ownedHere && !ok:
			owned = &ownedSlot{}
			if owner.UncleanTakeoverUnixMS > 0 {
				owned.uncleanTakeoverAt = time.UnixMilli(owner.UncleanTakeoverUnixMS)
			}
			r.ownedSlots[slotNumber] = owned
			toLoad = append(toLoad, slotNumber)
		case ownedHere && !owned.loaded:
			toLoad = append(toLoad, slotNumber)
		case !ownedHere && ok:
			delete(r.ownedSlots, slotNumber)
			r.forgetSlot(slotNumber)
		}
	}
	r.mu.Unlock()
	for _, slotNumber := range toLoad {
		r.loadSlot(ctx, slotNumber)
	}
}

// loadSlot reads all claims of a slot into memory and then opens the slot for calls. With all claims loaded, a key
// without a record is known not to have been claimed.
func (r *Registry) loadSlot(ctx context.Context, slotNumber int) {
	prefix := fmt.Sprintf("claims/%s/%02d/", r.config.Service, slotNumber)
	after := ""
	for {
		items, err := r.table.List(ctx, prefix, after, claimsPerPage)
		if err != nil {
			return
		}
		for _, item := range items {
			r.addStoredClaim(slotNumber, prefix, item)
			after = item.Key
		}
		if len(items) < claimsPerPage {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if owned, ok := r.ownedSlots[slotNumber]; ok {
		owned.loaded = true
		r.ring.Add(timeline.Event{Kind: timeline.SlotsTaken, Target: r.target, Detail: slotName(r.config.Service, slotNumber)})
	}
}

// addStoredClaim adds the record of a claim in the table, unless there is one in memory already. A claim that cannot be
// decoded gets a record as well, so that its call does not run again.
func (r *Registry) addStoredClaim(slotNumber int, prefix string, item table.Item) {
	stored, err := decodeClaim(item)
	if err != nil {
		r.log.WithError(err).Error("claim in the table cannot be decoded, its call will not run again")
		stored = claim{Status: statusUnknown}
	}
	hash := item.Key[len(prefix):]
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.records[hash]; ok || stored.Status == statusAborted {
		return
	}
	rec := &record{hash: hash, slot: slotNumber, finished: make(chan struct{}), updatedAt: r.now()}
	rec.applyClaim(stored, item.Version)
	close(rec.finished)
	r.records[hash] = rec
}

// forgetSlot drops the records of a slot; r.mu must be held.
func (r *Registry) forgetSlot(slotNumber int) {
	for hash, rec := range r.records {
		if rec.slot == slotNumber {
			delete(r.records, hash)
		}
	}
}

// readAssignment returns the assignment in the table and its version, and whether it could be read.
func (r *Registry) readAssignment(ctx context.Context) (slotAssignment, uint64, bool) {
	item, err := r.table.Get(ctx, r.assignmentKey())
	if errors.Is(err, table.ErrNotFound) {
		return slotAssignment{}, 0, true
	}
	if err != nil {
		return slotAssignment{}, 0, false
	}
	var current slotAssignment
	if err := json.Unmarshal(item.Value, &current); err != nil {
		r.log.WithError(err).Error("assignment of slots in the table cannot be decoded")
		return slotAssignment{}, 0, false
	}
	return current, item.Version, true
}

func (r *Registry) writeAssignment(ctx context.Context, next slotAssignment, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the assignment of slots: %w", err)
	}
	put := table.Put{Key: r.assignmentKey(), Value: value, IfVersion: version}
	return r.table.Write(ctx, table.Transaction{Puts: []table.Put{put}})
}

// releaseSlots removes this incarnation from the assignment in the table and reports whether that is done.
func (r *Registry) releaseSlots(ctx context.Context) bool {
	current, version, ok := r.readAssignment(ctx)
	if !ok {
		return false
	}
	next := current
	for slotNumber := range next.Slots {
		owner := &next.Slots[slotNumber]
		if owner.Target == r.target && owner.Incarnation == r.incarnation {
			owner.Target, owner.Incarnation = "", 0
		}
	}
	if next == current {
		return true
	}
	return r.writeAssignment(ctx, next, version) == nil
}

func (r *Registry) assignmentKey() string { return "slots/" + r.config.Service }

func (r *Registry) heartbeatKey(target string) string {
	return fmt.Sprintf("owners/%s/%s", r.config.Service, target)
}

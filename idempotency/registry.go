package idempotency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/service"
	"gypsumbank/settings"
	"gypsumbank/table"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
)

const (
	heartbeatInterval = 2 * time.Second
	// unclaimedRunsAfter is the time since the last heartbeat after which calls run without a claim if the table does not
	// answer.
	unclaimedRunsAfter = 15 * time.Second
	// clockSkew is the largest difference allowed for between the clocks of two VMs, or of a VM and a caller.
	clockSkew            = 2 * time.Second
	retryAfter           = time.Second
	maxStoredAnswerBytes = 16 << 10 // longer answers are not kept
)

// Registry owns some of the slots of a service's keys and holds the records of calls with these keys.
type Registry struct {
	table        *table.Client
	config       settings.Sidecar
	target       string
	incarnation  uint64
	listReplicas func() []vmlist.VM
	ring         *timeline.Ring
	log          *logrus.Entry
	now          func() time.Time

	mu                  sync.Mutex
	ownedSlots          map[int]*ownedSlot
	slotOwners          [SlotCount]string  // owning targets in the assignment read last
	records             map[string]*record // by hash of the key
	pending             map[string]*record // not yet in the table with their final state, by hash of the key
	lastHeartbeatSentAt time.Time          // send time of the latest heartbeat, even if its write may have failed
	lastAttempt         uint64
	draining            bool

	control controlState
}

// ownedSlot is a slot that this target owns.
type ownedSlot struct {
	loaded            bool      // the slot's claims are in memory and it accepts calls
	uncleanTakeoverAt time.Time // last takeover from an owner that may have run calls without claims; zero if none
}

// status is the state of a call with a key.
type status string

const (
	statusStarted status = "started" // the call may be running or have run
	statusDone    status = "done"    // the call has run and the answer is known
	statusUnknown status = "unknown" // the call was sent and no answer came
	statusAborted status = "aborted" // the call was certainly not run
)

// record is the state in memory of a call with a key.
type record struct {
	hash      string
	slot      int
	attempt   uint64
	digest    uint64 // of the request
	status    status
	answer    *service.Answer // nil if there is none or it is too large to keep
	fromTable bool            // read from a claim, so its call does not run here
	version   uint64          // version of the claim in the table; 0 if absent or not known
	finished  chan struct{}   // closed unless the call is running here
	updatedAt time.Time
}

// New returns the registry of one incarnation of a target. The function listReplicas returns the listed replicas of its
// service.
func New(client *table.Client, config settings.Sidecar, target string, incarnation uint64, listReplicas func() []vmlist.VM, ring *timeline.Ring, log *logrus.Entry) *Registry {
	return &Registry{
		table:        client,
		config:       config,
		target:       target,
		incarnation:  incarnation,
		listReplicas: listReplicas,
		ring:         ring,
		log:          log,
		now:          time.Now,
		ownedSlots:   map[int]*ownedSlot{},
		records:      map[string]*record{},
		pending:      map[string]*record{},
		control:      newControlState(),
	}
}

// Begin decides whether a call may run. The digest identifies the content of the call. If a call with the same key is
// running, Begin waits for its end.
func (r *Registry) Begin(ctx context.Context, key Key, digest uint64) Decision {
	for {
		rec, decision := r.lookUpOrAdd(key, digest)
		if decision != nil {
			return decision
		}
		if rec.status != "" {
			return r.writeClaim(ctx, rec)
		}
		select {
		case <-rec.finished:
		case <-ctx.Done():
			return Unknown{Detail: "the first call with this key is still running"}
		}
	}
}

// Finish records the outcome of a call that Begin allowed to run: its answer, or an error that wraps service.ErrNotSent
// or service.ErrNoAnswer.
func (r *Registry) Finish(ctx context.Context, run Run, answer service.Answer, err error) {
	rec := run.record
	r.mu.Lock()
	switch {
	case err == nil:
		rec.status = statusDone
		if len(answer.Body) <= maxStoredAnswerBytes {
			rec.answer = &answer
		}
	case errors.Is(err, service.ErrNotSent):
		rec.status = statusAborted
		delete(r.records, rec.hash)
	default:
		rec.status = statusUnknown
	}
	rec.updatedAt = r.now()
	r.pending[rec.hash] = rec
	close(rec.finished)
	r.mu.Unlock()
	if r.table.Up() {
		r.flushRecord(ctx, rec)
	}
}

// lookUpOrAdd returns a decision, or a record: the new record of the first call with a key, or, with an empty status,
// one whose finished channel closes when the running call with the key ends.
func (r *Registry) lookUpOrAdd(key Key, digest uint64) (*record, Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slotNumber := key.Slot()
	owned, ok := r.ownedSlots[slotNumber]
	if !ok {
		return nil, NotOwner{Owner: r.slotOwners[slotNumber]}
	}
	if !owned.loaded || r.draining {
		return nil, NotReady{Detail: "keys are being handed over", RetryAfter: retryAfter}
	}
	if rec, ok := r.records[key.hash]; ok {
		return r.decideExisting(rec, digest)
	}
	if decision := r.decideForgotten(key, owned); decision != nil {
		return nil, decision
	}
	r.lastAttempt++
	rec := &record{
		hash:      key.hash,
		attempt:   r.lastAttempt,
		slot:      slotNumber,
		digest:    digest,
		status:    statusStarted,
		finished:  make(chan struct{}),
		updatedAt: r.now(),
	}
	r.records[key.hash] = rec
	return rec, nil
}

// decideExisting returns the decision for a key that has a record, or, while its call is running, a record with an
// empty status to wait for.
func (r *Registry) decideExisting(rec *record, digest uint64) (*record, Decision) {
	if rec.digest != digest {
		return nil, Mismatch{}
	}
	switch rec.status {
	case statusDone:
		return nil, Replay{Answer: rec.answer}
	case statusStarted:
		if !rec.fromTable {
			return &record{finished: rec.finished}, nil
		}
	case statusUnknown, statusAborted:
	}
	return nil, Unknown{Detail: "the call was sent before and no answer came"}
}

// decideForgotten returns a decision if a call with a key that has no record may have run all the same: if the key is
// older than the retention of keys, or may be older than an unclean takeover of its slot. A key that does not tell its
// age counts as older until the retry window for such keys has passed since the takeover.
func (r *Registry) decideForgotten(key Key, owned *ownedSlot) Decision {
	now := r.now()
	if !key.createdAt.IsZero() && now.Sub(key.createdAt) > r.config.KeyRetention {
		return Unknown{Detail: "the key is older than the retention of keys"}
	}
	if owned.uncleanTakeoverAt.IsZero() {
		return nil
	}
	if key.createdAt.IsZero() && now.Sub(owned.uncleanTakeoverAt) > r.config.OpaqueRetryWindow {
		return nil
	}
	if !key.createdAt.IsZero() && key.createdAt.After(owned.uncleanTakeoverAt.Add(clockSkew)) {
		return nil
	}
	return Unknown{Detail: "the key's earlier owner was lost while the table was out of its reach"}
}

// writeClaim decides about a new record. The call may run once its claim is in the table, or without a claim if the
// table has not answered for long enough.
func (r *Registry) writeClaim(ctx context.Context, rec *record) Decision {
	if r.table.Up() {
		err := r.table.Write(ctx, table.Transaction{Puts: []table.Put{r.claimPut(rec)}})
		if err == nil {
			return Run{record: rec}
		}
		if errors.Is(err, table.ErrConflict) {
			return r.adoptClaim(ctx, rec)
		}
		r.log.WithError(err).Warn("claim not written to the table")
	}
	if r.mayRunUnclaimed() {
		r.mu.Lock()
		r.pending[rec.hash] = rec
		r.mu.Unlock()
		return Run{record: rec}
	}
	r.abortRecord(rec)
	return NotReady{Detail: "the table service does not answer", RetryAfter: unclaimedRunsAfter}
}

// adoptClaim decides about a new record whose key turned out to have a claim in the table already. A reusable claim is
// replaced; any other one becomes the state of the record.
func (r *Registry) adoptClaim(ctx context.Context, rec *record) Decision {
	item, err := r.table.Get(ctx, r.claimKey(rec))
	if err != nil {
		r.abortRecord(rec)
		return NotReady{Detail: "the claim cannot be read", RetryAfter: retryAfter}
	}
	stored, err := decodeClaim(item)
	if err != nil {
		r.abortRecord(rec)
		return Unknown{Detail: err.Error()}
	}
	if stored.reusable(r.incarnation) {
		rec.version = item.Version
		return r.writeClaim(ctx, rec)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := rec.digest
	rec.applyClaim(stored, item.Version)
	close(rec.finished)
	_, decision := r.decideExisting(rec, digest)
	return decision
}

// abortRecord drops the record of a call that is not run, so that a call waiting for it is decided anew.
func (r *Registry) abortRecord(rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, rec.hash)
	rec.status = statusAborted
	close(rec.finished)
}

// mayRunUnclaimed reports whether calls may run without a claim. They may once the last heartbeat is so old that a
// later owner concludes from it that claims may be missing.
func (r *Registry) mayRunUnclaimed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.lastHeartbeatSentAt) > unclaimedRunsAfter
}

func (r *Registry) claimKey(rec *record) string {
	return fmt.Sprintf("claims/%s/%02d/%s", r.config.Service, rec.slot, rec.hash)
}

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
	renewInterval = 2 * time.Second
	// tablelessAfter is the time without a renewal after which calls run without a claim in the table.
	tablelessAfter = 15 * time.Second
	// clockSkew bounds the difference between the clocks of two VMs and of a caller.
	clockSkew      = 2 * time.Second
	retryAfter     = time.Second
	maxStoredBytes = 16 << 10 // longer answers are not kept
)

// Registry owns a part of a service's keys and remembers what became of them.
type Registry struct {
	table       *table.Client
	config      settings.Sidecar
	target      string
	incarnation uint64
	vms         func() []vmlist.VM
	ring        *timeline.Ring
	log         *logrus.Entry
	now         func() time.Time

	mu       sync.Mutex
	owned    map[int]*slot
	owners   [SlotCount]string
	records  map[string]*record
	pending  map[string]*record
	renewed  time.Time // when the latest heartbeat that may stand in the table was sent
	attempts uint64
	draining bool

	control control
}

// slot is an owned slot; unclean holds the time of a takeover from an owner that may have run calls without claims.
type slot struct {
	loaded  bool
	unclean time.Time
}

type status string

const (
	started status = "started" // the call may be running or have run
	done    status = "done"    // the call has run and the answer is known
	lost    status = "unknown" // the call was sent and no answer came
	aborted status = "aborted" // the call was certainly not run
)

type record struct {
	hash      string
	slot      int
	attempt   uint64
	digest    uint64
	status    status
	answer    *service.Answer
	inherited bool
	version   uint64 // version of the claim in the table; 0 if absent or not known
	finished  chan struct{}
	touched   time.Time
}

// New returns the registry of one incarnation of a target; vms returns the listed replicas of its service.
func New(client *table.Client, config settings.Sidecar, target string, incarnation uint64, vms func() []vmlist.VM, ring *timeline.Ring, log *logrus.Entry) *Registry {
	return &Registry{
		table:       client,
		config:      config,
		target:      target,
		incarnation: incarnation,
		vms:         vms,
		ring:        ring,
		log:         log,
		now:         time.Now,
		owned:       map[int]*slot{},
		records:     map[string]*record{},
		pending:     map[string]*record{},
		control:     newControl(),
	}
}

// Begin decides whether a call may run; digest identifies its content.
func (r *Registry) Begin(ctx context.Context, key Key, digest uint64) Decision {
	for {
		known, decision := r.enter(key, digest)
		if decision != nil {
			return decision
		}
		if known.status != "" {
			return r.claim(ctx, known)
		}
		select {
		case <-known.finished:
		case <-ctx.Done():
			return Unknown{Detail: "the first call with this key is still running"}
		}
	}
}

// Finish ends a call that Begin allowed: with its answer, or with an error that wraps service.ErrNotSent or
// service.ErrNoAnswer.
func (r *Registry) Finish(ctx context.Context, run Run, answer service.Answer, err error) {
	known := run.record
	r.mu.Lock()
	switch {
	case err == nil:
		known.status = done
		if len(answer.Body) <= maxStoredBytes {
			known.answer = &answer
		}
	case errors.Is(err, service.ErrNotSent):
		known.status = aborted
		delete(r.records, known.hash)
	default:
		known.status = lost
	}
	known.touched = r.now()
	r.pending[known.hash] = known
	close(known.finished)
	r.mu.Unlock()
	if r.table.Up() {
		r.flush(ctx, known)
	}
}

// enter returns the new record of a first call, the running record to wait for (with an empty status), or a decision.
func (r *Registry) enter(key Key, digest uint64) (*record, Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := key.Slot()
	own, ok := r.owned[number]
	if !ok {
		return nil, NotOwner{Owner: r.owners[number]}
	}
	if !own.loaded || r.draining {
		return nil, NotReady{Detail: "keys are being handed over", RetryAfter: retryAfter}
	}
	if known, ok := r.records[key.hash]; ok {
		return r.known(known, digest)
	}
	if decision := r.tooOld(key, own); decision != nil {
		return nil, decision
	}
	r.attempts++
	fresh := &record{
		hash:     key.hash,
		attempt:  r.attempts,
		slot:     number,
		digest:   digest,
		status:   started,
		finished: make(chan struct{}),
		touched:  r.now(),
	}
	r.records[key.hash] = fresh
	return fresh, nil
}

func (r *Registry) known(known *record, digest uint64) (*record, Decision) {
	if known.digest != digest {
		return nil, Mismatch{}
	}
	switch known.status {
	case done:
		return nil, Replay{Answer: known.answer}
	case started:
		if !known.inherited {
			return &record{finished: known.finished}, nil
		}
	case lost, aborted:
	}
	return nil, Unknown{Detail: "the call was sent before and no answer came"}
}

// tooOld returns a decision if a call with this key may have run and been forgotten.
func (r *Registry) tooOld(key Key, own *slot) Decision {
	now := r.now()
	if !key.created.IsZero() && now.Sub(key.created) > r.config.KeyRetention {
		return Unknown{Detail: "the key is older than the retention of keys"}
	}
	if own.unclean.IsZero() {
		return nil
	}
	if key.created.IsZero() && now.Sub(own.unclean) > r.config.OpaqueRetryWindow {
		return nil
	}
	if !key.created.IsZero() && key.created.After(own.unclean.Add(clockSkew)) {
		return nil
	}
	return Unknown{Detail: "the key's earlier owner was lost while the table was out of its reach"}
}

// claim makes the right to run durable where the table can be reached.
func (r *Registry) claim(ctx context.Context, fresh *record) Decision {
	if r.table.Up() {
		err := r.table.Write(ctx, table.Transaction{Puts: []table.Put{r.put(fresh)}})
		if err == nil {
			return Run{record: fresh}
		}
		if errors.Is(err, table.ErrConflict) {
			return r.inherit(ctx, fresh)
		}
		r.log.WithError(err).Warn("claim not written")
	}
	if r.tableless() {
		r.mu.Lock()
		r.pending[fresh.hash] = fresh
		r.mu.Unlock()
		return Run{record: fresh}
	}
	r.drop(fresh)
	return NotReady{Detail: "the table service does not answer", RetryAfter: tablelessAfter}
}

// inherit takes over a claim that stands in the table though it is not in memory.
func (r *Registry) inherit(ctx context.Context, fresh *record) Decision {
	item, err := r.table.Get(ctx, r.claimKey(fresh))
	if err != nil {
		r.drop(fresh)
		return NotReady{Detail: "the claim cannot be read", RetryAfter: retryAfter}
	}
	stored, err := decodeClaim(item)
	if err != nil {
		r.drop(fresh)
		return Unknown{Detail: err.Error()}
	}
	if stored.reusable(r.incarnation) {
		fresh.version = item.Version
		return r.claim(ctx, fresh)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := fresh.digest
	fresh.take(stored, item.Version)
	close(fresh.finished)
	_, decision := r.known(fresh, digest)
	return decision
}

func (r *Registry) drop(fresh *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, fresh.hash)
	fresh.status = aborted
	close(fresh.finished)
}

// tableless reports whether calls may run without a claim, which is so once a later owner can see from the last
// renewal that they might have.
func (r *Registry) tableless() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.renewed) > tablelessAfter
}

func (r *Registry) claimKey(known *record) string {
	return fmt.Sprintf("claims/%s/%02d/%s", r.config.Service, known.slot, known.hash)
}

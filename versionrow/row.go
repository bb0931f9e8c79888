package versionrow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
	"gypsumbank/platform"
	"gypsumbank/registry"
	"gypsumbank/servedversions"
)

// Table is the table of the store that holds the row.
const Table = "software-versions"

// Key is the key of the row.
const Key = "served"

// Store is the part of the platform's store that a Row uses.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
	TargetHistory(ctx context.Context, readIn epoch.Epoch) ([]registry.Target, error)
}

// Found is a read of the row and what it proves.
type Found struct {
	Epoch   epoch.Epoch
	BeganAt time.Time
	Proofs  map[string]servedversions.Proof // by service
}

// Row is the row as one process keeps it. Its methods may be called by several goroutines.
type Row struct {
	store Store
	log   *logrus.Entry
	now   func() time.Time

	mu      sync.Mutex
	tracker *servedversions.Tracker
}

// New returns the row of a process that knows nothing of it; now is its clock.
func New(store Store, log *logrus.Entry, now func() time.Time) *Row {
	return &Row{store: store, log: log, now: now, tracker: servedversions.NewTracker()}
}

// Observe records a read of the registry by this process. agentsKeep tells that agents have lately read it for this process, too.
func (r *Row) Observe(targets []registry.Target, readIn epoch.Epoch, readAt time.Time, agentsKeep bool) {
	listed := servedversions.NewListing(targets)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Observe(listed, readIn, readAt, agentsKeep)
}

// ObserveRelayed records a read of the registry by an agent that keeps the row.
func (r *Row) ObserveRelayed(targets []registry.Target, readIn epoch.Epoch, readAt time.Time) {
	listed := servedversions.NewListing(targets)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.ObserveRelayed(listed, readIn, readAt)
}

// Allows reports whether streams that callers may take up may begin at a version of a service.
func (r *Row) Allows(service string, version registry.SoftwareVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Allows(servedversions.Key{Service: service, Version: version})
}

// Covered reports whether the row has all versions that the last read of the registry lists.
func (r *Row) Covered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Covered()
}

// Due reports whether the row is to be read.
func (r *Row) Due() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Due(r.now())
}

// Sync reads the row and writes what it lacks, if the process may write. The error wraps platform.ErrConflict if another process has
// written it meanwhile.
func (r *Row) Sync(ctx context.Context, mayWrite bool) (Found, error) {
	r.mu.Lock()
	read := r.tracker.Begin(r.now())
	r.mu.Unlock()
	began := r.now()
	row, nowMs, err := r.store.Row(ctx, Table, "", Key)
	record, valid := servedversions.New(row.Epoch), true
	switch {
	case errors.Is(err, platform.ErrNotFound):
		row = platform.Row{Table: Table, Key: Key, Epoch: row.Epoch}
	case err != nil:
		return Found{}, fmt.Errorf("read served software versions: %w", err)
	default:
		if record, err = servedversions.Decode(row.Value, row.Epoch, nowMs); err != nil {
			valid = false
			r.log.WithError(err).Warn("stored software versions prove nothing")
		}
	}
	found := Found{Epoch: row.Epoch, BeganAt: began, Proofs: record.Proofs(nowMs)}
	r.mu.Lock()
	next, write := r.tracker.Apply(read, record, nowMs)
	r.mu.Unlock()
	if !write || !mayWrite {
		return found, nil
	}
	if valid && next.NeedsHistory(record, nowMs) {
		if ever, err := r.store.TargetHistory(ctx, row.Epoch); err == nil {
			next = next.WithHistory(record, servedversions.NewListing(ever), nowMs)
		} else {
			r.log.WithError(err).Info("registry's history is not known, stored software versions prove nothing at first")
		}
	}
	if row.Value, err = next.Encode(); err != nil {
		return found, fmt.Errorf("encode served software versions: %w", err)
	}
	if _, err := r.store.CompareAndSwap(ctx, row); err != nil {
		return found, fmt.Errorf("write served software versions: %w", err)
	}
	r.mu.Lock()
	r.tracker.Written(next)
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{"services": next.Services, "epoch": next.Epoch}).Info("served software versions stored")
	return found, nil
}

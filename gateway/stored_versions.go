package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
	"gypsumbank/fleet"
	"gypsumbank/pause"
	"gypsumbank/platform"
	"gypsumbank/propagation"
	"gypsumbank/refresh"
	"gypsumbank/registry"
	"gypsumbank/versionrow"
)

const (
	// versionsReadInterval is the least time between two reads of the row for requests.
	versionsReadInterval = 3 * time.Second
	// versionsCheckInterval is the interval at which the gateway checks whether it has to read the row without a new read of the registry.
	versionsCheckInterval = time.Second
	// versionsReadyTime bounds the time for which a gateway that has just started is not ready as it does not know the row.
	versionsReadyTime = 500 * time.Millisecond
	// versionsRetryInterval is the pause after a read that found a version missing, before jitter.
	versionsRetryInterval = 200 * time.Millisecond
	// versionsAgentTime is how long agents that read the store for the gateway have to write a version before it does.
	versionsAgentTime = time.Second
)

// storedVersions reads the store's row of software versions, and keeps it while no agent does.
type storedVersions struct {
	store   *platform.Store
	row     *versionrow.Row
	fleet   *fleet.Fleet
	relay   *relayedReads
	changes propagation.Budget
	log     *logrus.Entry
	shared  *refresh.Shared
	due     chan struct{} // holds a value after a read of the registry

	mu      sync.Mutex
	epoch   epoch.Epoch // of the last read of the registry
	firstAt time.Time   // when the first read of the registry was put in force
	ready   bool        // checked has returned true
}

func newStoredVersions(store *platform.Store, f *fleet.Fleet, relay *relayedReads, changes propagation.Budget, log *logrus.Entry) *storedVersions {
	v := &storedVersions{store: store, row: versionrow.New(store, log, time.Now), fleet: f, relay: relay, changes: changes, log: log, due: make(chan struct{}, 1)}
	v.shared = refresh.New(func(ctx context.Context) error { return v.sync(ctx, false) }, versionsReadInterval)
	f.UseStoredVersions(v.row.Allows)
	return v
}

// Refresh reads the row, unless it was read a moment ago, and updates the fleet.
func (v *storedVersions) Refresh(ctx context.Context) error { return v.shared.Refresh(ctx) }

// observe records a read of the registry that is about to be put in force.
func (v *storedVersions) observe(targets []registry.Target, read targetsRead) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if read.span.Epoch() != v.epoch {
		v.epoch = read.span.Epoch()
		v.fleet.ForgetStoredVersions()
	}
	if v.firstAt.IsZero() {
		v.firstAt = time.Now()
	}
	if read.byAgent {
		v.row.ObserveRelayed(targets, read.span.Epoch(), read.readAt)
	} else {
		v.row.Observe(targets, read.span.Epoch(), read.readAt, v.relay.isFresh(time.Now()))
	}
	select {
	case v.due <- struct{}{}:
	default:
	}
}

// checked reports whether the row has been found to have all listed versions, or has not been for versionsReadyTime since the first read of
// the registry.
func (v *storedVersions) checked() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ready = v.ready || v.row.Covered() || time.Since(v.firstAt) > versionsReadyTime
	return v.ready
}

// sync reads the row once, writes it if the gateway is to, and updates the fleet.
func (v *storedVersions) sync(ctx context.Context, mayWrite bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*v.store.CallTime(storeTimeout))
	defer cancel()
	found, err := v.row.Sync(ctx, mayWrite)
	v.mu.Lock()
	defer v.mu.Unlock()
	if found.Proofs != nil && found.Epoch == v.epoch {
		v.fleet.SetStoredVersions(found.Proofs, found.BeganAt)
	}
	return err
}

// run reads the row when the gateway has read the registry itself and does not know whether the row has all versions, until ctx ends.
func (v *storedVersions) run(ctx context.Context) error {
	shared := make(chan error, 1)
	go func() { shared <- v.shared.Run(ctx) }()
	lost := false
	retry := newStoreBackoff(v.changes)
	var missingSince time.Time
	for ctx.Err() == nil {
		if !v.row.Due() {
			missingSince = time.Time{}
			select {
			case <-ctx.Done():
			case <-v.due:
			case <-time.After(versionsCheckInterval):
			}
			continue
		}
		if missingSince.IsZero() {
			missingSince = time.Now()
		}
		mayWrite := !v.relay.isFresh(time.Now()) || (!v.row.Covered() && time.Since(missingSince) > versionsAgentTime)
		err := v.sync(ctx, mayWrite)
		if err != nil && !lost && ctx.Err() == nil {
			v.log.WithError(err).Warn("software versions not stored: resumable streams do not begin at versions that the store does not have")
		}
		lost = err != nil
		if lost && !errors.Is(err, platform.ErrConflict) {
			_ = pause.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		_ = pause.For(ctx, versionsRetryInterval/2+rand.N(versionsRetryInterval))
	}
	return <-shared
}

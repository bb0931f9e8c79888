package inventory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
	"gypsumbank/pause"
	"gypsumbank/platform"
)

const (
	table          = "inventories"
	key            = "models"
	storeTimeout   = time.Second
	readRetryDelay = 500 * time.Millisecond
	// writeDelay is the time from a change to its write, so that several changes in a row cost one write.
	writeDelay = 6 * time.Second
	// writeJitter spreads the writes of all agents after a restore of the store.
	writeJitter = time.Second
)

// Store is the subset of the platform's store client that an inventory needs.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
	CallTime(least time.Duration) time.Duration
}

// Inventory maintains the stored list of models of the target at one address. Only the agent of that target writes it.
type Inventory struct {
	store         Store
	targetAddress string
	epochs        *epoch.Tracker
	log           *logrus.Entry
	version       int64        // of the stored row, 0 if there is none
	versionKnown  bool         // false after a write that failed, perhaps only after the store applied it; the row must be read again
	changes       chan []Model // at most one list, the latest that Run has not taken
	previous      chan []Model // the models read at the start of Run, sent once
}

// Model is a model that the target holds, and how much it is used.
type Model struct {
	Name           string  `json:"name"`
	AvgConcurrency float64 `json:"use"` // moving average of concurrent requests
}

// record is the value of the stored row.
type record struct {
	Models []Model `json:"models"`
}

// New returns an inventory for the target at the given address; it does nothing before Run is called. epochs tells when the store
// has come back from an older copy.
func New(store Store, targetAddress string, epochs *epoch.Tracker, log *logrus.Entry) *Inventory {
	return &Inventory{store: store, targetAddress: targetAddress, epochs: epochs, log: log, changes: make(chan []Model, 1), previous: make(chan []Model, 1)}
}

// Previous returns a channel that receives one value: the models that an earlier process recorded, as soon as Run has
// read them from the store.
func (i *Inventory) Previous() <-chan []Model { return i.previous }

// Set replaces the list of models; Run writes it after writeDelay. Set does not block, and only one goroutine may call
// it.
func (i *Inventory) Set(models []Model) {
	for {
		select {
		case i.changes <- models:
			return
		default:
		}
		select {
		case <-i.changes: // drop the list that Run has not taken
		default:
		}
	}
}

// Run reads the stored record and then writes changes until ctx ends, and what it has written once more after the store has come
// back from an older copy. It returns the error of ctx.
func (i *Inventory) Run(ctx context.Context) error {
	_, restored := i.epochs.Current()
	written, err := i.readWithRetries(ctx)
	if err != nil {
		return err
	}
	i.previous <- written
	for {
		var models []Model
		delay := writeDelay
		select {
		case <-ctx.Done():
			return ctx.Err()
		case models = <-i.changes:
		case <-restored:
			_, restored = i.epochs.Current()
			models, written, i.versionKnown = written, nil, false
			delay += rand.N(writeJitter)
		}
		if err := pause.For(ctx, delay); err != nil {
			return err
		}
		models = i.latest(models)
		if slices.Equal(models, written) {
			continue
		}
		if err := i.write(ctx, models); err != nil {
			i.log.WithError(err).Info("inventory not written")
			i.requeue(models)
			continue
		}
		written = models
	}
}

// latest returns the list of a newer change if there is one, else models.
func (i *Inventory) latest(models []Model) []Model {
	select {
	case models = <-i.changes:
	default:
	}
	return models
}

// requeue schedules models for another write unless there is a newer change.
func (i *Inventory) requeue(models []Model) {
	select {
	case i.changes <- models:
	default:
	}
}

// readWithRetries reads the stored models and repeats the read until it succeeds or ctx ends.
func (i *Inventory) readWithRetries(ctx context.Context) ([]Model, error) {
	for {
		row, stored, err := i.readRow(ctx)
		if err == nil {
			i.version, i.versionKnown = row.Version, true
			return stored.Models, nil
		}
		i.log.WithError(err).Info("inventory not read from the store, retrying")
		if err := pause.For(ctx, readRetryDelay); err != nil {
			return nil, err
		}
	}
}

// readRow returns the stored row with its decoded value. A missing row or an unreadable value counts as an empty
// record.
func (i *Inventory) readRow(ctx context.Context) (platform.Row, record, error) {
	callCtx, cancel := context.WithTimeout(ctx, i.store.CallTime(storeTimeout))
	defer cancel()
	row, _, err := i.store.Row(callCtx, table, i.targetAddress, key)
	var stored record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return platform.Row{Table: table, Part: i.targetAddress, Key: key}, stored, nil
	case err != nil:
		return row, stored, err
	}
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		i.log.WithError(err).Warn("stored inventory cannot be decoded and will be replaced")
	}
	return row, stored, nil
}

// write replaces the stored row. The store rejects a version that is not the current one, so the row is read again if
// the version is not known.
func (i *Inventory) write(ctx context.Context, models []Model) (err error) {
	row := platform.Row{Table: table, Part: i.targetAddress, Key: key, Version: i.version}
	if !i.versionKnown {
		if row, _, err = i.readRow(ctx); err != nil {
			return err
		}
	}
	if row.Value, err = json.Marshal(record{Models: models}); err != nil {
		return fmt.Errorf("encode inventory: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, i.store.CallTime(storeTimeout))
	defer cancel()
	i.version, err = i.store.CompareAndSwap(callCtx, row)
	i.versionKnown = err == nil
	return err
}

package inventory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/pause"
	"gypsumbank/platform"
)

const (
	table        = "inventories"
	key          = "models"
	storeTimeout = time.Second
	retryPause   = 500 * time.Millisecond
	// settleTime is waited after a change, so that a few changes in a row are written once.
	settleTime = 6 * time.Second
)

// Store is the part of the platform's store that an inventory uses.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
}

// Inventory is the record of the models of the target at one address; one agent writes it.
type Inventory struct {
	store   Store
	target  string
	log     *logrus.Entry
	version int64 // of the record, 0 if there is none
	current bool  // version is that in the store
	changes chan []Model
	former  chan []Model
}

// Model is a model that the target holds.
type Model struct {
	Name           string  `json:"name"`
	AvgConcurrency float64 `json:"use"` // requests at a time, averaged
}

// record is what the store keeps.
type record struct {
	Models []Model `json:"models"`
}

// New returns the inventory of the target at an address.
func New(store Store, target string, log *logrus.Entry) *Inventory {
	return &Inventory{store: store, target: target, log: log, changes: make(chan []Model, 1), former: make(chan []Model, 1)}
}

// Previous has one value, the models that the store recorded before this process began, once they have been read.
func (i *Inventory) Previous() <-chan []Model { return i.former }

// Set hands over the models that the target holds now, to be written soon; it does not block and is called by one
// goroutine.
func (i *Inventory) Set(models []Model) {
	for {
		select {
		case i.changes <- models:
			return
		default:
		}
		select {
		case <-i.changes:
		default:
		}
	}
}

// Run reads the record and then writes each change until ctx ends.
func (i *Inventory) Run(ctx context.Context) error {
	written, err := i.read(ctx)
	if err != nil {
		return err
	}
	i.former <- written
	for {
		var models []Model
		select {
		case <-ctx.Done():
			return ctx.Err()
		case models = <-i.changes:
		}
		if err := pause.For(ctx, settleTime); err != nil {
			return err
		}
		models = i.newest(models)
		if slices.Equal(models, written) {
			continue
		}
		if err := i.write(ctx, models); err != nil {
			i.log.WithError(err).Info("inventory not written")
			i.retry(models)
			continue
		}
		written = models
	}
}

// newest returns the last change, which may have come after models.
func (i *Inventory) newest(models []Model) []Model {
	select {
	case models = <-i.changes:
	default:
	}
	return models
}

// retry puts models back unless there is a newer change.
func (i *Inventory) retry(models []Model) {
	select {
	case i.changes <- models:
	default:
	}
}

func (i *Inventory) read(ctx context.Context) ([]Model, error) {
	for {
		row, known, err := i.load(ctx)
		if err == nil {
			i.version, i.current = row.Version, true
			return known.Models, nil
		}
		i.log.WithError(err).Info("inventory not read")
		if err := pause.For(ctx, retryPause); err != nil {
			return nil, err
		}
	}
}

func (i *Inventory) load(ctx context.Context) (platform.Row, record, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, _, err := i.store.Row(call, table, i.target, key)
	var known record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return platform.Row{Table: table, Part: i.target, Key: key}, known, nil
	case err != nil:
		return row, known, err
	}
	if err := json.Unmarshal(row.Value, &known); err != nil {
		i.log.WithError(err).Warn("inventory is not readable and will be replaced")
	}
	return row, known, nil
}

func (i *Inventory) write(ctx context.Context, models []Model) (err error) {
	row := platform.Row{Table: table, Part: i.target, Key: key, Version: i.version}
	if !i.current {
		if row, _, err = i.load(ctx); err != nil {
			return err
		}
	}
	if row.Value, err = json.Marshal(record{Models: models}); err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	i.version, err = i.store.CompareAndSwap(call, row)
	i.current = err == nil
	return err
}

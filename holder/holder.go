package holder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/pause"
	"gypsumbank/platform"
)

const (
	table        = "order-holders"
	retryPause   = 300 * time.Millisecond
	storeTimeout = time.Second
	// takeoverPause is the time from a takeover from another machine until the first order, longer than the platform's lease
	// time.
	takeoverPause = 4 * time.Second
)

// Store is the part of the platform's store that a holder uses.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
}

// Holder is a process that gives orders to one target.
type Holder struct {
	store  Store
	target string
	name   string
	run    int64
	log    *logrus.Entry
}

// record is what the store keeps for a target.
type record struct {
	Holder string `json:"holder"`
	Run    int64  `json:"run"` // tells starts of the holder apart
	Fence  int64  `json:"fence"`
	// TakenMs is when the holder took over from one on another machine, by the store's clock; 0 if it is the first.
	TakenMs int64 `json:"taken-ms,omitempty"`
}

// New returns the holder with the given name, in the given run, of the target at an address.
func New(store Store, target, name string, run int64, log *logrus.Entry) *Holder {
	return &Holder{store: store, target: target, name: name, run: run, log: log}
}

// Acquire returns a fencing number above all earlier ones of the target; it tries until ctx ends.
func (h *Holder) Acquire(ctx context.Context) (int64, error) {
	for {
		fence, err := h.try(ctx)
		if err == nil {
			h.log.WithField("fence", fence).Info("fencing number acquired")
			return fence, nil
		}
		h.log.WithError(err).Info("no fencing number yet")
		if err := pause.For(ctx, retryPause); err != nil {
			return 0, err
		}
	}
}

func (h *Holder) try(ctx context.Context) (int64, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, nowMs, err := h.store.Row(call, table, h.target, "holder")
	var known record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		row = platform.Row{Table: table, Part: h.target, Key: "holder"}
	case err != nil:
		return 0, err
	default:
		if err := json.Unmarshal(row.Value, &known); err != nil {
			return 0, fmt.Errorf("holder of %s: %w", h.target, err)
		}
	}
	if known.Holder == h.name && known.Run == h.run {
		return known.Fence, h.awaitTakeover(ctx, known, nowMs) // an earlier write whose answer was lost
	}
	next := record{Holder: h.name, Run: h.run, Fence: known.Fence + 1, TakenMs: known.TakenMs}
	if known.Holder != "" && known.Holder != h.name {
		h.log.WithField("previous", known.Holder).Info("taking over the orders of a target")
		next.TakenMs = nowMs
	}
	if row.Value, err = json.Marshal(next); err != nil {
		return 0, err
	}
	if _, err := h.store.CompareAndSwap(call, row); err != nil {
		return 0, err
	}
	return next.Fence, h.awaitTakeover(ctx, next, nowMs)
}

// awaitTakeover waits until the holder before the last takeover gives no more orders, given the time by the store's clock.
func (h *Holder) awaitTakeover(ctx context.Context, r record, nowMs int64) error {
	if r.TakenMs == 0 {
		return nil
	}
	since := time.Duration(nowMs-r.TakenMs) * time.Millisecond
	if since >= takeoverPause {
		return nil
	}
	return pause.For(ctx, takeoverPause-max(0, since))
}

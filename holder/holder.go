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
	holdersTable  = "order-holders"
	retryInterval = 300 * time.Millisecond
	storeTimeout  = time.Second
	// takeoverDelay is the time from a takeover from another machine until the first order. It is longer than the platform's
	// lease time, during which the earlier holder may still send orders.
	takeoverDelay = 4 * time.Second
)

// Store is the part of the platform's store that a Holder uses.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
}

// Holder acquires fencing tokens for a process that sends orders to one target.
type Holder struct {
	store  Store
	target string
	name   string
	runID  int64
	log    *logrus.Entry
}

// record is the value of a target's row in the store.
type record struct {
	Holder       string `json:"holder"`
	RunID        int64  `json:"run"` // differs between starts of the holder
	FencingToken int64  `json:"fence"`
	// TakeoverMs is the time on the store's clock of the last takeover from a holder on another machine; 0 if there was none.
	// It is kept when the holder restarts, so that a restart does not shorten the delay.
	TakeoverMs int64 `json:"taken-ms,omitempty"`
}

// New returns a Holder for the target at an address; name identifies the machine and runID the start of the process.
func New(store Store, target, name string, runID int64, log *logrus.Entry) *Holder {
	return &Holder{store: store, target: target, name: name, runID: runID, log: log}
}

// Acquire returns a fencing token above all earlier ones of the target, once a holder that it takes over from may send no more
// orders. It retries until ctx ends.
func (h *Holder) Acquire(ctx context.Context) (int64, error) {
	for {
		token, err := h.tryAcquire(ctx)
		if err == nil {
			h.log.WithField("fence", token).Info("fencing number acquired")
			return token, nil
		}
		h.log.WithError(err).Info("fencing token could not be acquired, will retry")
		if err := pause.For(ctx, retryInterval); err != nil {
			return 0, err
		}
	}
}

// tryAcquire makes one attempt: it raises the token in the store by a compare-and-swap and waits for the takeover delay. If
// an earlier write of this run was performed, its token is returned again.
func (h *Holder) tryAcquire(ctx context.Context) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, nowMs, err := h.store.Row(callCtx, holdersTable, h.target, "holder")
	var stored record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		row = platform.Row{Table: holdersTable, Part: h.target, Key: "holder"}
	case err != nil:
		return 0, err
	default:
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return 0, fmt.Errorf("decode order holder of target %s: %w", h.target, err)
		}
	}
	if stored.Holder == h.name && stored.RunID == h.runID {
		return stored.FencingToken, h.waitForTakeover(ctx, stored, nowMs) // written by an earlier attempt whose answer was lost or late
	}
	claim := record{Holder: h.name, RunID: h.runID, FencingToken: stored.FencingToken + 1, TakeoverMs: stored.TakeoverMs}
	if stored.Holder != "" && stored.Holder != h.name {
		h.log.WithField("previous", stored.Holder).Info("taking over the target from another order holder")
		claim.TakeoverMs = nowMs
	}
	if row.Value, err = json.Marshal(claim); err != nil {
		return 0, err
	}
	if _, err := h.store.CompareAndSwap(callCtx, row); err != nil {
		return 0, err
	}
	return claim.FencingToken, h.waitForTakeover(ctx, claim, nowMs)
}

// waitForTakeover waits until takeoverDelay has passed since the last takeover; nowMs is the time on the store's clock.
func (h *Holder) waitForTakeover(ctx context.Context, r record, nowMs int64) error {
	if r.TakeoverMs == 0 {
		return nil
	}
	elapsed := time.Duration(nowMs-r.TakeoverMs) * time.Millisecond
	if elapsed >= takeoverDelay {
		return nil
	}
	return pause.For(ctx, takeoverDelay-max(0, elapsed))
}

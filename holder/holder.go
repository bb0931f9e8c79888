package holder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
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
	CallTime(least time.Duration) time.Duration
}

// ErrReplaced is returned if a later start of an agent has acquired a fencing token.
var ErrReplaced = errors.New("a later start of an agent has acquired a fencing token")

// epochBits is the number of low bits of a token that count the tokens given out in one epoch of the store.
const epochBits = 20

// Holder acquires fencing tokens for a process that sends orders to one target.
type Holder struct {
	store      Store
	target     string
	name       string
	runID      int64
	hasOrdered func(context.Context) bool
	log        *logrus.Entry
}

// record is the value of a target's row in the store.
type record struct {
	Holder       string `json:"holder"`
	RunID        int64  `json:"run"` // differs between starts of the holder
	FencingToken int64  `json:"fence"`
	// TakeoverMs is the time on the store's clock of the last takeover from a holder on another machine; 0 if there was none.
	// It is kept when the holder restarts, so that a restart does not shorten the delay.
	TakeoverMs int64 `json:"taken-ms,omitempty"`
	// Epoch is that of the store at the last write. If it is an earlier one, later writes of the row may be lost.
	Epoch epoch.Epoch `json:"epoch,omitempty"`
}

// New returns a Holder for the target at an address; name identifies the machine and runID the start of the process. hasOrdered
// reports whether the current run of the target may have accepted orders; it is called only if there is no row.
func New(store Store, target, name string, runID int64, hasOrdered func(context.Context) bool, log *logrus.Entry) *Holder {
	return &Holder{store: store, target: target, name: name, runID: runID, hasOrdered: hasOrdered, log: log}
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

// Confirm writes the row again after the store has come back from an older copy, with the token that this process has acquired.
// It retries until ctx ends. The error wraps ErrReplaced if a later start has acquired one.
func (h *Holder) Confirm(ctx context.Context, token int64) error {
	for {
		err := h.tryConfirm(ctx, token)
		if err == nil {
			h.log.WithField("fence", token).Info("fencing number recorded again")
			return nil
		}
		if errors.Is(err, ErrReplaced) {
			return err
		}
		h.log.WithError(err).Info("fencing number could not be recorded again, will retry")
		if err := pause.For(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// tryConfirm makes one attempt to confirm a token.
func (h *Holder) tryConfirm(ctx context.Context, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, h.store.CallTime(storeTimeout))
	defer cancel()
	row, stored, _, err := h.read(ctx)
	if err != nil {
		return err
	}
	if stored.FencingToken > token {
		return fmt.Errorf("%w: %s with %d", ErrReplaced, stored.Holder, stored.FencingToken)
	}
	if stored.FencingToken == token && stored.Epoch == row.Epoch {
		return nil
	}
	return h.write(ctx, row, record{Holder: h.name, RunID: h.runID, FencingToken: token, TakeoverMs: stored.TakeoverMs, Epoch: row.Epoch})
}

// tryAcquire makes one attempt: it raises the token in the store by a compare-and-swap and waits for the takeover delay. If
// an earlier write of this run was performed, its token is returned again.
func (h *Holder) tryAcquire(ctx context.Context) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, h.store.CallTime(storeTimeout))
	defer cancel()
	row, stored, nowMs, err := h.read(callCtx)
	if err != nil {
		return 0, err
	}
	if stored.Holder == h.name && stored.RunID == h.runID && stored.Epoch == row.Epoch {
		return stored.FencingToken, h.waitForTakeover(ctx, stored, nowMs) // written by an earlier attempt whose answer was lost or late
	}
	claim := record{Holder: h.name, RunID: h.runID, FencingToken: nextToken(stored, row.Epoch), TakeoverMs: stored.TakeoverMs, Epoch: row.Epoch}
	if h.mayTakeOver(callCtx, stored, row.Epoch) {
		h.log.WithFields(logrus.Fields{"previous": stored.Holder, "epoch": row.Epoch, "recorded-in": stored.Epoch}).Info("taking over the target from another order holder")
		claim.TakeoverMs = nowMs
	}
	if err := h.write(callCtx, row, claim); err != nil {
		return 0, err
	}
	return claim.FencingToken, h.waitForTakeover(ctx, claim, nowMs)
}

// nextToken returns the token after a record. Tokens of an epoch of the store are above all of earlier ones, as a record may be
// older than the last token that was given out.
func nextToken(stored record, current epoch.Epoch) int64 {
	return max(stored.FencingToken+1, int64(current)<<epochBits)
}

// mayTakeOver reports whether a holder on another machine may have sent orders before: the recorded one, or one whose record is
// lost.
func (h *Holder) mayTakeOver(ctx context.Context, stored record, current epoch.Epoch) bool {
	if stored.Holder == "" {
		return h.hasOrdered(ctx)
	}
	return stored.Holder != h.name || stored.Epoch != current
}

// read returns the row, its value and the time on the store's clock; the value is zero if there is no row.
func (h *Holder) read(ctx context.Context) (platform.Row, record, int64, error) {
	row, nowMs, err := h.store.Row(ctx, holdersTable, h.target, "holder")
	var stored record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return platform.Row{Table: holdersTable, Part: h.target, Key: "holder", Epoch: row.Epoch}, stored, nowMs, nil
	case err != nil:
		return row, stored, nowMs, err
	}
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return row, stored, nowMs, fmt.Errorf("decode order holder of target %s: %w", h.target, err)
	}
	return row, stored, nowMs, nil
}

// write replaces the row as it was read.
func (h *Holder) write(ctx context.Context, row platform.Row, next record) (err error) {
	if row.Value, err = json.Marshal(next); err != nil {
		return err
	}
	_, err = h.store.CompareAndSwap(ctx, row)
	return err
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

package weightstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gypsumbank/epoch"
	"gypsumbank/platform"
)

// ErrExhausted reports that the rate limit allows no load to begin now.
var ErrExhausted = errors.New("rate limit of loads from the weight store is reached")

// ExhaustedError wraps ErrExhausted with the time until a load may begin.
type ExhaustedError struct{ Wait time.Duration }

// Error returns the message with the time to wait.
func (e *ExhaustedError) Error() string { return fmt.Sprintf("%v for %s", ErrExhausted, e.Wait) }

// Unwrap returns ErrExhausted.
func (e *ExhaustedError) Unwrap() error { return ErrExhausted }

const budgetTable = "weight-store"

// Limit is the rate limit of loads that all agents keep together.
type Limit struct {
	LoadsPerSecond float64
	Burst          float64 // size of the token bucket: loads that may begin at once
}

// Store is the part of the platform's store that a Budget uses.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
}

// Budget is a token bucket of loads for one service, kept in the platform's store and shared by all agents.
type Budget struct {
	store   Store
	service string
}

// record holds the time, in ms on the store's clock, at which the token bucket will be full again.
type record struct {
	FullMs float64     `json:"whole-ms"`
	Epoch  epoch.Epoch `json:"epoch,omitempty"` // of the store at the write; loads after that of an earlier one are not known
}

// New returns the budget of a service.
func New(store Store, service string) *Budget { return &Budget{store: store, service: service} }

// Take takes one load from the budget. The error is an ExhaustedError if the limit is reached, and wraps platform.ErrConflict
// if another agent took a load at the same time. After any error the load must not begin; the budget may count it all the
// same, as a write whose answer was lost may have been performed.
func (b *Budget) Take(ctx context.Context, limit Limit) error {
	row, nowMs, err := b.store.Row(ctx, budgetTable, b.service, "loads")
	var stored record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		row = platform.Row{Table: budgetTable, Part: b.service, Key: "loads", Epoch: row.Epoch}
	case err != nil:
		return err
	default:
		if json.Unmarshal(row.Value, &stored) != nil {
			return b.begin(ctx, row, float64(nowMs), limit)
		}
	}
	if stored.Epoch != row.Epoch || stored.isTooFar(float64(nowMs), limit) {
		return b.begin(ctx, row, float64(nowMs), limit)
	}
	next, waitMs := stored.reserve(float64(nowMs), limit)
	if waitMs > 0 {
		return exhausted(waitMs)
	}
	return b.write(ctx, row, next)
}

// begin replaces the row after the store has come back from an older copy, or another writer has spoiled it: as it is not known how many
// loads began, the token bucket counts as empty. The error is an ExhaustedError unless the write fails.
func (b *Budget) begin(ctx context.Context, row platform.Row, nowMs float64, limit Limit) error {
	intervalMs := limit.intervalMs()
	if err := b.write(ctx, row, record{FullMs: nowMs + limit.Burst*intervalMs, Epoch: row.Epoch}); err != nil {
		return err
	}
	return exhausted(intervalMs)
}

// write replaces the row as it was read.
func (b *Budget) write(ctx context.Context, row platform.Row, next record) (err error) {
	if row.Value, err = json.Marshal(next); err != nil {
		return err
	}
	_, err = b.store.CompareAndSwap(ctx, row)
	return err
}

func exhausted(waitMs float64) error {
	return &ExhaustedError{Wait: time.Duration(waitMs * float64(time.Millisecond))}
}

// intervalMs returns the time in ms in which the token bucket gains one load.
func (l Limit) intervalMs() float64 {
	const msPerSecond = 1000
	return msPerSecond / l.LoadsPerSecond
}

// isTooFar reports whether the record is none that reserve has returned, as the token bucket would be full only after more than its burst.
func (r record) isTooFar(nowMs float64, limit Limit) bool {
	return r.FullMs > nowMs+limit.Burst*limit.intervalMs()
}

// reserve returns the record after one more load at nowMs, or how many ms to wait if that load would exceed the limit.
func (r record) reserve(nowMs float64, limit Limit) (next record, waitMs float64) {
	intervalMs := limit.intervalMs()
	fullMs := max(r.FullMs, nowMs) + intervalMs
	if excessMs := fullMs - nowMs - limit.Burst*intervalMs; excessMs > 0 {
		return r, excessMs
	}
	return record{FullMs: fullMs, Epoch: r.Epoch}, 0
}

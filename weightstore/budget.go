package weightstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gypsumbank/platform"
)

// ErrExhausted reports that no load may begin now.
var ErrExhausted = errors.New("rate of the weight store is used up")

// ExhaustedError tells when a load may begin and wraps ErrExhausted.
type ExhaustedError struct{ Wait time.Duration }

// Error returns the time to wait.
func (e *ExhaustedError) Error() string { return fmt.Sprintf("%v for %s", ErrExhausted, e.Wait) }

// Unwrap returns ErrExhausted.
func (e *ExhaustedError) Unwrap() error { return ErrExhausted }

const table = "weight-store"

// Limit is the rate of loads that all agents together keep.
type Limit struct {
	LoadsPerSecond float64
	Burst          float64 // loads that may begin at once
}

// Store is the part of the platform's store that a budget uses.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
}

// Budget takes loads from a count that the platform's store keeps for one service.
type Budget struct {
	store   Store
	service string
}

// record holds the time on the store's clock at which the burst will be whole again.
type record struct {
	WholeMs float64 `json:"whole-ms"`
}

// New returns the budget of a service.
func New(store Store, service string) *Budget { return &Budget{store: store, service: service} }

// Take takes one load; the error is an ExhaustedError if the rate is used up. After another error the load may have been
// counted, so it must not begin.
func (b *Budget) Take(ctx context.Context, limit Limit) error {
	row, now, err := b.store.Row(ctx, table, b.service, "loads")
	var known record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		row = platform.Row{Table: table, Part: b.service, Key: "loads"}
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(row.Value, &known); err != nil {
			return fmt.Errorf("loads of %s: %w", b.service, err)
		}
	}
	next, wait := known.take(float64(now), limit)
	if wait > 0 {
		return &ExhaustedError{Wait: time.Duration(wait * float64(time.Millisecond))}
	}
	if row.Value, err = json.Marshal(next); err != nil {
		return err
	}
	_, err = b.store.CompareAndSwap(ctx, row)
	return err
}

// take returns the record after one more load at a time in ms, or how many ms to wait if that would exceed the limit.
func (r record) take(now float64, limit Limit) (next record, wait float64) {
	const msPerSecond = 1000
	interval := msPerSecond / limit.LoadsPerSecond
	whole := max(r.WholeMs, now) + interval
	if excess := whole - now - limit.Burst*interval; excess > 0 {
		return r, excess
	}
	return record{WholeMs: whole}, 0
}

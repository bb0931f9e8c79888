package pause

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx once that ends.
func For(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

package pause

import (
	"context"
	"time"
)

// For sleeps for the given duration and returns nil, or returns the error of ctx as soon as ctx ends.
func For(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

package sidecar

import (
	"sync"
	"time"
)

// crashRecord holds when the last crash of the engine was noticed. Its methods may be called by several goroutines.
type crashRecord struct {
	mu          sync.Mutex
	incarnation uint64 // that crashed last
	noticedAt   time.Time
}

// notice records that an incarnation of the engine has crashed; only the first call for an incarnation has an effect.
func (c *crashRecord) notice(incarnation uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noticedAt.IsZero() || c.incarnation != incarnation {
		c.incarnation, c.noticedAt = incarnation, now
	}
}

// noticedBefore reports whether the crash of an incarnation had been noticed before a run on it began.
func (c *crashRecord) noticedBefore(incarnation uint64, begun time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.noticedAt.IsZero() && c.incarnation == incarnation && c.noticedAt.Before(begun)
}

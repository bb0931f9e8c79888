package epoch

import "sync"

// Epoch numbers the times that the store has come back from an older copy.
type Epoch uint64

// Tracker holds the highest epoch of the store that a process has learnt of. Its methods may be called by several goroutines.
type Tracker struct {
	mu       sync.Mutex
	known    bool // an epoch has been observed
	highest  Epoch
	restored chan struct{} // closed and replaced when highest rises above the first epoch
}

// New returns a tracker that knows no epoch yet.
func New() *Tracker { return &Tracker{restored: make(chan struct{})} }

// Observe records an epoch that the store, or another process, has named. It reports whether it is the highest one so far and
// not the first, so that the store has come back from an older copy.
func (t *Tracker) Observe(named Epoch) (restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && named <= t.highest {
		return false
	}
	restored = t.known
	t.known, t.highest = true, named
	if restored {
		close(t.restored)
		t.restored = make(chan struct{})
	}
	return restored
}

// Current returns the highest epoch so far, 0 before the first, and a channel that is closed when the store comes
// back from an older copy.
func (t *Tracker) Current() (Epoch, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.highest, t.restored
}

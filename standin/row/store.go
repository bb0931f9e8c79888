package row

import (
	"context"
	"errors"
	"sync"

	"gypsumbank/platform"
)

// ErrAway is returned for a write that the store was told to refuse, to answer never or to perform late.
var ErrAway = errors.New("store away")

// Fault is what goes wrong with one write.
type Fault int

// The faults.
const (
	NoFault     Fault = iota
	RefuseWrite       // nothing is written
	LoseAnswer        // written, and the writer does not learn of it
	LateWrite         // written after the next read, if the row still has the expected version; the writer does not learn of it
)

// Store keeps one row in memory; its methods may be called by several goroutines.
type Store struct {
	nowMs func() int64

	mu      sync.Mutex
	row     platform.Row
	exists  bool
	faults  []Fault
	late    *platform.Row
	between func()
}

// New returns a store without its row, whose steady clock is nowMs.
func New(nowMs func() int64) *Store { return &Store{nowMs: nowMs} }

// SetFaults sets what goes wrong with the next writes, one after the other.
func (s *Store) SetFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// BeforeNextWrite has a function run once before the next write is performed, as another process may write then.
func (s *Store) BeforeNextWrite(call func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.between = call
}

// Row returns the row and the store's clock; the error is platform.ErrNotFound if nothing was written.
func (s *Store) Row(context.Context, string, string, string) (platform.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read, exists := s.row, s.exists
	if s.late != nil {
		late := *s.late
		s.late = nil
		_, _ = s.replace(late) // a late write that conflicts has no effect
	}
	if !exists {
		return platform.Row{}, s.nowMs(), platform.ErrNotFound
	}
	return read, s.nowMs(), nil
}

// CompareAndSwap writes a row if the stored one has its version; the error wraps platform.ErrConflict if it has another, or ErrAway.
func (s *Store) CompareAndSwap(_ context.Context, row platform.Row) (int64, error) {
	s.callBetween()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.nextFault() {
	case RefuseWrite:
		return 0, ErrAway
	case LoseAnswer:
		_, _ = s.replace(row) // nobody learns whether it conflicts
		return 0, ErrAway
	case LateWrite:
		s.late = &row
		return 0, ErrAway
	case NoFault:
	}
	return s.replace(row)
}

func (s *Store) callBetween() {
	s.mu.Lock()
	call := s.between
	s.between = nil
	s.mu.Unlock()
	if call != nil {
		call()
	}
}

func (s *Store) nextFault() Fault {
	if len(s.faults) == 0 {
		return NoFault
	}
	next := s.faults[0]
	s.faults = s.faults[1:]
	return next
}

func (s *Store) replace(row platform.Row) (int64, error) {
	if row.Version != s.row.Version {
		return 0, platform.ErrConflict
	}
	s.row, s.exists = row, true
	s.row.Version++
	return s.row.Version, nil
}

package row

import (
	"context"
	"errors"
	"sync"
	"time"

	"gypsumbank/epoch"
	"gypsumbank/platform"
)

// ErrUnavailable is returned for a write with a fault: the writer can't know whether it takes effect.
var ErrUnavailable = errors.New("store is unavailable")

// Fault is a failure of one write. The writer gets ErrUnavailable for each fault but NoFault, whatever the effect of
// the write.
type Fault int

// The faults of a write.
const (
	NoFault     Fault = iota
	RefuseWrite       // the write has no effect
	LoseAnswer        // the write takes effect at once, if the row has the expected version
	LateWrite         // the write takes effect after the next read, if the row still has the expected version
)

// Store keeps one row in memory; its methods may be called by several goroutines.
type Store struct {
	nowMs func() int64 // steady clock in milliseconds

	mu          sync.Mutex
	row         platform.Row
	exists      bool
	history     []platform.Row // earlier states of the row, the first written first
	versions    int64          // highest version given out since the last restore
	epoch       epoch.Epoch
	faults      []Fault       // of the next writes, in this order
	lateRow     *platform.Row // write to apply after the next read; a later one with the fault LateWrite replaces it
	beforeWrite func()
}

// New returns a store whose row does not exist yet and whose steady clock is nowMs.
func New(nowMs func() int64) *Store { return &Store{nowMs: nowMs} }

// CallTime returns the time that a call is to be given, which is the given one: calls take none.
func (s *Store) CallTime(least time.Duration) time.Duration { return least }

// SetFaults sets the faults of the next writes, one for each write; writes after them have none.
func (s *Store) SetFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Restore brings the row back as it was a number of writes earlier, at most to where it did not exist, and begins the next epoch.
func (s *Store) Restore(writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.lateRow = nil
	for ; writes > 0 && s.exists; writes-- {
		last := len(s.history) - 1
		s.row, s.exists = s.history[last], last > 0
		s.history = s.history[:last]
	}
	s.versions = s.row.Version
}

// BeforeNextWrite sets a function that runs once just before the next write, in place of another process whose write
// comes between the caller's read and write.
func (s *Store) BeforeNextWrite(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWrite = hook
}

// Row returns the row and the store's clock; the error is platform.ErrNotFound if the row was never written. Table,
// part and key are ignored.
func (s *Store) Row(context.Context, string, string, string) (platform.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.row, s.exists
	if s.lateRow != nil {
		row := *s.lateRow
		s.lateRow = nil
		_, _ = s.replaceLocked(row) // without effect if the version has changed
	}
	if !exists {
		return platform.Row{Epoch: s.epoch}, s.nowMs(), platform.ErrNotFound
	}
	current.Epoch = s.epoch
	return current, s.nowMs(), nil
}

// CompareAndSwap writes the row if the stored row has the same version, and returns the new version; version 0 stands for a
// row that does not exist. The error is platform.ErrConflict if the version differs, or ErrUnavailable for a write with
// a fault.
func (s *Store) CompareAndSwap(_ context.Context, row platform.Row) (int64, error) {
	s.runBeforeWrite()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.takeFault() {
	case RefuseWrite:
		return 0, ErrUnavailable
	case LoseAnswer:
		_, _ = s.replaceLocked(row) // the writer does not get the result
		return 0, ErrUnavailable
	case LateWrite:
		s.lateRow = &row
		return 0, ErrUnavailable
	case NoFault:
	}
	return s.replaceLocked(row)
}

// runBeforeWrite runs the function set by BeforeNextWrite, without holding mu so that it may use the store.
func (s *Store) runBeforeWrite() {
	s.mu.Lock()
	hook := s.beforeWrite
	s.beforeWrite = nil
	s.mu.Unlock()
	if hook != nil {
		hook()
	}
}

// takeFault returns the fault of this write and removes it; the caller holds mu.
func (s *Store) takeFault() Fault {
	if len(s.faults) == 0 {
		return NoFault
	}
	next := s.faults[0]
	s.faults = s.faults[1:]
	return next
}

// replaceLocked is CompareAndSwap without faults; the caller holds mu.
func (s *Store) replaceLocked(row platform.Row) (int64, error) {
	if row.Version != s.row.Version {
		return 0, platform.ErrConflict
	}
	s.history = append(s.history, s.row)
	s.versions++
	s.row, s.exists = row, true
	s.row.Version = s.versions
	return s.row.Version, nil
}

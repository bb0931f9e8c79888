package delivery

import (
	"time"

	"gypsumbank/eventscan"
)

const (
	// minTransit is the least time that a bound must leave for transit and for busy processes.
	minTransit = 100 * time.Millisecond
	// maxHeldBytes is more than a packet, so that a longer wait saves few packets.
	maxHeldBytes = 2 << 10
)

// HoldTime returns the longest time for which an event is held, given the time within which it must reach its caller: half of it, or 0 if the
// other half is too short for transit.
func HoldTime(bound time.Duration) time.Duration {
	half := bound / 2
	if half < minTransit {
		return 0
	}
	return half
}

// Schedule decides when the bytes of one stream of server-sent events are written. The first event is written as it arrives. Later ones are
// held until the hold time has passed since the last write, so that a stream of rare events is not delayed.
type Schedule struct {
	hold      time.Duration
	scanner   *eventscan.Scanner
	lastWrite time.Time
	due       time.Time // when the held bytes are to be written; zero if none are held
	heldBytes int
	written   int // events that were complete at the last write
}

// New returns a schedule for a stream whose events may be held for the hold time; 0 has each part written as it arrives.
func New(hold time.Duration) *Schedule { return &Schedule{hold: hold, scanner: eventscan.New()} }

// Add records that a part of the stream has arrived, and returns when it and all that is held are to be written: at once if that is not after now.
func (s *Schedule) Add(part []byte, now time.Time) time.Time {
	hasFirst := s.scanner.Events() > 0
	s.scanner.Scan(part)
	s.heldBytes += len(part)
	switch {
	case !hasFirst, s.heldBytes > maxHeldBytes:
		s.due = now
	case s.due.IsZero():
		s.due = s.lastWrite.Add(s.hold)
		if s.due.Before(now) {
			s.due = now
		}
	}
	return s.due
}

// Due returns when the held bytes are to be written; zero if none are held.
func (s *Schedule) Due() time.Time { return s.due }

// MarkWritten records that all that was held is written at a time, and returns the number of events that it completed.
func (s *Schedule) MarkWritten(now time.Time) int {
	events := s.scanner.Events() - s.written
	s.lastWrite, s.due, s.heldBytes, s.written = now, time.Time{}, 0, s.scanner.Events()
	return events
}

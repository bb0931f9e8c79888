package eventscan

// Scanner counts the events of a stream that arrives in parts: blocks of lines with at least one that is no comment, up to an empty line.
type Scanner struct {
	events      int // complete ones
	atLineStart bool
	afterReturn bool // the last byte was a carriage return, which forms one line end with a line feed
	hasField    bool // the present block has a line that is no comment
}

// New returns a scanner for a stream that begins.
func New() *Scanner { return &Scanner{atLineStart: true} }

// Events returns the number of events that are complete.
func (s *Scanner) Events() int { return s.events }

// Scan reads the next part of the stream.
func (s *Scanner) Scan(part []byte) {
	for _, b := range part {
		secondOfPair := s.afterReturn && b == '\n'
		s.afterReturn = b == '\r'
		switch {
		case secondOfPair:
		case b == '\n' || b == '\r':
			if s.atLineStart && s.hasField {
				s.events++
				s.hasField = false
			}
			s.atLineStart = true
		default:
			s.hasField = s.hasField || s.atLineStart && b != ':'
			s.atLineStart = false
		}
	}
}

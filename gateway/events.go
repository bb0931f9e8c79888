package gateway

import "bytes"

// events finds the whole events in the pieces of a stream.
type events struct {
	rest   []byte // the event that has not arrived whole
	lastID string // of the last whole event
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// take returns the bytes of the events that are whole with this piece.
func (e *events) take(piece []byte) []byte {
	e.rest = append(e.rest, piece...)
	end := bytes.LastIndex(e.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := append([]byte(nil), e.rest[:end]...)
	e.rest = append(e.rest[:0], e.rest[end:]...)
	e.note(whole)
	return whole
}

// partial reports whether an event has arrived in part.
func (e *events) partial() bool { return len(e.rest) > 0 }

func (e *events) note(whole []byte) {
	for line := range bytes.Lines(whole) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(value))
		}
	}
}

package gateway

import "bytes"

// eventBuffer splits a stream of server-sent events, which arrives in chunks, at the ends of events.
type eventBuffer struct {
	incomplete []byte // bytes of an event that has arrived in part
	lastID     string // id of the last complete event
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// addChunk adds a chunk and returns the bytes of the events that are now complete.
func (e *eventBuffer) addChunk(chunk []byte) []byte {
	e.incomplete = append(e.incomplete, chunk...)
	end := bytes.LastIndex(e.incomplete, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := append([]byte(nil), e.incomplete[:end]...)
	e.incomplete = append(e.incomplete[:0], e.incomplete[end:]...)
	e.recordLastID(whole)
	return whole
}

// hasIncomplete reports whether the last event has arrived only in part.
func (e *eventBuffer) hasIncomplete() bool { return len(e.incomplete) > 0 }

// recordLastID updates lastID from complete events.
func (e *eventBuffer) recordLastID(whole []byte) {
	for line := range bytes.Lines(whole) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(value))
		}
	}
}

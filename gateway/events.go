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
	complete := append([]byte(nil), e.incomplete[:end]...)
	e.incomplete = append(e.incomplete[:0], e.incomplete[end:]...)
	e.recordLastID(complete)
	return complete
}

// hasIncomplete reports whether the last event has arrived only in part.
func (e *eventBuffer) hasIncomplete() bool { return len(e.incomplete) > 0 }

// recordLastID sets lastID to the last id in complete events.
func (e *eventBuffer) recordLastID(complete []byte) {
	for line := range bytes.Lines(complete) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(value))
		}
	}
}

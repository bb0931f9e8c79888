package gateway

import (
	"bytes"
	"errors"
)

// maxEventBytes bounds an event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLong reports bytes without the end of an event.
var errEventTooLong = errors.New("event of the stream does not end")

// eventBuffer splits a stream of server-sent events, which arrives in chunks, at the ends of events.
type eventBuffer struct {
	incomplete []byte // bytes of an event that has arrived in part; after track, the end of these at least
	lastID     string // id of the last complete event
	began      bool   // any bytes have arrived
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// addChunk adds a chunk and returns the bytes of the events that are now complete, or errEventTooLong.
func (e *eventBuffer) addChunk(chunk []byte) ([]byte, error) {
	e.began = e.began || len(chunk) > 0
	e.incomplete = append(e.incomplete, chunk...)
	end := bytes.LastIndex(e.incomplete, eventEnd)
	switch {
	case end < 0 && len(e.incomplete) > maxEventBytes:
		return nil, errEventTooLong
	case end < 0:
		return nil, nil
	}
	end += len(eventEnd)
	complete := append([]byte(nil), e.incomplete[:end]...)
	e.incomplete = append(e.incomplete[:0], e.incomplete[end:]...)
	e.recordLastID(complete)
	return complete, nil
}

// track notes a chunk that is not to be split: whether the stream has arrived up to the end of an event.
func (e *eventBuffer) track(chunk []byte) {
	e.began = e.began || len(chunk) > 0
	e.incomplete = append(e.incomplete, chunk...)
	if bytes.HasSuffix(e.incomplete, eventEnd) {
		e.incomplete = e.incomplete[:0]
		return
	}
	if excess := len(e.incomplete) - len(eventEnd); excess > 0 {
		e.incomplete = append(e.incomplete[:0], e.incomplete[excess:]...)
	}
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

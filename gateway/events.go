package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"gypsumbank/bytebudget"
)

const (
	// maxEventBytes bounds an event of a stream.
	maxEventBytes = 1 << 20
	// freeEventBytes of an event that has not ended are not charged to the memory for requests: usual events are far shorter.
	freeEventBytes = 4 << 10
)

var (
	// errEventTooLong reports bytes without the end of an event.
	errEventTooLong = errors.New("event of the stream does not end")
	// errNoEventMemory reports that there is no memory for an event that has not ended.
	errNoEventMemory = errors.New("no memory for the event of the stream")
	// errNotContinued reports bytes that are no event of the stream after the last one.
	errNotContinued = errors.New("target does not go on with the stream")
)

// eventBuffer splits a stream of server-sent events, which arrives in chunks, at the ends of events.
type eventBuffer struct {
	hold       *bytebudget.Hold // memory of the request, which incomplete is charged to; nil to charge none
	charged    int64            // bytes of incomplete that are charged
	incomplete []byte           // bytes of an event that has arrived in part; after track, the end of these at least
	lastID     string           // id of the last complete event
	began      bool             // any bytes have arrived
	numbering  numbering
	unnumbered bool // with numbered: the stream can't go on elsewhere, as an id was not the next number or an event was too long
}

// numbering is what is asked of the ids of events.
type numbering int

const (
	rising   numbering = iota // each id follows the last one, see follows
	numbered                  // all events pass; whether each id is the next number is recorded
	nextOnly                  // each id is the number after the last one
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// addChunk adds a chunk and returns the bytes of the events that are now complete. The error is errEventTooLong, or errNotContinued if
// these are followed by something that does not go on with the stream.
func (e *eventBuffer) addChunk(chunk []byte) ([]byte, error) {
	e.began = e.began || len(chunk) > 0
	if err := e.makeRoom(len(chunk)); err != nil {
		return nil, err
	}
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
	passed := 0
	for passed < len(complete) {
		length := bytes.Index(complete[passed:], eventEnd) + len(eventEnd)
		if !e.accept(complete[passed : passed+length]) {
			return complete[:passed], errNotContinued
		}
		passed += length
	}
	return complete, nil
}

// makeRoom has incomplete hold more bytes, as far as the memory for requests allows. Many streams may wait for the ends of events at the same time, which a
// faulty target never sends.
func (e *eventBuffer) makeRoom(bytes int) error {
	needed := len(e.incomplete) + bytes
	if needed <= cap(e.incomplete) {
		return nil
	}
	capacity := max(needed, 2*cap(e.incomplete))
	charge := int64(max(0, capacity-freeEventBytes))
	if e.hold != nil {
		if err := e.hold.Reserve(charge); err != nil {
			return fmt.Errorf("%w: %w", errNoEventMemory, err)
		}
		defer e.hold.Return(e.charged)
	}
	grown := make([]byte, len(e.incomplete), capacity)
	copy(grown, e.incomplete)
	e.incomplete, e.charged = grown, charge
	return nil
}

// release drops what has arrived of an event that has not ended, and gives its memory back.
func (e *eventBuffer) release() {
	e.incomplete = nil
	if e.hold != nil {
		e.hold.Return(e.charged)
		e.charged = 0
	}
}

// accept reports whether an event goes on with the stream after the last one, and records its id. Once the stream has ids, each event
// must have a higher one, unless it consists of comments.
func (e *eventBuffer) accept(event []byte) bool {
	id, onlyComments := "", true
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\n")
		onlyComments = onlyComments && (len(line) == 0 || line[0] == ':')
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	if !onlyComments && !e.mayFollow(id) {
		return false
	}
	if id != "" {
		e.lastID = id
	}
	return true
}

// mayFollow reports whether an event with an id may come next.
func (e *eventBuffer) mayFollow(id string) bool {
	switch e.numbering {
	case numbered:
		e.unnumbered = e.unnumbered || !isNext(id, e.lastID)
		return true
	case nextOnly:
		return isNext(id, e.lastID)
	case rising:
	}
	return e.lastID == "" || follows(id, e.lastID)
}

// isNext reports whether an id is the number after another one, or any number if that is empty.
func isNext(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if last == "" || err != nil {
		return err == nil
	}
	lastNumber, err := strconv.ParseUint(last, 10, 64)
	return err == nil && number == lastNumber+1
}

// addNumbered is addChunk for a stream with numbered events. Once they are not, the stream is passed on as it comes.
func (e *eventBuffer) addNumbered(chunk []byte) []byte {
	if e.unnumbered {
		e.track(chunk)
		return chunk
	}
	whole, err := e.addChunk(chunk)
	if err == nil && !e.unnumbered {
		return whole
	}
	rest := e.incomplete
	if errors.Is(err, errNoEventMemory) {
		rest = append(rest, chunk...)
	}
	e.release()
	e.unnumbered = true
	e.track(rest)
	return append(whole, rest...)
}

// follows reports whether an event with an id may come after one with another: numbers must rise, and other ids differ.
func follows(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err == nil && lastErr == nil {
		return number > lastNumber
	}
	return id != "" && id != last
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

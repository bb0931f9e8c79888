package gateway

import (
	"bytes"
	"errors"
	"testing"
)

// TestEventWithoutEndBreaksTheStream feeds bytes that never end an event. The buffer must report it before it has grown by
// more than a few times the bound.
func TestEventWithoutEndBreaksTheStream(t *testing.T) {
	const maxChunks = 4 * maxEventBytes / copyBufferBytes
	cases := map[string]string{"no line end": "x", "lines without an empty one": "data: x\n", "carriage returns": "\r"}
	for name, filler := range cases {
		t.Run(name, func(t *testing.T) {
			events := &eventBuffer{}
			if complete, err := events.addChunk([]byte("id: 4\ndata: a\n\n")); err != nil || len(complete) == 0 || events.lastID != "4" {
				t.Fatalf("complete event: %q, %v, last id %q", complete, err, events.lastID)
			}
			chunk := bytes.Repeat([]byte(filler), copyBufferBytes/len(filler))
			for range maxChunks {
				if _, err := events.addChunk(chunk); errors.Is(err, errEventTooLong) {
					return
				}
			}
			t.Errorf("%d bytes are buffered for one event without an error", len(events.incomplete))
		})
	}
}

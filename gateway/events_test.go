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

// TestOnlyEventsThatGoOnArePassed feeds what follows an event with id 4.
func TestOnlyEventsThatGoOnArePassed(t *testing.T) {
	cases := map[string]struct {
		next   string
		passes bool
	}{
		"the next one":               {"id: 5\ndata: a\n\n", true},
		"one with a gap":             {"id: 9\ndata: a\n\n", true},
		"one with a longer number":   {"id: 10\ndata: a\n\n", true},
		"one that begins otherwise":  {"weights: 3\nid: 5\ndata: a\n\n", true},
		"a comment":                  {": still here\n\n", true},
		"the same again":             {"id: 4\ndata: a\n\n", false},
		"an earlier one":             {"id: 3\ndata: a\n\n", false},
		"one without an id":          {"data: a\n\n", false},
		"the head of another answer": {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\n\n", false},
		"text":                       {"error\n\n", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			events := &eventBuffer{}
			passed, err := events.addChunk([]byte("id: 4\ndata: x\n\n" + c.next))
			want := "id: 4\ndata: x\n\n"
			if c.passes {
				want += c.next
			}
			if string(passed) != want || errors.Is(err, errNotContinued) == c.passes {
				t.Errorf("passed %q, %v; want %q", passed, err, want)
			}
		})
	}
}

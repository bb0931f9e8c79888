package completeness_test

import (
	"io"
	"testing"

	"gypsumbank/completeness"
	"gypsumbank/framing"
)

// TestNothingIsClaimedThatIsNotKnown guards against an answer that is passed on in a framing that says more of its end than is known.
func TestNothingIsClaimedThatIsNotKnown(t *testing.T) {
	everywhere := map[framing.Framing]bool{framing.Length: true, framing.Chunks: true, framing.Connection: true}
	cases := map[string]struct {
		got, want completeness.Completeness
		mayEnd    map[framing.Framing]bool
	}{
		"length":                        {completeness.Of(framing.Length, nil), completeness.Whole, everywhere},
		"chunks":                        {completeness.Of(framing.Chunks, nil), completeness.Whole, everywhere},
		"connection":                    {completeness.Of(framing.Connection, nil), completeness.Unproven, map[framing.Framing]bool{framing.Connection: true}},
		"read error":                    {completeness.Of(framing.Connection, io.ErrUnexpectedEOF), completeness.Broken, nil},
		"chunks, within an event":       {completeness.Of(framing.Chunks, nil).OfStream(true, true), completeness.Broken, nil},
		"chunks, no event":              {completeness.Of(framing.Chunks, nil).OfStream(false, false), completeness.Whole, everywhere},
		"connection, between events":    {completeness.Of(framing.Connection, nil).OfStream(true, false), completeness.Unproven, map[framing.Framing]bool{framing.Connection: true}},
		"connection, no event":          {completeness.Of(framing.Connection, nil).OfStream(false, false), completeness.Broken, nil},
		"connection, within an event":   {completeness.Of(framing.Connection, nil).OfStream(true, true), completeness.Broken, nil},
		"read error between two events": {completeness.Of(framing.Chunks, io.ErrUnexpectedEOF).OfStream(true, false), completeness.Broken, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("completeness %s, want %s", c.got, c.want)
			}
			for _, to := range []framing.Framing{framing.Length, framing.Chunks, framing.Connection} {
				if c.got.MayEnd(to) != c.mayEnd[to] {
					t.Errorf("may end in %s: %v, want %v", to, c.got.MayEnd(to), c.mayEnd[to])
				}
			}
		})
	}
}

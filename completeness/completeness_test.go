package completeness_test

import (
	"testing"

	"gypsumbank/completeness"
	"gypsumbank/framing"
)

// TestNothingIsClaimedThatIsNotKnown guards against an answer that is passed on in a framing that says more of its end than is known.
func TestNothingIsClaimedThatIsNotKnown(t *testing.T) {
	cases := map[string]struct {
		from    framing.Framing
		partial bool
		want    completeness.Completeness
		mayEnd  map[framing.Framing]bool
	}{
		"length":              {framing.Length, false, completeness.Whole, map[framing.Framing]bool{framing.Length: true, framing.Chunks: true, framing.Connection: true}},
		"chunks":              {framing.Chunks, false, completeness.Whole, map[framing.Framing]bool{framing.Length: true, framing.Chunks: true, framing.Connection: true}},
		"connection":          {framing.Connection, false, completeness.Unproven, map[framing.Framing]bool{framing.Connection: true}},
		"chunks, partial":     {framing.Chunks, true, completeness.Broken, nil},
		"connection, partial": {framing.Connection, true, completeness.Broken, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := completeness.Of(c.from, c.partial)
			if got != c.want {
				t.Errorf("completeness %s, want %s", got, c.want)
			}
			for _, to := range []framing.Framing{framing.Length, framing.Chunks, framing.Connection} {
				if got.MayEnd(to) != c.mayEnd[to] {
					t.Errorf("may end in %s: %v, want %v", to, got.MayEnd(to), c.mayEnd[to])
				}
			}
		})
	}
}

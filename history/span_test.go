package history_test

import (
	"testing"

	"gypsumbank/history"
)

// TestFollows compares reads of one version and such that took several.
func TestFollows(t *testing.T) {
	cases := map[string]struct {
		read, inForce history.Span
		want          bool
	}{
		"first read":                  {read: history.New(1, 5, 5), want: true},
		"store without versions":      {want: true},
		"later":                       {read: history.New(1, 6, 6), inForce: history.New(1, 5, 5), want: true},
		"same version":                {read: history.New(1, 5, 5), inForce: history.New(1, 5, 5), want: true},
		"earlier":                     {read: history.New(1, 4, 4), inForce: history.New(1, 5, 5)},
		"overlapping":                 {read: history.New(1, 4, 9), inForce: history.New(1, 3, 5)},
		"after several versions":      {read: history.New(1, 5, 9), inForce: history.New(1, 3, 5), want: true},
		"restored, lower version":     {read: history.New(2, 3, 3), inForce: history.New(1, 5, 5), want: true},
		"before the restore":          {read: history.New(1, 9, 9), inForce: history.New(2, 5, 5)},
		"before it, overlapping ends": {read: history.New(1, 9, 12), inForce: history.New(2, 5, 5)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.read.Follows(c.inForce); got != c.want {
				t.Errorf("%+v follows %+v: %v", c.read, c.inForce, got)
			}
		})
	}
}

package sender

import (
	"net/http"
	"testing"
	"time"

	"gypsumbank/connpool"
)

// TestIdleTimeIsTheAnnouncedOne guards against idle connections that end long before their target would end them, or after it.
func TestIdleTimeIsTheAnnouncedOne(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		header string
		want   time.Duration
	}{
		"ten seconds":     {header: "timeout=10", want: 9 * time.Second},
		"with a maximum":  {header: "timeout=10, max=100", want: 9 * time.Second},
		"maximum first":   {header: "max=100, timeout=3", want: 2 * time.Second},
		"a second":        {header: "timeout=1", want: 0},
		"no time":         {header: "timeout=0", want: -time.Second},
		"hours":           {header: "timeout=9223372036", want: 59 * time.Second},
		"none":            {want: connpool.BriefIdle},
		"without seconds": {header: "max=100", want: connpool.BriefIdle},
		"no number":       {header: "timeout=soon", want: connpool.BriefIdle},
		"beyond a number": {header: "timeout=99999999999999999999", want: connpool.BriefIdle},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := keepAliveTime(http.Header{"Keep-Alive": {test.header}}); got != test.want {
				t.Errorf("%q is kept for %s, want %s", test.header, got, test.want)
			}
		})
	}
}

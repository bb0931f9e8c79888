package deployment_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/standin/fault"
)

// TestRequestInProgressGetsAnAnswerWhenItsEntryStops guards against requests that get no answer as an entry stops whose grace is shorter than
// they last.
func TestRequestInProgressGetsAnAnswerWhenItsEntryStops(t *testing.T) {
	size := deployment.Small()
	size.Grace = time.Second
	cases := map[string]struct {
		path, body  string
		wantStatus  int
		wantOutcome string
	}{
		"call":       {"/services/ledger/events", `{"id":"slow"}`, http.StatusBadGateway, "unknown"},
		"completion": {"/v1/completions", `{"model":"blend-00","prompt":"p","max_tokens":4096}`, http.StatusBadGateway, "run"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t, size)
			for _, l := range d.Ledgers() {
				l.Faults().Put(fault.Faults{DelayMS: 20000})
			}
			d.SlowEngines(1, 50)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.URL(0)+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+d.Size().Key(d.Size().Members[0]))
			stopped := make(chan error, 1)
			time.AfterFunc(500*time.Millisecond, func() { stopped <- d.Entries()[0].Stop() })
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != c.wantStatus || response.Header.Get("Gypsumbank-Outcome") != c.wantOutcome {
				t.Errorf("status %d, outcome %q, body %q, %v; want %d with outcome %q", response.StatusCode, response.Header.Get("Gypsumbank-Outcome"), body, err, c.wantStatus, c.wantOutcome)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

package deployment_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/standin/fault"
)

// TestCallsAreAnsweredWhileASidecarStops sweeps the moment of a call over the stop of the sidecar that runs it. Each call must have run once and be
// answered by the service, as another replica remains, or be refused and not have run, as keys have no owner for a while.
func TestCallsAreAnsweredWhileASidecarStops(t *testing.T) {
	const (
		calls = 120
		over  = 3 * time.Second
	)
	cases := map[string]struct {
		delay time.Duration // of the service
		keyed bool
	}{
		"fast calls":           {0, false},
		"fast calls with keys": {0, true},
		"slow calls":           {600 * time.Millisecond, false},
		"slow calls with keys": {600 * time.Millisecond, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			size := deployment.Small()
			size.Grace = 5 * time.Second
			d := startDeployment(t, size)
			for _, replica := range d.Ledgers() {
				replica.Faults().Put(fault.Faults{DelayMS: int(test.delay.Milliseconds())})
			}
			began := time.Now()
			stopped := make(chan error, 1)
			time.AfterFunc(over/3, func() { stopped <- d.Sidecars()[size.ModelReplicas].Stop() })
			var group sync.WaitGroup
			for i := range calls {
				group.Go(func() {
					time.Sleep(time.Until(began.Add(over * time.Duration(i) / calls)))
					id := fmt.Sprintf("event-%d", i)
					headers := map[string]string{}
					if test.keyed {
						headers["Idempotency-Key"] = id
					}
					response, body := post(t, d, 0, "/services/ledger/events", fmt.Sprintf(`{"id":%q}`, id), headers)
					runs, outcome := d.LedgerCounts().Runs(id), response.Header.Get("Gypsumbank-Outcome")
					served := response.StatusCode == http.StatusCreated && runs == 1
					refused := test.keyed && response.StatusCode == http.StatusServiceUnavailable && outcome == "not-run" && runs == 0
					if !served && !refused {
						t.Errorf("%s: status %d, outcome %q, %d runs, %s", id, response.StatusCode, outcome, runs, body)
					}
				})
			}
			group.Wait()
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

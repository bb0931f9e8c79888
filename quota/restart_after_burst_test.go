package quota

import (
	"fmt"
	"testing"
	"time"
)

// TestRestartAfterABurst guards against a customer whose burst has raised its keepers to the highest level, which leaves nothing to grant after a
// restart, and that is then refused although it had been at its usual load again for 25 s. The bounds are those of a restart without a burst.
func TestRestartAfterABurst(t *testing.T) {
	t.Parallel()
	const (
		restarts  = 24
		burst     = 1.6 // of the limit
		burstTime = 5 * time.Second
		quietTime = 25 * time.Second
	)
	type load struct {
		customer string
		share    float64 // of the limit
	}
	mostRefused := map[load]float64{
		{"small", 0.45}: 0.05, {"small", 0.55}: 0.1, {"large", 0.45}: 0.01, {"large", 0.55}: 0.02,
	}
	for l, most := range mostRefused {
		t.Run(fmt.Sprintf("%s at %.2f", l.customer, l.share), func(t *testing.T) {
			t.Parallel()
			c := customerLoad{quota: map[string]customerLoad{"small": smallCustomer, "large": largeCustomer}[l.customer].quota, costs: hardLoadCosts}
			total, refused := 0, 0
			for seed := range uint64(restarts) {
				s := newSimulation(firstDeployment, c.quota, 30, 50, seed)
				c.offer(s, s.gateways[:5], l.share, 1, time.Minute)
				c.offer(s, s.gateways[:5], burst, 1, burstTime)
				c.offer(s, s.gateways[:5], l.share, 1, quietTime)
				s.restartAll()
				c.offer(s, s.gateways[:5], l.share, 1, time.Second)
				total, refused = total-s.total, refused-len(s.refused)
				c.offer(s, s.gateways[:5], l.share, 1, 10*time.Second)
				total, refused = total+s.total, refused+len(s.refused)
				if _, err := s.checkWindows(); err != nil {
					t.Error(err)
				}
			}
			t.Logf("%d of %d refused in seconds 1 to 10 after %d restarts", refused, total, restarts)
			if float64(refused) > most*float64(total) {
				t.Errorf("%d of %d requests refused, at most %.2f of them allowed", refused, total, most)
			}
		})
	}
}

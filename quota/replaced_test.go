package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRestartAfterReplacedKeepers guards against a customer at 0.55 of its limit that is refused, from a second on after 30 gateways and 50 agents have
// all restarted, as one or two of its keepers had been replaced shortly before.
func TestRestartAfterReplacedKeepers(t *testing.T) {
	t.Parallel()
	const restarts = 32
	// As without a replacement, in TestRestartOfEverythingAtUsualLoad.
	mostRefused := map[string]float64{"small": 0.1, "large": 0.02}
	for customer, most := range mostRefused {
		for _, ago := range [][2]time.Duration{{2 * time.Second, 20 * time.Second}, {10 * time.Second, 15 * time.Second}} {
			for replaced := 1; replaced <= 2; replaced++ {
				t.Run(fmt.Sprintf("%s, %d replaced %s to %s before", customer, replaced, ago[0], ago[1]), func(t *testing.T) {
					t.Parallel()
					c := customerLoad{quota: map[string]customerLoad{"small": smallCustomer, "large": largeCustomer}[customer].quota, costs: hardLoadCosts}
					total, refused := 0, 0
					for seed := range uint64(restarts) {
						s := newSimulation(firstDeployment, c.quota, 30, 50, seed)
						random := rand.New(rand.NewPCG(seed, 3))
						c.offer(s, s.gateways[:5], 0.55, 1, 3*time.Minute)
						for range replaced {
							s.after(time.Duration(random.Int64N(int64(ago[1]-ago[0]))), func() {
								keepers := s.gateways[0].keepers
								s.unlist(keepers[random.IntN(len(keepers))].Address)
							})
						}
						c.offer(s, s.gateways[:5], 0.55, 1, ago[1])
						s.restartAll()
						c.offer(s, s.gateways[:5], 0.55, 1, time.Second)
						total, refused = total-s.total, refused-len(s.refused)
						c.offer(s, s.gateways[:5], 0.55, 1, 9*time.Second)
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
	}
}

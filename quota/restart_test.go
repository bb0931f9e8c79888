package quota

import (
	"fmt"
	"testing"
	"time"
)

// restartAll has all agents and gateways lose power at once.
func (s *simulation) restartAll() {
	for _, name := range sortedKeys(s.agents) {
		s.restartAgent(name)
	}
	for _, g := range s.gateways {
		s.startGateway(g)
	}
}

// TestRestartOfEverythingAtUsualLoad guards against a customer that uses up to six tenths of its limit and is refused after 30 gateways and 50
// agents have all restarted, while the store responds.
func TestRestartOfEverythingAtUsualLoad(t *testing.T) {
	costs := []float64{9_240, 9_240, 9_240, 1_116, 1_116, 1_116, 800, 800, 800}
	for name, quota := range map[string]customerLoad{"small": smallCustomer, "large": largeCustomer} {
		for _, share := range []float64{0.45, 0.55, 0.6} {
			t.Run(fmt.Sprintf("%s at %.2f", name, share), func(t *testing.T) {
				c := customerLoad{quota: quota.quota, costs: costs}
				s := newSimulation(firstDeployment, c.quota, 30, 50, 11)
				c.offer(s, s.gateways[:5], share, 1, 3*time.Minute)
				writes := s.store.writes
				for _, seat := range s.seats() {
					t.Logf("before the restart: %+v", seat)
				}
				s.restartAll()
				began, refused, total := s.now, len(s.refused), s.total
				for second := range 20 {
					before, refusedBefore := s.total, len(s.refused)
					c.offer(s, s.gateways[:5], share, 1, time.Second)
					t.Logf("second %d: %d of %d refused", second, len(s.refused)-refusedBefore, s.total-before)
				}
				s.report(t)
				t.Logf("%d writes in 3 minutes, %d after the restart; %d of %d refused in %s", writes, s.store.writes-writes, len(s.refused)-refused, s.total-total, s.now.Sub(began))
			})
		}
	}
}

// seats returns the seats of the stored row.
func (s *simulation) seats() []string {
	return []string{string(s.store.row.value)}
}

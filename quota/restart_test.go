package quota

import (
	"fmt"
	"testing"
	"time"

	"gypsumbank/quotalevels"
)

// hardLoadCosts are what requests of the first deployment of docs/hard-load.md cost.
var hardLoadCosts = []float64{9_240, 9_240, 9_240, 1_116, 1_116, 1_116, 800, 800, 800}

// restartAll has all agents and gateways lose power at once.
func (s *simulation) restartAll() {
	for _, name := range sortedKeys(s.agents) {
		s.restartAgent(name)
	}
	for _, g := range s.gateways {
		s.startGateway(g)
	}
}

// TestRestartOfEverythingAtUsualLoad guards against a customer that uses up to six tenths of its limit and is refused, from a second on after 30
// gateways and 50 agents have all restarted, while the store responds.
func TestRestartOfEverythingAtUsualLoad(t *testing.T) {
	t.Parallel()
	const restarts = 24 // a small customer has some 50 requests after each
	type load struct {
		customer string
		share    float64 // of the limit
	}
	// A small customer has some four requests a second, of which a keeper holds room for one or two.
	mostRefused := map[load]float64{
		{"small", 0.45}: 0.05, {"small", 0.55}: 0.1, {"small", 0.6}: 0.1, {"large", 0.45}: 0.01, {"large", 0.55}: 0.02, {"large", 0.6}: 0.1,
	}
	for l, most := range mostRefused {
		t.Run(fmt.Sprintf("%s at %.2f", l.customer, l.share), func(t *testing.T) {
			c := customerLoad{quota: map[string]customerLoad{"small": smallCustomer, "large": largeCustomer}[l.customer].quota, costs: hardLoadCosts}
			first, total, refused, writes := 0, 0, 0, 0
			for seed := range uint64(restarts) {
				s := newSimulation(firstDeployment, c.quota, 30, 50, seed)
				c.offer(s, s.gateways[:5], l.share, 1, 3*time.Minute)
				writes -= s.store.writes
				s.restartAll()
				first -= len(s.refused)
				c.offer(s, s.gateways[:5], l.share, 1, time.Second)
				first += len(s.refused)
				total, refused = total-s.total, refused-len(s.refused)
				c.offer(s, s.gateways[:5], l.share, 1, 10*time.Second)
				total, refused, writes = total+s.total, refused+len(s.refused), writes+s.store.writes
				if _, err := s.checkWindows(); err != nil {
					t.Error(err)
				}
			}
			t.Logf("%d refused in the first second of %d restarts, %d of %d in the next 10 s, %d writes", first, restarts, refused, total, writes)
			if float64(refused) > most*float64(total) {
				t.Errorf("%d of %d requests refused, at most %.2f of them allowed", refused, total, most)
			}
		})
	}
}

// TestLevelWritesAtUsualLoad guards against more writes to the store than some tens a minute for the 16 customers of the first deployment, at
// 0.45 to 0.6 of their limits, and against more reads than one in ten seconds for each of their 48 keepers' claims: calls are priced.
func TestLevelWritesAtUsualLoad(t *testing.T) {
	t.Parallel()
	const (
		minutes   = 8
		maxWrites = 50
		maxReads  = 16 * 3 * 6
	)
	var reads, writes [minutes]int
	refused, total := 0, 0
	for i := range 16 {
		c, gateways := customerLoad{quota: smallCustomer.quota, costs: hardLoadCosts}, 4
		if i < 3 {
			c.quota, gateways = largeCustomer.quota, 12
		}
		s := newFirstDeployment(c, uint64(i))
		for minute := range minutes {
			reads[minute], writes[minute] = reads[minute]-s.store.reads, writes[minute]-s.store.writes
			c.offer(s, s.gateways[:gateways], 0.45+0.01*float64(i), 1, time.Minute)
			reads[minute], writes[minute] = reads[minute]+s.store.reads, writes[minute]+s.store.writes
		}
		refused, total = refused+len(s.refused), total+s.total
	}
	t.Logf("reads %v, writes %v a minute; %d of %d requests refused", reads, writes, refused, total)
	for minute := range minutes {
		if minute > 0 && (writes[minute] > maxWrites || reads[minute] > maxReads) {
			t.Errorf("%d writes and %d reads in minute %d, at most %d and %d allowed", writes[minute], reads[minute], minute, maxWrites, maxReads)
		}
	}
}

// TestLevelsFollowTheUseDown guards against a burst whose level binds what keepers grant after a restart long after it has ended.
func TestLevelsFollowTheUseDown(t *testing.T) {
	t.Parallel()
	s := newFirstDeployment(largeCustomer, 6)
	inForce := func() quotalevels.Level {
		highest := quotalevels.Level(0)
		for _, k := range s.gateways[0].keepers {
			highest = max(highest, s.agents[k.Address].keeper.customers[simCustomer].levels.inForce)
		}
		return highest
	}
	largeCustomer.offer(s, s.gateways[:5], 3, 1, 20*time.Second)
	if got := inForce(); got != quotalevels.Highest {
		t.Errorf("level %.2f at three times the limit, want the highest", got.Share())
	}
	largeCustomer.offer(s, s.gateways[:5], 0.3, 1, time.Minute)
	if got := inForce(); got != 0 {
		t.Errorf("level %.2f a minute after the burst, at 0.3 of the limit, want the lowest", got.Share())
	}
}

// TestRaiseAfterARestoredStore guards against refusals of a customer whose use grows from 0.3 to 0.9 of its limit just after the store has come back from
// an older copy: keepers in place must be able to raise their levels.
func TestRaiseAfterARestoredStore(t *testing.T) {
	t.Parallel()
	const (
		restores    = 8
		mostRefused = 0.02 // as in TestRestartAfterReplacedKeepers
	)
	c := customerLoad{quota: largeCustomer.quota, costs: hardLoadCosts}
	total, refused := 0, 0
	for seed := range uint64(restores) {
		s := newSimulation(firstDeployment, c.quota, 30, 50, seed)
		c.offer(s, s.gateways[:5], 0.3, 1, 2*time.Minute)
		s.store.copied = s.store.row
		c.offer(s, s.gateways[:5], 0.3, 1, 2*time.Second)
		s.store.restore()
		for _, name := range sortedKeys(s.agents) {
			s.agents[name].keeper.Reconfirm(2*time.Second, s.now)
		}
		c.offer(s, s.gateways[:5], 0.3, 1, 2*time.Second)
		total, refused = total-s.total, refused-len(s.refused)
		c.offer(s, s.gateways[:5], 0.9, 1, 20*time.Second)
		total, refused = total+s.total, refused+len(s.refused)
		if _, err := s.checkWindows(); err != nil {
			t.Error(err)
		}
	}
	t.Logf("%d of %d refused in the 20 s after the use has grown, in %d restores", refused, total, restores)
	if float64(refused) > mostRefused*float64(total) {
		t.Errorf("%d of %d requests refused, at most %.2f of them allowed", refused, total, mostRefused)
	}
}

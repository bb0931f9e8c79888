package fleet

import (
	"testing"

	"gypsumbank/registry"
	"gypsumbank/route"
)

// TestConnectionShareLeavesRoomAtTargets guards against gateways whose idle connections together take all places of a target.
func TestConnectionShareLeavesRoomAtTargets(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ gateways, engine, plain, want int }{
		"first deployment":         {gateways: 29, engine: 490, plain: 230, want: 3},
		"second deployment":        {gateways: 8, engine: 440, plain: 180, want: 11},
		"more gateways than place": {gateways: 410, engine: 490, plain: 230, want: 0},
		"one service has no limit": {gateways: 8, plain: 180, want: 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet([]string{"hot"})
			engine := f.services[service]
			engine.MaxConnections = test.engine
			f.SetServices(map[string]route.Service{service: engine, "plain": {Name: "plain", MaxConnections: test.plain}})
			observation := newObservation(registry.Report{Born: 1})
			observation.Watchers = test.gateways
			f.Observe("e0", observation, start)
			if share := f.ConnectionShare(); share != test.want {
				t.Errorf("%d idle connections at each gateway, want %d", share, test.want)
			}
		})
	}
}

package main

import (
	"context"
	"math/rand/v2"
	"time"

	"gypsumbank/pause"
	"gypsumbank/standin/site"
)

// allSeries are series of faults that overlap the others. Each draws from a source of its own, so that the other faults of a seed
// stay the same.
var allSeries = []func(*soakDeployment, context.Context){(*soakDeployment).restoreStore}

// seriesRand returns the source of a series.
func (s *soakDeployment) seriesRand(series uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, series))
}

// between returns a random duration from low to high.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// restoreStore takes the store away for moments and has it come back from copies of up to four seconds before, until ctx ends. What
// the operator and the targets have written since is written again at once.
func (s *soakDeployment) restoreStore(ctx context.Context) {
	rng := s.seriesRand(1)
	for ctx.Err() == nil {
		copied := s.store.Snapshot()
		age := between(rng, 200*time.Millisecond, 4*time.Second)
		if pause.For(ctx, age) != nil {
			return
		}
		away := between(rng, 10*time.Millisecond, 700*time.Millisecond)
		s.logFault("store comes back after %s from a copy of %s before", away, age)
		s.store.SetFault(site.Down)
		time.Sleep(away)
		s.store.Restore(copied, "op", "servers")
		if rng.IntN(2) == 0 {
			s.publishRoutes()
		}
		s.store.Touch(rng.IntN(400))
		s.store.SetFault(site.NoFault)
	}
}

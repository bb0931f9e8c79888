package gateway

import (
	"testing"
	"time"

	"gypsumbank/propagation"
)

// TestWaitsOfFailedReadsKeepToTheBudget guards against waits between failed reads that, with their jitter, exceed what the time for changes leaves them.
func TestWaitsOfFailedReadsKeepToTheBudget(t *testing.T) {
	for name, apply := range map[string]time.Duration{"short": time.Second, "default": 0, "customers' deployments": 3 * time.Second, "long": time.Minute} {
		t.Run(name, func(t *testing.T) {
			budget := propagation.New(apply)
			for range 100 {
				waits := newStoreBackoff(budget)
				if first := waits.NextBackOff(); first > propagation.FirstRetryWait {
					t.Fatalf("first wait of %s, %s allowed", first, propagation.FirstRetryWait)
				}
				for range 20 {
					if wait := waits.NextBackOff(); wait > budget.RetryWait() {
						t.Fatalf("wait of %s, %s allowed", wait, budget.RetryWait())
					}
				}
			}
		})
	}
}

package deployment_test

import (
	"sync"
	"testing"

	"gypsumbank/deployment"
)

// TestAddressesDifferUntilUsed asks for addresses side by side before anything listens on them.
func TestAddressesDifferUntilUsed(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	var askers sync.WaitGroup
	for range 8 {
		askers.Go(func() {
			for range 20 {
				address, err := deployment.FreeAddress()
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				if seen[address] {
					t.Errorf("%s was given out twice", address)
				}
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	askers.Wait()
}

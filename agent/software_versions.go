package agent

import (
	"context"
	"errors"

	"gypsumbank/platform"
)

// maxVersionTries bounds the tries to write the row of software versions after one read of the registry: all agents that read the store for
// gateways write it when a version appears, and one of them succeeds.
const maxVersionTries = 3

// storeVersions reads the store's row of software versions and writes what it lacks. If that fails, targets of a version that the row does
// not have are not passed on, and gateways read the registry themselves.
func (a *Agent) storeVersions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.store.CallTime(storeTimeout))
	defer cancel()
	for range maxVersionTries {
		_, err := a.versions.Sync(ctx, true)
		if err == nil {
			return
		}
		if !errors.Is(err, platform.ErrConflict) {
			a.log.WithError(err).Info("software versions not stored, will retry")
			return
		}
	}
}

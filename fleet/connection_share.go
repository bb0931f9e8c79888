package fleet

import "math"

// idleConnectionsDivisor leaves half of the connections that a target accepts to requests in progress.
const idleConnectionsDivisor = 2

// ConnectionShare returns how many idle connections to a target this gateway may keep, so that all gateways together leave room at each:
// by the service whose targets accept the fewest connections.
func (f *Fleet) ConnectionShare() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	fewest := math.MaxInt
	for _, service := range f.services {
		if service.MaxConnections > 0 {
			fewest = min(fewest, service.MaxConnections)
		}
	}
	return fewest / idleConnectionsDivisor / f.gatewayCountLocked()
}

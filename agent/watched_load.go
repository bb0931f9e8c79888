package agent

import (
	"gypsumbank/registry"
)

// sumPendingPrefillMs returns the expected prefill time, in ms, of the prompts that the gateways have waiting at the target.
func sumPendingPrefillMs(members []*watcher) float32 {
	sum := float32(0)
	for _, each := range members {
		sum += each.pendingPrefillMs
	}
	return sum
}

// sumRequests returns the number of requests that the gateways have at the target.
func sumRequests(members []*watcher) uint32 {
	sum := uint32(0)
	for _, each := range members {
		for _, use := range each.requests {
			if use.GetAdapter() == "" {
				sum += use.GetRequests()
			}
		}
	}
	return sum
}

// requestsByAdapter returns the number of requests that all gateways have at the target, by adapter and, under an empty
// adapter name, by model.
func (w *watchers) requestsByAdapter() map[registry.Adapter]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests := map[registry.Adapter]int{}
	for _, each := range w.live() {
		for _, use := range each.requests {
			requests[registry.Adapter{Model: use.GetModel(), Name: use.GetAdapter()}] += int(use.GetRequests())
		}
	}
	return requests
}

// unreadMs returns the expected prefill time, in ms, of the prompts that wait at the target or for a turn there, and the part of
// it that waits for a turn; the caller holds the lock.
func (w *watchers) unreadMs(live []*watcher) (total, waiting float32) {
	total = sumPendingPrefillMs(live)
	if w.prefillTurns == nil {
		return total, 0
	}
	waiting, granted := w.prefillTurns.workMs()
	return total + granted + waiting, waiting
}

package agent

import (
	"context"
	"time"

	"gypsumbank/blocklist"
	"gypsumbank/pause"
	"gypsumbank/request"
	"gypsumbank/wire"
)

// blocklistRetryInterval is the pause after a failed read or write of the list of blocked contents.
const blocklistRetryInterval = 700 * time.Millisecond

// mergeQuarantine adds the crashes and entries that a gateway has sent, and sends the entries that have changed to all
// gateways; the caller holds the lock.
func (w *watchers) mergeQuarantine(message *wire.Quarantine) {
	if message == nil {
		return
	}
	before := w.quarantine.EntriesRevision()
	w.quarantine.Merge(message)
	if w.quarantine.EntriesRevision() == before {
		return
	}
	select {
	case w.quarantineGrown <- struct{}{}:
	default:
	}
	w.broadcastQuarantine()
}

// broadcastQuarantine sends the last state with the entries that have changed to all gateways; the caller holds the lock.
func (w *watchers) broadcastQuarantine() {
	if w.lastState != nil || w.down != nil {
		w.broadcastLast()
	}
}

// keepBlocklist reads the list of blocked contents from the store once gateways rely on this agent, and stores what they have
// blocked, until ctx ends.
func (a *Agent) keepBlocklist(ctx context.Context) error {
	list := blocklist.New(a.store, a.watchers.quarantine, a.log)
	ticker := time.NewTicker(relayCheckInterval)
	defer ticker.Stop()
	known := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.watchers.quarantineGrown:
			known = false
		case <-ticker.C:
		}
		if known || !a.watchers.isRelay() {
			continue
		}
		blocked, err := a.syncBlocklist(ctx, list)
		if err != nil {
			a.log.WithError(err).Info("list of blocked contents not stored, will retry")
			_ = pause.For(ctx, blocklistRetryInterval)
			continue
		}
		known = true
		if len(blocked) > 0 {
			a.log.WithField("contents", len(blocked)).Info("contents blocked, as stored")
		}
		a.watchers.mu.Lock()
		a.watchers.broadcastQuarantine()
		a.watchers.mu.Unlock()
	}
}

// syncBlocklist reads and writes the list once.
func (a *Agent) syncBlocklist(ctx context.Context, list *blocklist.List) ([]request.Content, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	return list.Sync(ctx)
}

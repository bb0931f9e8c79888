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
	w.requestBlocklist()
	w.broadcastQuarantine()
}

// requestBlocklist has the list of blocked contents read and written soon.
func (w *watchers) requestBlocklist() {
	select {
	case w.blocklistDue <- struct{}{}:
	default:
	}
}

// broadcastQuarantine sends the last state with the entries that have changed to all gateways; the caller holds the lock.
func (w *watchers) broadcastQuarantine() {
	if w.lastState != nil || w.down != nil {
		w.broadcastLast()
	}
}

// keepBlocklist reads the list of blocked contents from the store each time that gateways begin to rely on this agent, and stores
// what they have blocked, until ctx ends. If the store has come back from an older copy, it stores that again.
func (a *Agent) keepBlocklist(ctx context.Context) error {
	list := blocklist.New(a.store, a.watchers.quarantine, a.log)
	_, restored := a.epochs.Current()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.watchers.blocklistDue:
		case <-restored:
			_, restored = a.epochs.Current()
			if a.watchers.quarantine.EntriesRevision() == 0 {
				continue
			}
		}
		for {
			blocked, err := a.syncBlocklist(ctx, list)
			if err == nil {
				a.publishBlocklist(len(blocked))
				break
			}
			a.log.WithError(err).Info("list of blocked contents not stored, will retry")
			if err := pause.For(ctx, blocklistRetryInterval); err != nil {
				return err
			}
		}
	}
}

// publishBlocklist sends the entries that were read to all gateways.
func (a *Agent) publishBlocklist(blocked int) {
	if blocked > 0 {
		a.log.WithField("contents", blocked).Info("contents blocked, as stored")
	}
	a.watchers.mu.Lock()
	defer a.watchers.mu.Unlock()
	a.watchers.broadcastQuarantine()
}

// syncBlocklist reads and writes the list once.
func (a *Agent) syncBlocklist(ctx context.Context, list *blocklist.List) ([]request.Content, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*a.store.CallTime(storeTimeout))
	defer cancel()
	return list.Sync(ctx)
}

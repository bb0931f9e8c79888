package agent

import "gypsumbank/wire"

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
	if w.lastState != nil || w.down != nil {
		w.broadcastLast()
	}
}

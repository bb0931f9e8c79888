package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/blocklist"
	"gypsumbank/pause"
	"gypsumbank/platform"
)

const (
	// blockedReadInterval is the interval between reads of the list of blocked contents while no agent passes it on, before jitter.
	blockedReadInterval = 800 * time.Millisecond
	// blockedCheckInterval is the interval at which the gateway checks whether agents do.
	blockedCheckInterval = 200 * time.Millisecond
	// maxConflictDelay bounds the pause after another gateway has written the list at the same time.
	maxConflictDelay = 100 * time.Millisecond
)

// blockedContents shares crashes and blocked contents with other gateways through the store while no agent that would pass them on
// is connected.
type blockedContents struct {
	list    *blocklist.List
	crashes *crashes
	agents  *agentClients
	log     *logrus.Entry
	due     chan struct{} // holds a value after a crash
}

func newBlockedContents(store blocklist.Store, crashes *crashes, agents *agentClients, log *logrus.Entry) *blockedContents {
	return &blockedContents{list: blocklist.New(store, crashes.table, log), crashes: crashes, agents: agents, log: log, due: make(chan struct{}, 1)}
}

// changed has the list written soon if no agent is connected.
func (b *blockedContents) changed() {
	select {
	case b.due <- struct{}{}:
	default:
	}
}

// run reads and writes the list while no agent is connected, until ctx ends.
func (b *blockedContents) run(ctx context.Context) error {
	lost := false
	for ctx.Err() == nil {
		if b.agents.connectedRelays() > 0 {
			lost = false
			_ = pause.For(ctx, blockedCheckInterval)
			continue
		}
		err := b.sync(ctx)
		if errors.Is(err, platform.ErrConflict) {
			_ = pause.For(ctx, rand.N(maxConflictDelay))
			continue
		}
		if err != nil && !lost && ctx.Err() == nil {
			b.log.WithError(err).Warn("blocked contents are not shared: no agent is connected and the store does not answer")
		}
		lost = err != nil
		select {
		case <-ctx.Done():
		case <-b.due:
		case <-time.After(blockedReadInterval/2 + rand.N(blockedReadInterval)):
		}
	}
	return ctx.Err()
}

// sync reads and writes the list once.
func (b *blockedContents) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	blocked, err := b.list.Sync(ctx)
	b.crashes.logBlocked(blocked, "store")
	return err
}

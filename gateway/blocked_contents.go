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
	// blockedLongPoll bounds a wait for changes of the list of blocked contents while no agent reads it.
	blockedLongPoll = 5 * time.Second
	// blockedRetryInterval is the pause after a failed read or write, before jitter.
	blockedRetryInterval = 800 * time.Millisecond
	// blockedCheckInterval is the interval at which the gateway checks whether agents read the store.
	blockedCheckInterval = 200 * time.Millisecond
	// maxConflictDelay bounds the pause after another gateway has written the list at the same time.
	maxConflictDelay = 100 * time.Millisecond
)

// blockedContents shares crashes and blocked contents with other gateways through the store while no agent reads the store that would pass them
// on. Agents that are connected and can't read it pass on only what gateways tell them.
type blockedContents struct {
	store   *platform.Store
	list    *blocklist.List
	crashes *crashes
	agents  *agentClients
	log     *logrus.Entry
	due     chan struct{} // holds a value after a crash
}

func newBlockedContents(store *platform.Store, crashes *crashes, agents *agentClients, log *logrus.Entry) *blockedContents {
	return &blockedContents{store: store, list: blocklist.New(store, crashes.table, log), crashes: crashes, agents: agents, log: log, due: make(chan struct{}, 1)}
}

// changed has the list written soon if no agent reads the store.
func (b *blockedContents) changed() {
	select {
	case b.due <- struct{}{}:
	default:
	}
}

// run reads and writes the list as it changes, while no agent reads the store, until ctx ends.
func (b *blockedContents) run(ctx context.Context) error {
	var position platform.Position
	lost := false
	for ctx.Err() == nil {
		if b.agents.relay.isFresh(time.Now()) {
			position, lost = platform.Position{}, false
			_ = pause.For(ctx, blockedCheckInterval)
			continue
		}
		started := time.Now()
		changed, next, err := b.waitForChange(ctx, position)
		position = next
		for err == nil && changed {
			err = b.sync(ctx)
			changed = errors.Is(err, platform.ErrConflict)
			if changed {
				err = pause.For(ctx, rand.N(maxConflictDelay))
			}
		}
		if err == nil {
			lost = false
			_ = pause.For(ctx, minStoreInterval-time.Since(started)) // a store may answer at once without a change
			continue
		}
		if !lost && ctx.Err() == nil && !errors.Is(err, platform.ErrHistoryLost) {
			b.log.WithError(err).Warn("blocked contents are not shared: no agent reads the store and it does not answer")
			lost = true
		}
		position = platform.Position{}
		_ = pause.For(ctx, blockedRetryInterval/2+rand.N(blockedRetryInterval))
	}
	return ctx.Err()
}

// waitForChange waits until the list has changed after a position or a crash is to be written, and returns the position to go on from.
func (b *blockedContents) waitForChange(ctx context.Context, after platform.Position) (changed bool, next platform.Position, err error) {
	timeout := b.store.CallTime(storeTimeout)
	if after != (platform.Position{}) {
		timeout += blockedLongPoll
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		changed, next, err = b.store.WaitForChange(ctx, blocklist.Table, after, blockedLongPoll)
	}()
	select {
	case <-done:
		return changed, next, err
	case <-b.due:
		cancel()
		<-done
		return true, after, nil
	}
}

// sync reads and writes the list once.
func (b *blockedContents) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*b.store.CallTime(storeTimeout))
	defer cancel()
	blocked, err := b.list.Sync(ctx)
	b.crashes.logBlocked(blocked, "store")
	return err
}
